#pragma once
// Sends load orders to the model engine beside an agent and reads its status (docs/platform.md).
//
//   auto engine = engine_client{client, where, milliseconds{1000}};
//   auto status = co_await engine.status();
//   auto order = load_order{...};
//   auto loaded = co_await engine.load(order, send_by);
//   // errors: fencing_outdated  the engine has seen this or a higher fencing number
//   //         deadline_exceeded the order was not sent: send_by had passed
//   //         load_rejected     the engine rejected the order and changed nothing
//   //         connection_lost, transport_timeout   outcome unknown: read the status first

#include "hibiscuswall/core/rate_statement.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_client.hpp"

#include <cstdint>
#include <string>

namespace hibiscuswall {

enum class engine_state {
    cold,
    warming,
    ready,
};

struct engine_status {
    std::string instance;                    // changes when the engine restarts
    engine_state state = engine_state::cold; // as reported
    std::string model;                       // loaded model; empty: none
    std::string adapter;                     // loaded adapter; empty: none
    std::string version;                     // loaded weights version
    std::string manifest_digest;             // SHA-256 of the loaded version's manifest
    std::uint64_t fencing = 0;               // fencing number of the last accepted order
    int running = 0;                         // requests in the current batch, as of load_age ago
    int queued = 0;                          // requests waiting in the engine, as of load_age ago
    milliseconds load_age{0};                // age of running and queued
    rate_statement rate;                     // the rate of calls that the engine takes
};

struct load_order {
    std::string model;           // as in the ModelServing resource
    std::string adapter;         // empty: none
    std::string version;         // weights version
    std::string manifest_digest; // SHA-256 of the manifest text
    std::uint64_t fencing = 0;   // greater than that of every earlier order to this host
    address source;              // agent that serves GET /weights/{version} to the engine

    // GCC 12 destroys an aggregate temporary inside a co_await expression twice; constructors avoid it.
    load_order() = default;
    load_order(std::string of_model, std::string of_adapter, std::string of_version, std::string digest,
               std::uint64_t number, address from)
        : model{std::move(of_model)}, adapter{std::move(of_adapter)}, version{std::move(of_version)},
          manifest_digest{std::move(digest)}, fencing{number}, source{std::move(from)}
    {
    }
};

class engine_client {
public:
    engine_client(http_client& client, address where, milliseconds timeout)
        : client_{client}, address_{std::move(where)}, timeout_{timeout}
    {
    }

    auto status() -> asio::awaitable<result<engine_status>>;

    // send_by: when the fencing number and what else the order is based on expire.
    auto load(load_order order, time_point send_by) -> asio::awaitable<result<void>>;

    // Cancels a request. Also succeeds if the engine no longer knows the request.
    auto cancel(std::string request_id) -> asio::awaitable<result<void>>;

    [[nodiscard]] auto where() const -> address const& { return address_; }

private:
    http_client& client_;
    address address_;
    milliseconds timeout_;
};

} // namespace hibiscuswall
