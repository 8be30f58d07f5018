#include "hibiscuswall/daemon/agent_daemon.hpp"

#include "hibiscuswall/calls/request_gate.hpp"
#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/membership/gossip_service.hpp"
#include "hibiscuswall/membership/member_table.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/platform/engine_client.hpp"
#include "hibiscuswall/platform/host_list_client.hpp"
#include "hibiscuswall/platform/key_value_client.hpp"
#include "hibiscuswall/weights/weights_service.hpp"

#include <iostream>

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-agent"};

// All modules of one agent, in the order in which they depend on each other.
struct agent_modules {
    daemon_base base;
    key_value_client store;
    host_list_client host_list;
    member_table members;
    config_service config;
    gossip_service gossip;
    engine_client engine;
    request_gate gate;
    weights_service weights;
    stop_settings stop;

    agent_modules(agent_settings const& settings, std::uint64_t seed)
        : base{settings.self, seed}, store{base.context().client, settings.platform.key_value,
                                           settings.platform.timeout},
          host_list{base.context().client, settings.platform.host_list, settings.platform.timeout},
          members{settings.membership}, config{base.context(), store, members, settings.config},
          gossip{base.context(), members, config, host_list, settings.membership},
          engine{base.context().client, settings.endpoint.where, settings.platform.timeout},
          gate{base.context(), config, settings.endpoint, settings.admission},
          weights{base.context(),
                  config,
                  members,
                  store,
                  settings.endpoint.type == service_type::engine ? &engine : nullptr,
                  gate,
                  {settings.platform.weight_store, settings.platform.origin},
                  settings.weights},
          stop{settings.stop}
    {
    }

    auto drain() -> asio::awaitable<void>
    {
        gate.begin_leaving();
        co_await gossip.announce_leaving();
        auto const deadline = clock::now() + stop.drain_timeout;
        while (gate.in_flight() > 0 && clock::now() < deadline)
            co_await sleep_for(milliseconds{10});
        log_event(log_level::info, "drained", {{"in_flight", std::to_string(gate.in_flight())}});
    }
};

} // namespace

auto read_agent_settings(nlohmann::json const& document, std::vector<std::string>& errors) -> agent_settings
{
    auto settings = agent_settings{};
    auto reader = settings_reader{document, "", errors};
    read_identity(reader, settings.self);
    settings.listen = reader.endpoint_address("listen");
    settings.connect_from = reader.optional_ip("connect_from");
    settings.platform = read_platform_settings(reader.child("platform"));
    settings.endpoint = read_endpoint_settings(reader.child("endpoint"));
    settings.admission = read_admission_settings(reader.child("admission"));
    settings.weights = read_weights_settings(reader.child("weights"));
    settings.stop = read_stop_settings(reader.child("stop"));
    settings.config = read_config_settings(reader.child("config"));
    settings.membership = read_membership_settings(reader.child("membership"));
    settings.log_level = reader.choice("log_level", "info", {"debug", "info", "warning", "error"});
    reader.finish();
    settings.self.role = member_role::agent;
    settings.self.control = settings.listen;
    settings.self.service = settings.endpoint.service;
    settings.self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    return settings;
}

auto run_agent(int argc, char const* const* argv) -> int
{
    auto const options = parse_daemon_options(program, argc, argv);
    if (!options) {
        std::cerr << program << ": " << options.error().message << '\n';
        return exit_usage;
    }
    if (options.value().help) return exit_success;
    auto errors = std::vector<std::string>{};
    auto const settings = read_agent_settings(options.value().settings, errors);
    if (!errors.empty()) return report_settings_errors(program, options.value().settings_path, errors);
    if (options.value().check_only) return exit_success;

    auto const log = log_writer{settings.self.name, log_level_from_text(settings.log_level)};
    auto modules = agent_modules{settings, options.value().seed};
    if (auto bound = modules.base.listen_control(settings.listen, {}); !bound) {
        std::cerr << program << ": " << bound.error().message << '\n';
        return exit_usage;
    }
    modules.base.context().client.connect_from(settings.connect_from);
    modules.base.ready_when(
        [&] { return modules.config.current() != nullptr && modules.gate.serving().has_value(); });
    modules.base.on_stop([&] { return modules.drain(); });
    modules.config.start();
    modules.gossip.start();
    modules.gate.start();
    modules.weights.start();
    return modules.base.run();
}

} // namespace hibiscuswall
