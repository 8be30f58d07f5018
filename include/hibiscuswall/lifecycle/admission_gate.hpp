#pragma once
// Interface of the agent's request gate for the activation of weights: stops admission, waits until no
// request is in flight, and admits requests again once the engine serves the new weights.
//
//   if (co_await gate.drain(milliseconds{30'000})) ...send the load order to the engine...
//   gate.serve({model, adapter, version, manifest_digest});

#include "hibiscuswall/core/result_code.hpp"
#include "hibiscuswall/core/time.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace hibiscuswall {

struct served_weights {
    std::string model;
    std::string adapter; // empty: no adapter
    std::string version;
    std::string manifest_digest; // SHA-256 of the manifest text, as reported in the engine's status

    friend auto operator==(served_weights const&, served_weights const&) -> bool = default;
};

class admission_gate {
public:
    admission_gate() = default;
    admission_gate(admission_gate const&) = delete;
    auto operator=(admission_gate const&) -> admission_gate& = delete;
    virtual ~admission_gate() = default;

    // Rejects new requests as not run (endpoint_draining) and waits for those in flight; false when some are
    // still in flight after the timeout.
    virtual auto drain(milliseconds timeout) -> boost::asio::awaitable<bool> = 0;

    // Admits requests again, starting from the cold limit, for exactly these weights. The gate compares them
    // with the engine's status and closes itself on a mismatch.
    virtual auto serve(served_weights const& weights) -> void = 0;

    // Rejects new requests with this code until serve() is called.
    virtual auto close(result_code reason) -> void = 0;

    // The weights being served; none while closed or draining. The fields are empty for an open plain
    // service.
    [[nodiscard]] virtual auto serving() const -> std::optional<served_weights> = 0;
};

} // namespace hibiscuswall
