// Readmits ejected endpoints after a small RPC to their agents. Calls that must not be retried cannot serve
// as probes, so an entry that receives no other calls of a service would never use its ejected endpoints
// again.
#include "call_services.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

constexpr auto probe_interval = milliseconds{100}; // Between two checks for ejections that have ended.

} // namespace

auto call_handler::state::probe_loop() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    while (true) {
        for (auto const& host : router.endpoints_due_for_probe(clock::now()))
            asio::co_spawn(context.io, probe(host), asio::detached);
        co_await sleep_for(probe_interval);
    }
}

auto call_handler::state::probe(member host) -> asio::awaitable<void>
{
    auto self = shared_from_this();
    router.on_sent(host.name, clock::now());
    auto response = co_await rpc_call(context.client, host.control_address, "endpoint.status",
                                      nlohmann::json::object(), settings.resolve_timeout);
    if (!response) {
        router.on_failure(host.name, clock::now());
        co_return;
    }
    router.on_finished(host.name);
    context.metrics_registry.count("endpoints_readmitted_total");
    log_event(log_level::info, "endpoint_readmitted", {{"host", host.name}});
}

} // namespace hibiscuswall
