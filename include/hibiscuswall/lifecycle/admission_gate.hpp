#pragma once
// What activation of weights needs from the agent's request gate: stop admission, wait until nothing is in
// flight, open again with what the engine now serves.
//
//   if (co_await gate.drain(milliseconds{30'000})) ...order the engine...
//   gate.serve({model, adapter, version, manifest_digest});

#include "hibiscuswall/core/result_code.hpp"
#include "hibiscuswall/core/time.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace hibiscuswall {

struct served_weights {
    std::string model;
    std::string adapter; // empty: none
    std::string version;
    std::string manifest_digest; // SHA-256 of the manifest text; the engine reports it in its status

    friend auto operator==(served_weights const&, served_weights const&) -> bool = default;
};

class endpoint_control {
public:
    endpoint_control() = default;
    endpoint_control(endpoint_control const&) = delete;
    auto operator=(endpoint_control const&) -> endpoint_control& = delete;
    virtual ~endpoint_control() = default;

    // Refuses new work ("not run", endpoint_draining) and waits for the requests in flight; false when some
    // remain.
    virtual auto drain(milliseconds timeout) -> boost::asio::awaitable<bool> = 0;

    // Admits work again, from the cold limit, for exactly these weights. The gate compares them with the
    // engine's status and closes itself on a mismatch.
    virtual auto serve(served_weights const& weights) -> void = 0;

    // Refuses new work with this code until serve() is called.
    virtual auto close(result_code reason) -> void = 0;

    // What is being served; none while closed or draining. Beside an open plain service: empty fields.
    [[nodiscard]] virtual auto serving() const -> std::optional<served_weights> = 0;
};

} // namespace hibiscuswall
