#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/daemon/direct_daemon.hpp"
#include "hibiscuswall/fleet/agent_list.hpp"
#include "hibiscuswall/fleet/entry_directory.hpp"
#include "hibiscuswall/fleet/entry_registration.hpp"
#include "hibiscuswall/fleet/load_report_receiver.hpp"
#include "hibiscuswall/fleet/operator_follower.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"
#include "hibiscuswall/fleet/quarantine_exchange.hpp"
#include "hibiscuswall/fleet/quarantine_routes.hpp"
#include "hibiscuswall/fleet/quarantine_store.hpp"
#include "hibiscuswall/fleet/rate_exchange.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/endpoint_records.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto program = std::string_view{"hibiscus-entry"};
// Changes of endpoints within this time cost one call to the store. The more entries follow the list, the
// longer it is; endpoints that leave announce it to their callers earlier.
constexpr auto gather_per_entry = milliseconds{25};
constexpr auto min_gather = milliseconds{400};
constexpr auto max_gather = milliseconds{1'000};
constexpr auto balancer_time = milliseconds{2'900};   // until the balancer sends no new connections
constexpr auto stop_margin = milliseconds{700};       // before SIGKILL: calls that still run are ended
constexpr auto last_answers_time = milliseconds{400}; // for the answers of these
constexpr auto directory_wait = milliseconds{25'000}; // of one watch call; entries change rarely
constexpr auto gather_entries = milliseconds{1'000};  // changes of entries within it cost one call
constexpr auto directory_check_interval = milliseconds{1'000};
constexpr auto lag_check_interval = milliseconds{200};
constexpr auto min_logged_lag =
    milliseconds{1'000}; // the store's watch usually delivers a change long before
constexpr auto quarantine_check_interval = milliseconds{1'000};
constexpr auto stall_check_interval = milliseconds{200};
constexpr auto stall_margin = milliseconds{600}; // beyond the time within which entries gather changes

struct direct_entry {
    daemon_base base;
    key_value_client store;
    declared_state declared;
    endpoint_table endpoints;
    load_report_receiver loads;
    prompt_quarantine quarantine;
    quarantine_exchange quarantine_peers;
    quarantine_store quarantine_storage;
    quarantine_routes quarantine_operations;
    rate_exchange rate_limits;
    call_relay relay;
    http_router caller_routes;
    http_router ready_routes;
    http_server caller_server;
    http_server ready_server;
    operator_follower operators;
    prefix_watcher listing;
    entry_directory directory;
    entry_registration registration;
    prefix_watcher directory_watcher;
    std::map<std::string, std::uint64_t> known_versions; // newest declared weights by model
    bool has_listing = false;                            // endpoints were read once
    int shared_count = 0; // entries among which endpoints and limits were last shared
    milliseconds settle_time;
    milliseconds stop_time;

    direct_entry(direct_entry_settings const& settings, std::uint64_t seed)
        : base{settings.self, seed}, store{base.context().client, {settings.store}, settings.store_timeout},
          declared{settings.declared}, endpoints{{},
                                                 settings.regions,
                                                 settings.self.name,
                                                 base.context().random},
          loads{base.context().io, base.context().self, endpoints, declared},
          quarantine{{}, settings.self.name}, quarantine_peers{base.context().io, settings.self.name,
                                                               quarantine, loads, base.context().random},
          quarantine_storage{store, base.context().random, settings.self.name, quarantine,
                             [this] { quarantine_peers.on_change(); }},
          quarantine_operations{base.context(), quarantine, [this] { quarantine_peers.on_change(); }},
          rate_limits{base.context(), endpoints, loads}, relay{base.context().io,
                                                               declared,
                                                               endpoints,
                                                               quarantine,
                                                               base.context().random,
                                                               base.context().metrics_registry,
                                                               settings.self.region,
                                                               settings.relay},
          caller_server{base.context().io, caller_routes, nullptr, server_limits({})},
          ready_server{base.context().io, ready_routes, nullptr, {}},
          operators{base.context(), store, declared, loads, base.pauses(), settings.settle_time},
          listing{store, base.context().random, std::string{platform::endpoint_prefix},
                  listing_settings(watch_wait(settings.settle_time, min_gather)), listing_events()},
          directory{{}, listing_of(settings.self)}, registration{store, base.context().random,
                                                                 listing_of(settings.self)},
          directory_watcher{store, base.context().random, std::string{entry_prefix}, directory_settings(),
                            directory_events()},
          settle_time{settings.settle_time}, stop_time{settings.stop_time}
    {
        caller_routes.add("*", "/", [this](http_request const& request, http_responder& out) {
            return relay.serve(request, out);
        });
        ready_routes.add("*", "/", [this](http_request const& /*request*/, http_responder& out) {
            return answer_ready(out);
        });
        add_agent_list_route(base.context().control, endpoints, [this] { return has_listing; });
        declared.on_change([this] { on_declared_change(); });
        loads.set_shed_level_source([this] { return relay.shed_level(); });
        loads.set_records_revision_source([this] { return listing.changed_revision(); });
        loads.on_load_report([this] { relay.on_load_report(); });
        rate_limits.on_grant([this] { relay.on_load_report(); });
        relay.on_crash_evidence([this] { quarantine_peers.on_change(); });
        base.ready_when([this] { return declared.map() != nullptr && has_listing; });
        base.on_stop([this] { return drain(); });
    }

    auto on_declared_change() -> void
    {
        if (declared.map() == nullptr) return;
        caller_server.change_limits(server_limits(declared.map()->limits()));
        for (auto const& service : declared.map()->services())
            if (service.engine) on_declared_weights(service.engine->model);
    }

    auto on_declared_weights(std::string const& model) -> void
    {
        auto const version = declared.newest_version(model);
        auto const is_known = known_versions.contains(model);
        if (std::exchange(known_versions[model], version) == version || !is_known) return;
        quarantine.on_weights_declared(model, clock::now());
    }

    static auto server_limits(caller_limits const& limits) -> http_server_limits
    {
        auto server = http_server_limits{};
        server.header_bytes = limits.header_bytes;
        server.body_bytes = limits.body_bytes;
        server.idle_timeout = limits.idle_timeout;
        return server;
    }

    static auto listing_of(member const& self) -> listed_entry
    {
        return {self.name, self.region, self.control_address};
    }

    static auto listing_settings(milliseconds wait) -> prefix_watcher_settings
    {
        auto settings = prefix_watcher_settings{};
        settings.wait = wait;
        settings.batch_delay = min_gather;
        return settings;
    }

    static auto directory_settings() -> prefix_watcher_settings
    {
        auto settings = prefix_watcher_settings{};
        settings.wait = directory_wait;
        settings.batch_delay = gather_entries;
        return settings;
    }

    auto directory_events() -> prefix_watcher_callbacks
    {
        return {[this](store_range const& found, bool /*store_was_unavailable*/) {
                    directory.replace(found.items, clock::now());
                    share_among_entries(clock::now());
                },
                [this](store_change const& change, bool /*store_was_unavailable*/) {
                    directory.apply(change, clock::now());
                    share_among_entries(clock::now());
                }};
    }

    // Passes on which entries share endpoints and limits with this one.
    auto share_among_entries(time_point now) -> void
    {
        if (!directory.is_known()) return;
        auto entries = directory.entries();
        auto const departed = directory.departed(now);
        auto const count = static_cast<int>(entries.size()) + departed;
        if (count != shared_count)
            log_event(log_level::info, "entries_changed",
                      {{"entries", std::to_string(entries.size())}, {"departed", std::to_string(departed)}});
        shared_count = count;
        auto const gather = std::clamp(count * gather_per_entry, min_gather, max_gather);
        listing.set_batch_delay(gather);
        listing.set_wait(watch_wait(settle_time, gather));
        relay.set_entry_count(count + 1); // one that has just started may not be listed yet
        set_quarantine_entries(entries);
        rate_limits.set_entries(entries);
        endpoints.set_entries(std::move(entries), departed);
        endpoints.update_assignment(now);
    }

    auto set_quarantine_entries(std::vector<listed_entry> const& entries) -> void
    {
        auto names = std::vector<std::string>{};
        for (auto const& entry : entries)
            names.push_back(entry.name);
        quarantine_peers.set_entries(entries);
        quarantine_storage.set_entries(names);
        quarantine.set_entries(std::move(names));
    }

    // Entries that departed long ago no longer count.
    auto run_directory_checks() -> asio::awaitable<void>
    {
        while (true) {
            co_await sleep_for(directory_check_interval);
            auto const now = clock::now();
            auto const count = static_cast<int>(directory.entries().size()) + directory.departed(now);
            if (count != shared_count) share_among_entries(now);
        }
    }

    // Old marks of crashes no longer count.
    auto run_quarantine_checks() -> asio::awaitable<void>
    {
        while (true) {
            co_await sleep_for(quarantine_check_interval);
            quarantine.remove_expired(clock::now());
        }
    }

    // Reads the endpoints again if another entry has known a newer change for longer than the watch needs.
    auto run_stall_checks() -> asio::awaitable<void>
    {
        auto behind_since = std::optional<time_point>{};
        while (true) {
            co_await sleep_for(stall_check_interval);
            auto const now = clock::now();
            if (loads.peer_records_revision() <= listing.covered_revision())
                behind_since.reset();
            else if (!behind_since)
                behind_since = now;
            if (!behind_since || now - *behind_since < max_gather + stall_margin) continue;
            co_await listing.refresh();
            behind_since = clock::now();
        }
    }

    auto listing_events() -> prefix_watcher_callbacks
    {
        return {[this](store_range const& found, bool away) { take_listing(found, away); },
                [this](store_change const& change, bool away) { take_endpoint(change, away); }};
    }

    auto take_listing(store_range const& found, bool store_was_unavailable) -> void
    {
        auto const now = clock::now();
        auto records = std::vector<endpoint_record>{};
        for (auto const& item : found.items) {
            auto record = platform::decode_endpoint(item.key, item.value);
            if (!record)
                log_event(log_level::warning, "endpoint_refused", {{"reason", record.error().message}});
            // A restored store lists endpoints that have left since the copy.
            else if (!listing.is_restoring(now) || !endpoints.has_removed(record.value()))
                records.push_back(std::move(record).value());
        }
        endpoints.replace(records, store_was_unavailable || listing.is_restoring(now), now);
        endpoints.update_assignment(now);
        has_listing = true;
        log_event(log_level::info, "endpoints_listed",
                  {{"endpoints", std::to_string(records.size())},
                   {"revision", std::to_string(found.revision)},
                   {"store_was_away", store_was_unavailable ? "1" : "0"}});
    }

    auto take_endpoint(store_change const& change, bool store_was_unavailable) -> void
    {
        auto const id = change.key.substr(platform::endpoint_prefix.size());
        auto state = std::string{"gone"};
        auto record = result<endpoint_record>{fail(result_code::resource_not_found, change.key)};
        if (change.value) record = platform::decode_endpoint(change.key, *change.value);
        if (record) {
            endpoints.add_or_update(record.value(), clock::now());
            state = record.value().draining ? "draining" : "ready";
            if (record.value().draining) loads.announce_draining(id);
        } else {
            // An entry that cannot be read names no endpoint to use, whatever it was before.
            endpoints.remove(id, store_was_unavailable && !change.value, clock::now());
            if (change.value) state = "refused: " + record.error().message;
        }
        log_event(log_level::info, "endpoint_changed",
                  {{"endpoint", id},
                   {"state", state},
                   {"revision", std::to_string(change.revision)},
                   {"store_was_away", store_was_unavailable ? "1" : "0"}});
    }

    auto answer_ready(http_responder& out) -> asio::awaitable<void>
    {
        auto const is_ready = base.ready();
        co_await out.send({is_ready ? 200 : 503, {}, is_ready ? "ready\n" : "not ready\n"});
    }

    // Calls on open and new connections are served while the balancer still sends them. Each call that was
    // read gets an answer: one that outlasts the stop is ended with what is known of it.
    auto drain() -> asio::awaitable<void>
    {
        auto const end = clock::now() + stop_time - stop_margin;
        caller_server.close_after_answers();
        relay.limit_deadlines(end);
        co_await sleep_for(balancer_time);
        caller_server.stop_accepting();
        co_await await_calls(end);
        auto const outlasted = caller_server.active();
        relay.end_all(clock::now());
        co_await await_calls(clock::now() + last_answers_time);
        log_event(log_level::info, "drained",
                  {{"outlasted", std::to_string(outlasted)},
                   {"in_flight", std::to_string(caller_server.active())}});
    }

    // Waits until no call is in flight, or the time has come.
    auto await_calls(time_point latest) -> asio::awaitable<void>
    {
        while (caller_server.active() > 0 && clock::now() < latest)
            co_await sleep_for(milliseconds{20});
    }

    auto start(direct_entry_settings const& settings) -> result<void>
    {
        if (auto bound = base.listen_control(settings.peer_listen, {}); !bound) return bound.error();
        if (auto bound = loads.start(); !bound) return bound.error();
        if (auto bound = ready_server.listen(settings.ready_listen); !bound) return bound.error();
        if (auto bound = caller_server.listen(settings.caller_listen); !bound) return bound.error();
        auto& io = base.context().io;
        auto const start = [&](char const* name, std::function<asio::awaitable<void>()> loop) {
            start_loop(io.get_executor(), name, std::move(loop), &base.context().metrics_registry);
        };
        start("endpoints", [this] { return listing.run(); });
        start("registration", [this] { return registration.run(); });
        start("entries", [this] { return directory_watcher.run(); });
        start("entry_checks", [this] { return run_directory_checks(); });
        start("quarantine_checks", [this] { return run_quarantine_checks(); });
        start("quarantine_exchange", [this] { return quarantine_peers.run(); });
        start("quarantine_store", [this] { return quarantine_storage.run(); });
        start("stall_checks", [this] { return run_stall_checks(); });
        start("rate_limits", [this] { return rate_limits.run(); });
        start("relay", [this] { return relay.run_maintenance(); });
        operators.start();
        return success();
    }
};

} // namespace

auto run_direct_entry(direct_entry_settings const& settings, std::uint64_t seed) -> int
{
    auto const log = log_writer{settings.self.name, log_level_from_text(settings.log_level)};
    auto daemon = direct_entry{settings, seed};
    if (auto started = daemon.start(settings); !started)
        return report_start_failure(program, started.error());
    return daemon.base.run();
}

} // namespace hibiscuswall
