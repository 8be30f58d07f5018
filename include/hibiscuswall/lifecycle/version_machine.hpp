#pragma once
// Life of a weights version on one host, by Boost.MSM.
//
//   auto machine = version_machine{};
//   if (!machine.on(version_event::transfer_begun)) ...   // the event is not possible in this state
//   machine.state();
//
//   declared -> transferring -> verified -> loading -> active; loading -> verified when a switch is put off;
//   active -> verified when the engine lost the weights; failed from all but active; failed -> declared on
//   retry.

#include <memory>
#include <string_view>

namespace hibiscuswall {

enum class version_state {
    declared,     // named by a ModelServing, nothing fetched yet
    transferring, // chunks are being fetched
    verified,     // every chunk and the whole match the manifest
    loading,      // the endpoint is draining or the engine has the order
    active,       // the engine reported the manifest digest
    failed,       // given up; the reason is in weights.status
};

enum class version_event {
    transfer_begun,
    transfer_verified,
    load_begun,
    load_deferred, // another host has the activation slot, or requests did not drain
    load_confirmed,
    weights_lost, // the engine restarted cold or reports other weights
    given_up,
    retried,
};

[[nodiscard]] auto version_state_text(version_state state) -> std::string_view;

class version_machine {
public:
    version_machine();
    ~version_machine();
    version_machine(version_machine const&) = delete;
    auto operator=(version_machine const&) -> version_machine& = delete;
    version_machine(version_machine&&) noexcept;
    auto operator=(version_machine&&) noexcept -> version_machine&;

    // False, and no change, when the state has no such transition.
    auto on(version_event event) -> bool;
    [[nodiscard]] auto state() const -> version_state;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscuswall
