#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/daemon/direct_daemon.hpp"
#include "hibiscuswall/fleet/declaration_watch.hpp"
#include "hibiscuswall/fleet/load_report_sender.hpp"
#include "hibiscuswall/fleet/operator_sync.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/engine_weights_controller.hpp"
#include "platform/operator_documents.hpp"

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-agent"};
constexpr auto weights_bytes = std::uint64_t{48} << 20U; // of all versions that are kept
constexpr auto bytes_per_mbit = 125'000.0;
constexpr auto upload_share = 0.8; // of the link; the rest is for the engine's streams
constexpr auto download_share = 1.0;
constexpr auto entries_time = milliseconds{5'000}; // for entries to tell the services

auto keeper_settings(direct_agent_settings const& settings) -> engine_weights_settings
{
    auto keeper = engine_weights_settings{};
    keeper.engine = settings.engine;
    keeper.service = settings.service;
    auto& weights = keeper.weights;
    weights.staged_bytes = weights_bytes;
    weights.upload_rate = static_cast<std::uint64_t>(settings.link_mbps * bytes_per_mbit * upload_share);
    weights.download_rate = static_cast<std::uint64_t>(settings.link_mbps * bytes_per_mbit * download_share);
    weights.burst = 16 * 1024; // a request behind it waits 17 ms on the slowest link
    weights.upload_slots = 4;
    weights.source_fetchers = 6; // each takes a few chunks in turn, so that the first ones spread early
    weights.plan.helps_source_fetchers = true;
    weights.poll_peers = 0; // agents tell each other what they hold
    weights.peer_timeout = milliseconds{500};
    weights.plan.fetches = 3;
    weights.plan.progress_deadline = milliseconds{800};
    weights.plan.avoid_duration = milliseconds{5'000};
    return keeper;
}

// Agents know each other by the IP of their engine: the store lists endpoints, not agents.
auto named_by_ip(direct_agent_settings const& settings) -> member
{
    auto self = settings.self;
    self.name = settings.engine.ip;
    return self;
}

struct direct_agent {
    daemon_base base;
    key_value_client store;
    declared_state declared;
    load_report_sender loads;
    declaration_watch declarations;
    operator_sync exchange;
    agent_directory directory;
    engine_weights_controller keeper;

    direct_agent(direct_agent_settings const& settings, std::uint64_t seed)
        : base{named_by_ip(settings), seed}, store{base.context().client,
                                                   {settings.store},
                                                   settings.store_timeout},
          declared{settings.declared}, loads{base.context().io, base.context().self, declared},
          declarations{store, base.context().random, declared, base.pauses()},
          exchange{base.context(), declared, operator_scope::weights,
                   [this] { return declarations.complete_until(); },
                   [this](time_point now) { return loads.newer_peers(now); }},
          directory{base.context().client, store, base.context().self, settings.regions,
                    [this] { return loads.entries(clock::now()); }},
          keeper{base.context(), declared, directory, loads, keeper_settings(settings)}
    {
        base.ready_when([this] { return declared.map() != nullptr && keeper.serves_newest_version(); });
    }

    // An agent needs only its service's description out of the configuration, which entries tell in short.
    // The whole document, sent to every agent, fills the links between regions: it is read only where no
    // entry tells.
    auto find_services() -> asio::awaitable<void>
    {
        auto const key = std::string{platform::configuration_key};
        while (declared.map() == nullptr) {
            auto const part = 0.5 + 0.5 * base.context().random.fraction(); // agents do not read together
            auto const pause = part * static_cast<double>(entries_time.count());
            co_await sleep_for(milliseconds{static_cast<long long>(pause)});
            if (declared.map() != nullptr) co_return;
            auto const found = co_await store.range(key, true);
            if (found) declared.replace(key, found.value().items, found.value().revision, clock::now());
        }
    }

    auto start(direct_agent_settings const& settings) -> result<void>
    {
        if (auto bound = base.listen_control(settings.peer_listen, {}); !bound) return bound.error();
        if (auto bound = loads.start(); !bound) return bound.error();
        auto const start = [&](char const* name, std::function<asio::awaitable<void>()> loop) {
            start_loop(base.context().io.get_executor(), name, std::move(loop),
                       &base.context().metrics_registry);
        };
        start("declarations", [this] { return declarations.run(); });
        start("services", [this] { return find_services(); });
        start("operator_sync", [this] { return exchange.run(); });
        keeper.start();
        return success();
    }
};

} // namespace

auto run_direct_agent(direct_agent_settings const& settings, std::uint64_t seed) -> int
{
    auto const log = log_writer{settings.self.name, log_level_from_text(settings.log_level)};
    auto daemon = direct_agent{settings, seed};
    if (auto started = daemon.start(settings); !started)
        return report_start_failure(program, started.error());
    return daemon.base.run();
}

} // namespace hibiscuswall
