#include "hibiscuswall/fleet/operator_follower.hpp"

#include "hibiscuswall/core/rate_rules.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/operator_documents.hpp"

namespace hibiscuswall {
namespace {

constexpr auto lag_check_interval = milliseconds{200};
constexpr auto min_logged_lag =
    milliseconds{1'000}; // the store's watch usually delivers a change long before

auto watch_settings(pause_detector const& pauses, milliseconds settle_time) -> prefix_watcher_settings
{
    auto settings = prefix_watcher_settings{};
    settings.wait = watch_wait(settle_time, milliseconds{0});
    settings.pauses = &pauses;
    return settings;
}

} // namespace

operator_follower::operator_follower(process_context& context, key_value_client& store,
                                     declared_state& declared, load_report_receiver& loads,
                                     pause_detector const& pauses, milliseconds settle_time)
    : context_{context}, declared_state_{declared}, loads_{loads}, watch_{store, context.random,
                                                                          std::string{
                                                                              platform::operator_prefix},
                                                                          watch_settings(pauses, settle_time),
                                                                          watch_callbacks()},
      declarations_{store, context.random, declared, pauses, &watch_},
      peers_{context,
             declared,
             operator_scope::all,
             [this] { return declarations_.complete_until(); },
             [this](time_point now) { return loads_.newer_peers(now); },
             [this](time_point now) { return loads_.newer_weights_peers(now); }}
{
}

auto operator_follower::start() -> void
{
    auto const start = [&](char const* name, std::function<asio::awaitable<void>()> loop) {
        start_loop(context_.io.get_executor(), name, std::move(loop), &context_.metrics_registry);
    };
    start("operators", [this] { return watch_.run(); });
    start("declarations", [this] { return declarations_.run(); });
    start("operator_sync", [this] { return peers_.run(); });
    start("weights_sync", [this] { return peers_.run_weights(); });
    start("operator_lag", [this] { return run_lag_checks(); });
}

auto operator_follower::watch_callbacks() -> prefix_watcher_callbacks
{
    return {[this](store_range const& found, bool /*store_was_unavailable*/) {
                auto const now = clock::now();
                declared_state_.replace(platform::operator_prefix, found.items, found.revision, now,
                                        watch_.changed_since(), watch_.absent(now));
            },
            [this](store_change const& change, bool /*store_was_unavailable*/) {
                declared_state_.apply(change, clock::now(), watch_.changed_since());
            }};
}

// Compares what this entry has with the newest change that it has heard of.
auto operator_follower::run_lag_checks() -> asio::awaitable<void>
{
    auto is_late = false;
    while (true) {
        co_await sleep_for(lag_check_interval);
        auto const now = clock::now();
        lag_.on_heard(loads_.peer_revision(), now);
        auto const was_behind = lag_.on_known(declared_state_.revision(), now);
        auto const behind = lag_.behind_for(now);
        if (!is_late && behind >= min_logged_lag) log_lag("operators_behind", behind, now);
        if (was_behind && *was_behind >= min_logged_lag) log_lag("operators_caught_up", *was_behind, now);
        is_late = behind >= min_logged_lag;
        set_lag_metrics(behind, now);
    }
}

auto operator_follower::log_lag(std::string_view event, clock::duration behind, time_point now) const -> void
{
    log_event(log_level::warning, event,
              {{"behind_ms", milliseconds_text(behind)},
               {"version", std::to_string(declared_state_.configuration_version())},
               {"revision", std::to_string(declared_state_.revision())},
               {"newest_revision", std::to_string(lag_.newest())},
               {"confirmed_ms_ago", milliseconds_text(now - watch_.complete_until())}});
}

auto operator_follower::set_lag_metrics(clock::duration behind, time_point now) -> void
{
    auto& registry = context_.metrics_registry;
    registry.set("operators_behind_seconds", {}, in_seconds(behind));
    if (declared_state_.map() == nullptr) return;
    registry.set("configuration_version", {}, static_cast<double>(declared_state_.configuration_version()));
    registry.set("operators_confirmed_age_seconds", {}, in_seconds(now - watch_.complete_until()));
}

} // namespace hibiscuswall
