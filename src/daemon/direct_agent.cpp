#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/daemon/direct_daemon.hpp"
#include "hibiscuswall/fleet/load_report_channel.hpp"
#include "hibiscuswall/fleet/operator_sync.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/engine_weights_controller.hpp"
#include "platform/operator_documents.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-agent"};
constexpr auto weights_bytes = std::uint64_t{48} << 20U; // of all versions that are kept
constexpr auto bytes_per_mbit = 125'000.0;
constexpr auto upload_share = 0.8; // of the link; the rest is for the engine's streams
constexpr auto download_share = 1.0;
constexpr auto declaration_wait = milliseconds{15'000};
constexpr auto entries_time = milliseconds{5'000}; // for entries to tell the services

auto keeper_settings(direct_agent_settings const& settings) -> engine_keeper_settings
{
    auto keeper = engine_keeper_settings{};
    keeper.engine = settings.engine;
    keeper.service = settings.service;
    auto& weights = keeper.weights;
    weights.staged_bytes = weights_bytes;
    weights.upload_rate = static_cast<std::uint64_t>(settings.link_mbps * bytes_per_mbit * upload_share);
    weights.download_rate = static_cast<std::uint64_t>(settings.link_mbps * bytes_per_mbit * download_share);
    weights.burst = 16 * 1024; // a request behind it waits 17 ms on the slowest link
    weights.upload_slots = 4;
    weights.drawers = 6; // each takes a few chunks in turn, so that the first ones spread early
    weights.plan.helps_drawers = true;
    weights.poll_peers = 0; // agents tell each other what they hold
    weights.peer_timeout = milliseconds{500};
    weights.plan.fetches = 3;
    weights.plan.progress_deadline = milliseconds{800};
    weights.plan.avoid_time = milliseconds{5'000};
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
    fleet_state fleet;
    load_announcer loads;
    prefix_mirror declarations;
    operator_exchange exchange;
    agent_directory directory;
    engine_keeper keeper;

    direct_agent(direct_agent_settings const& settings, std::uint64_t seed)
        : base{named_by_ip(settings), seed}, store{base.context().client,
                                                   {settings.store},
                                                   settings.store_timeout},
          fleet{settings.fleet}, loads{base.context().io, base.context().self, fleet},
          declarations{store, base.context().random, std::string{platform::weights_prefix},
                       declaration_settings(), declaration_events()},
          exchange{base.context(), fleet, operator_part::weights, [this] { return loads.newer_peer(); }},
          directory{store, base.context().self, settings.regions}, keeper{base.context(), fleet, directory,
                                                                          loads, keeper_settings(settings)}
    {
        base.ready_when([this] { return fleet.map() != nullptr && keeper.serves_wanted(); });
    }

    // Entries tell an agent whose watch went silent that there is a newer declaration.
    static auto declaration_settings() -> mirror_settings
    {
        auto settings = mirror_settings{};
        settings.wait = declaration_wait;
        return settings;
    }

    auto declaration_events() -> mirror_events
    {
        return {[this](store_range const& found, bool /*store_was_away*/) {
                    fleet.replace(platform::weights_prefix, found.items, found.revision, clock::now());
                },
                [this](store_change const& change, bool /*store_was_away*/) {
                    fleet.apply(change, clock::now());
                }};
    }

    // An agent needs only its service's description out of the configuration, which entries tell in short.
    // The whole document, sent to every agent, fills the links between regions: it is read only where no
    // entry tells.
    auto find_services() -> asio::awaitable<void>
    {
        auto const key = std::string{platform::configuration_key};
        while (fleet.map() == nullptr) {
            auto const part = 0.5 + 0.5 * base.context().random.fraction(); // agents do not read together
            auto const pause = part * static_cast<double>(entries_time.count());
            co_await sleep_for(milliseconds{static_cast<long long>(pause)});
            if (fleet.map() != nullptr) co_return;
            auto const found = co_await store.range(key, true);
            if (found) fleet.replace(key, found.value().items, found.value().revision, clock::now());
        }
    }

    auto start(direct_agent_settings const& settings) -> result<void>
    {
        if (auto bound = base.listen_control(settings.peer_listen, {}); !bound) return bound.error();
        if (auto bound = loads.start(); !bound) return bound.error();
        asio::co_spawn(base.context().io, declarations.run(), asio::detached);
        asio::co_spawn(base.context().io, find_services(), asio::detached);
        asio::co_spawn(base.context().io, exchange.run(), asio::detached);
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
