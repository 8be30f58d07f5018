#pragma once
// State machine of a weights version on one host (Boost.MSM).
//
//   auto machine = version_machine{};
//   if (!machine.on(version_event::transfer_begun)) ...   // not allowed in this state: nothing changes
//   machine.state();
//
//   declared -> transferring -> verified -> loading -> active
//   verified -> active              (the engine already serves this version)
//   loading -> verified             (the load is deferred)
//   active -> verified              (the engine lost the weights)
//   declared, transferring, verified, loading -> failed
//   failed -> declared              (retry)

#include <memory>
#include <string_view>

namespace hibiscuswall {

enum class version_state {
    declared,     // named by a ModelServing resource; nothing has been fetched yet
    transferring, // chunks are being fetched
    verified,     // each chunk and the complete version match the manifest
    loading,      // the endpoint is draining, or the engine has the load order
    active,       // the engine reported the manifest digest
    failed,       // given up; weights.status reports the reason
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

    // False, and no change, when the event is not allowed in this state.
    auto on(version_event event) -> bool;
    [[nodiscard]] auto state() const -> version_state;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscuswall
