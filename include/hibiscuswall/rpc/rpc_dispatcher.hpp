#pragma once
// JSON-RPC 2.0 methods of a process, served at POST /rpc.
//
//   rpc.add("peer.exchange", [&](nlohmann::json const& params) -> result<nlohmann::json> { ... });
//   rpc.serve(routes);
//
//   auto answer = co_await rpc_call(client, where, "config.fetch", {{"have_revision", 3}},
//   milliseconds{500});
//
// Handlers run on the network thread and return at once; what takes longer is started and answered elsewhere.

#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/http/http_router.hpp"
#include "hibiscuswall/rpc/jsonrpc_codec.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace hibiscuswall {

using rpc_method = std::function<result<nlohmann::json>(nlohmann::json const& params)>;

// Of a method that needs to know how old the call is: when the first bytes of the request arrived.
using timed_rpc_method =
    std::function<result<nlohmann::json>(nlohmann::json const& params, time_point received_at)>;

class rpc_dispatcher {
public:
    rpc_dispatcher();

    auto add(std::string const& name, rpc_method method) -> void;
    auto add_timed(std::string const& name, timed_rpc_method method) -> void;
    auto serve(http_router& routes) -> void;

    // Text to text, for tests and fuzzing.
    auto handle(std::string const& request, time_point received_at) -> std::string;

private:
    std::map<std::string, timed_rpc_method> methods_;
    time_point received_at_; // of the request that is handled
    jsonrpc_server codec_;
};

// Calls a peer. Errors: the transport's codes, or rpc_failed with the peer's message.
auto rpc_call(http_client& client, address where, std::string method, nlohmann::json params,
              milliseconds timeout) -> asio::awaitable<result<nlohmann::json>>;

} // namespace hibiscuswall
