#include "hibiscuswall/daemon/agent_daemon.hpp"

#include "hibiscuswall/calls/request_gate.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_core.hpp"
#include "hibiscuswall/daemon/direct_daemon.hpp"
#include "hibiscuswall/daemon/held_signals.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/platform/engine_client.hpp"
#include "hibiscuswall/weights/weights_service.hpp"

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-agent"};

// All modules of one agent, in the order in which they depend on each other.
struct agent_modules {
    daemon_core core;
    engine_client engine;
    request_gate gate;
    weights_service weights;
    stop_settings stop;

    agent_modules(agent_settings const& settings, std::uint64_t seed)
        : core{settings, seed}, engine{core.base.context().client, settings.endpoint.target_address,
                                       settings.platform.timeout},
          gate{core.base.context(), core.config, settings.endpoint, settings.admission},
          weights{core.base.context(),
                  core.config,
                  core.members,
                  core.store,
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
        co_await core.gossip.announce_leaving();
        auto const deadline = clock::now() + stop.drain_timeout;
        while (gate.in_flight() > 0 && clock::now() < deadline)
            co_await sleep_for(milliseconds{10});
        log_event(log_level::info, "drained", {{"in_flight", std::to_string(gate.in_flight())}});
    }
};

auto serve(agent_settings const& settings, std::uint64_t seed) -> int
{
    auto const log = log_writer{settings.self.name, log_level_from_text(settings.log_level)};
    auto modules = agent_modules{settings, seed};
    if (auto bound = modules.core.base.listen_control(settings.listen, {}); !bound)
        return report_start_failure(program, bound.error());
    modules.core.base.ready_when(
        [&] { return modules.core.config.current() != nullptr && modules.gate.serving().has_value(); });
    modules.core.base.on_stop([&] { return modules.drain(); });
    modules.gate.on_request_traffic([&](request_traffic const& moved) {
        modules.weights.charge_request_traffic(moved.received, moved.sent);
    });
    modules.core.start();
    modules.gate.start();
    modules.weights.start();
    return modules.core.base.run();
}

} // namespace

auto read_agent_settings(nlohmann::json const& document, std::vector<std::string>& errors) -> agent_settings
{
    auto settings = agent_settings{};
    auto reader = settings_reader{document, "", errors};
    read_daemon_settings(reader, settings);
    settings.listen = reader.endpoint_address("listen");
    read_advertised_address(reader, settings.listen, settings.self);
    settings.endpoint = read_endpoint_settings(reader.child("endpoint"));
    settings.admission = read_admission_settings(reader.child("admission"));
    settings.weights = read_weights_settings(reader.child("weights"));
    reader.finish();
    settings.self.role = member_role::agent;
    settings.self.service = settings.endpoint.service;
    return settings;
}

auto run_agent(int argc, char const* const* argv) -> int
{
    hold_signals();
    auto const options = parse_daemon_options(program, argc, argv);
    if (options && is_direct(options.value().settings))
        return run_daemon(program, argc, argv, read_direct_agent_settings, run_direct_agent);
    return run_daemon(program, argc, argv, read_agent_settings, serve);
}

} // namespace hibiscuswall
