#pragma once
// Admission check in front of an endpoint. Every request of every entry passes POST /forward of the
// endpoint's agent, which reports it as not run without sending it to the endpoint, queues it, or forwards it
// and relays the response.
//
//   auto gate = request_gate{context, config, endpoint, admission};
//   gate.on_request_traffic([&](request_traffic const& traffic) { ...count it against the host's link... });
//   gate.start();
//   gate.begin_leaving();                        // no new work; then wait until in_flight() is 0
//
// Registers POST /forward and the methods call.resolve and endpoint.status. In front of an engine, it admits
// no work until serve() was called and the engine's status shows the ordered digest. A plain service needs no
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

// Bytes of request and response bodies that were transferred over this host's link.
struct request_traffic {
    std::uint64_t received = 0; // From entries.
    std::uint64_t sent = 0;     // To entries.
};

class request_gate final : public admission_gate {
public:
    request_gate(process_context& context, config_source& config, endpoint_settings endpoint,
                 admission_settings admission);
    ~request_gate() override;
    request_gate(request_gate const&) = delete;
    auto operator=(request_gate const&) -> request_gate& = delete;

    auto start() -> void;

    // The callback is called on the network thread for each request and, before it is sent, for each piece of
    // a response.
    auto on_request_traffic(std::function<void(request_traffic const&)> callback) -> void;

    // ---- graceful stop
    auto begin_leaving() -> void;
    [[nodiscard]] auto in_flight() const -> std::size_t;

    // ---- admission_gate
    auto drain(milliseconds timeout) -> boost::asio::awaitable<bool> override;
    auto serve(served_weights const& weights) -> void override;
    auto close(result_code reason) -> void override;
    [[nodiscard]] auto serving() const -> std::optional<served_weights> override;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace hibiscuswall
