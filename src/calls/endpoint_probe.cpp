// Readmits ejected endpoints by a small question to their agents. Calls that must not repeat are no probes:
// an entry that gets no other calls of a service would never send to its ejected endpoints again.
#include "call_services.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

constexpr auto probe_period = milliseconds{100}; // between looks for ejections that are over

} // namespace

auto call_handler::state::probe_loop() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    while (true) {
        for (auto const& host : router.endpoints_due_for_probe(clock::now()))
            asio::co_spawn(context.io, probe(host), asio::detached);
        co_await sleep_for(probe_period);
    }
}

auto call_handler::state::probe(member host) -> asio::awaitable<void>
{
    auto self = shared_from_this();
    router.on_sent(host.name, clock::now());
    auto answer = co_await rpc_call(context.client, host.control_address, "endpoint.status",
                                    nlohmann::json::object(), settings.resolve_timeout);
    if (!answer) {
        router.on_failure(host.name, clock::now());
        co_return;
    }
    router.on_finished(host.name);
    context.metrics_registry.count("endpoints_readmitted_total");
    log_event(log_level::info, "endpoint_readmitted", {{"host", host.name}});
}

} // namespace hibiscuswall
