#pragma once
// Final check in front of an endpoint: every request of every entry passes POST /forward of its agent, which
// refuses it with a true "not run", lets it wait, or forwards it and relays the answer.
//
//   auto gate = request_gate{context, config, endpoint, admission};
//   gate.on_live_bytes([&](live_bytes const& moved) { ...charge the host's link... });
//   gate.start();
//   gate.begin_leaving();                        // no new work; then wait until in_flight() is 0
//
// Registers POST /forward and the methods call.resolve and endpoint.status. Beside an engine it takes no work
// until serve() was called and the engine's status shows the ordered digest; a plain service needs no
// weights.

#include "hibiscuswall/admission/admission_settings.hpp"
#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/lifecycle/admission_gate.hpp"
#include "hibiscuswall/lifecycle/endpoint_settings.hpp"
#include "hibiscuswall/platform/engine_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace hibiscuswall {

// What live requests moved over this host's link, in bytes of the bodies.
struct live_bytes {
    std::uint64_t received = 0; // from entries
    std::uint64_t sent = 0;     // to entries
};

class request_gate final : public endpoint_control {
public:
    request_gate(process_context& context, config_source& config, endpoint_settings endpoint,
                 admission_settings admission);
    ~request_gate() override;
    request_gate(request_gate const&) = delete;
    auto operator=(request_gate const&) -> request_gate& = delete;

    auto start() -> void;

    // Called on the network thread for each request and for each piece of an answer, before it is sent.
    auto on_live_bytes(std::function<void(live_bytes const&)> callback) -> void;

    // ---- graceful stop
    auto begin_leaving() -> void;
    [[nodiscard]] auto in_flight() const -> std::size_t;

    // ---- endpoint_control
    auto drain(milliseconds timeout) -> boost::asio::awaitable<bool> override;
    auto serve(served_weights const& weights) -> void override;
    auto close(result_code reason) -> void override;
    [[nodiscard]] auto serving() const -> std::optional<served_weights> override;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace hibiscuswall
