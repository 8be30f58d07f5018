#pragma once
// What every module of a daemon shares. Owned by the daemon, used on the network thread only.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/http/http_router.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/observe/metrics.hpp"
#include "hibiscuswall/observe/timeline.hpp"
#include "hibiscuswall/rpc/rpc_dispatcher.hpp"

#include <boost/asio/io_context.hpp>

namespace hibiscuswall {

struct process_context {
    asio::io_context& io;
    member self;               // this process; incarnation and state change while it runs
    http_client& client;       // all outgoing HTTP
    rpc_dispatcher& rpc;       // JSON-RPC methods of this process
    http_router& control;      // routes of the control listener (at an agent: its only listener)
    timeline& events;          // event ring
    metrics& metrics_registry; // Prometheus metrics
    random_source& random;     // seeded generator
};

} // namespace hibiscuswall
