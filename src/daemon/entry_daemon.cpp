#include "hibiscuswall/daemon/entry_daemon.hpp"

#include "hibiscuswall/api/resource_api.hpp"
#include "hibiscuswall/calls/call_handler.hpp"
#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/membership/gossip_service.hpp"
#include "hibiscuswall/membership/member_table.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/platform/host_list_client.hpp"
#include "hibiscuswall/platform/key_value_client.hpp"

#include <iostream>

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-entry"};
constexpr auto apply_body_bytes = std::size_t{64U << 20U}; // one apply of all resources of a large deployment

// All modules of one entry, in the order in which they depend on each other.
struct entry_modules {
    daemon_base base;
    key_value_client store;
    host_list_client host_list;
    member_table members;
    config_service config;
    gossip_service gossip;
    resource_api api;
    http_router callers;
    call_handler calls;
    http_server caller_server;
    stop_settings stop;

    entry_modules(entry_settings const& settings, std::uint64_t seed)
        : base{settings.self, seed}, store{base.context().client, settings.platform.key_value,
                                           settings.platform.timeout},
          host_list{base.context().client, settings.platform.host_list, settings.platform.timeout},
          members{settings.membership}, config{base.context(), store, members, settings.config},
          gossip{base.context(), members, config, host_list, settings.membership},
          api{base.context(), config, store, members}, calls{base.context(), config,         members,
                                                             store,          settings.calls, callers},
          caller_server{base.context().io, callers, &base.context().events, {}}, stop{settings.stop}
    {
    }

    auto drain() -> asio::awaitable<void>
    {
        co_await gossip.announce_leaving();
        co_await sleep_for(stop.balancer_delay);
        caller_server.stop_accepting();
        auto const deadline = clock::now() + stop.drain_timeout;
        while ((calls.in_flight() > 0 || caller_server.active() > 0) && clock::now() < deadline)
            co_await sleep_for(milliseconds{10});
        log_event(log_level::info, "drained", {{"in_flight", std::to_string(calls.in_flight())}});
    }
};

auto listen_all(entry_modules& modules, entry_settings const& settings) -> result<void>
{
    auto limits = http_server_limits{};
    limits.body_bytes = apply_body_bytes;
    if (auto bound = modules.base.listen_control(settings.control_listen, limits); !bound)
        return bound.error();
    return modules.caller_server.listen(settings.client_listen);
}

} // namespace

auto read_entry_settings(nlohmann::json const& document, std::vector<std::string>& errors) -> entry_settings
{
    auto settings = entry_settings{};
    auto reader = settings_reader{document, "", errors};
    read_identity(reader, settings.self);
    settings.client_listen = reader.endpoint_address("client_listen");
    settings.control_listen = reader.endpoint_address("control_listen");
    settings.connect_from = reader.optional_ip("connect_from");
    settings.platform = read_platform_settings(reader.child("platform"));
    settings.stop = read_stop_settings(reader.child("stop"));
    settings.config = read_config_settings(reader.child("config"));
    settings.membership = read_membership_settings(reader.child("membership"));
    settings.calls = read_call_settings(reader.child("calls"));
    settings.log_level = reader.choice("log_level", "info", {"debug", "info", "warning", "error"});
    reader.finish();
    settings.self.role = member_role::entry;
    settings.self.control = settings.control_listen;
    settings.self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    return settings;
}

auto run_entry(int argc, char const* const* argv) -> int
{
    auto const options = parse_daemon_options(program, argc, argv);
    if (!options) {
        std::cerr << program << ": " << options.error().message << '\n';
        return exit_usage;
    }
    if (options.value().help) return exit_success;
    auto errors = std::vector<std::string>{};
    auto const settings = read_entry_settings(options.value().settings, errors);
    if (!errors.empty()) return report_settings_errors(program, options.value().settings_path, errors);
    if (options.value().check_only) return exit_success;

    auto const log = log_writer{settings.self.name, log_level_from_text(settings.log_level)};
    auto modules = entry_modules{settings, options.value().seed};
    if (auto bound = listen_all(modules, settings); !bound) {
        std::cerr << program << ": " << bound.error().message << '\n';
        return exit_usage;
    }
    modules.base.context().client.connect_from(settings.connect_from);
    modules.base.ready_when([&] { return modules.config.current() != nullptr; });
    modules.base.on_stop([&] { return modules.drain(); });
    modules.config.start();
    modules.gossip.start();
    modules.calls.start();
    return modules.base.run();
}

} // namespace hibiscuswall
