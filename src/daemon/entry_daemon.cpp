#include "hibiscuswall/daemon/entry_daemon.hpp"

#include "hibiscuswall/api/resource_api.hpp"
#include "hibiscuswall/calls/call_handler.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_core.hpp"
#include "hibiscuswall/daemon/direct_daemon.hpp"
#include "hibiscuswall/daemon/held_signals.hpp"
#include "hibiscuswall/observe/log.hpp"

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-entry"};
constexpr auto apply_body_bytes = std::size_t{64U << 20U}; // one apply of all resources of a large deployment

// All modules of one entry, in the order in which they depend on each other.
struct entry_modules {
    daemon_core core;
    resource_api api;
    http_router callers;
    call_handler calls;
    http_server caller_server;
    stop_settings stop;

    entry_modules(entry_settings const& settings, std::uint64_t seed)
        : core{settings, seed}, api{core.base.context(), core.config, core.members},
          calls{core.base.context(), core.config, core.members, core.store, settings.calls, callers},
          caller_server{core.base.context().io, callers, &core.base.context().events, {}}, stop{settings.stop}
    {
    }

    auto listen(entry_settings const& settings) -> result<void>
    {
        auto limits = http_server_limits{};
        limits.body_bytes = apply_body_bytes;
        if (auto bound = core.base.listen_control(settings.control_listen, limits); !bound)
            return bound.error();
        return caller_server.listen(settings.client_listen);
    }

    auto drain() -> asio::awaitable<void>
    {
        co_await core.gossip.announce_leaving();
        co_await sleep_for(stop.balancer_delay);
        caller_server.stop_accepting();
        auto const deadline = clock::now() + stop.drain_timeout;
        while ((calls.in_flight() > 0 || caller_server.active() > 0) && clock::now() < deadline)
            co_await sleep_for(milliseconds{10});
        log_event(log_level::info, "drained", {{"in_flight", std::to_string(calls.in_flight())}});
    }
};

auto serve(entry_settings const& settings, std::uint64_t seed) -> int
{
    auto const log = log_writer{settings.self.name, log_level_from_text(settings.log_level)};
    auto modules = entry_modules{settings, seed};
    if (auto bound = modules.listen(settings); !bound) return report_start_failure(program, bound.error());
    modules.core.base.ready_when([&] { return modules.core.config.current() != nullptr; });
    modules.core.base.on_stop([&] { return modules.drain(); });
    modules.core.start();
    modules.calls.start();
    return modules.core.base.run();
}

} // namespace

auto read_entry_settings(nlohmann::json const& document, std::vector<std::string>& errors) -> entry_settings
{
    auto settings = entry_settings{};
    auto reader = settings_reader{document, "", errors};
    read_daemon_settings(reader, settings);
    settings.client_listen = reader.endpoint_address("client_listen");
    settings.control_listen = reader.endpoint_address("control_listen");
    read_advertised_address(reader, settings.control_listen, settings.self);
    settings.calls = read_call_settings(reader.child("calls"));
    reader.finish();
    settings.self.role = member_role::entry;
    return settings;
}

auto run_entry(int argc, char const* const* argv) -> int
{
    hold_signals();
    auto const options = parse_daemon_options(program, argc, argv);
    if (options && is_direct(options.value().settings))
        return run_daemon(program, argc, argv, read_direct_entry_settings, run_direct_entry);
    return run_daemon(program, argc, argv, read_entry_settings, serve);
}

} // namespace hibiscuswall
