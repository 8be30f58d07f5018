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

class rpc_dispatcher {
public:
    rpc_dispatcher();

    auto add(std::string const& name, rpc_method method) -> void;
    auto serve(http_router& routes) -> void;

    // Text to text, for tests and fuzzing.
    auto handle(std::string const& request) -> std::string { return codec_.handle(request); }

private:
    std::map<std::string, rpc_method> methods_;
    jsonrpc_server codec_;
};

// Calls a peer. Errors: the transport's codes, or rpc_failed with the peer's message.
auto rpc_call(http_client& client, address where, std::string method, nlohmann::json params,
              milliseconds timeout) -> asio::awaitable<result<nlohmann::json>>;

} // namespace hibiscuswall
