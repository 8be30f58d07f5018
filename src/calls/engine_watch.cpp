// Polls the engine's status and closes admission as soon as it does not serve the ordered weights.
#include "gate_state.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {
namespace {

constexpr auto failed_status_reads_until_unreachable = 3; // A single lost status must not stop the endpoint.

} // namespace

auto request_gate::state::watch_engine() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    while (true) {
        co_await read_engine_status();
        co_await sleep_for(endpoint.poll_interval);
    }
}

auto request_gate::state::read_engine_status() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    auto const started_at = clock::now();
    auto found = co_await engine.status();
    if (found) {
        failed_status_reads = 0;
        last_status_at = clock::now();
        if (started_at > last_status_read_started_at) {
            last_status_read_started_at = started_at;
            engine_matches_order = matches_order(found.value());
        }
        if (!engine_reached) {
            engine_reached = true;
            admission.reset_to_cold();
            ++cold_resets;
            log_event(log_level::info, "engine_reached", {{"instance", found.value().instance}});
            context.events.record("engine_reached", {{"instance", found.value().instance}});
        }
        apply_status(found.value());
        on_status_head(found.value().rate, started_at);
        co_return;
    }
    if (++failed_status_reads < failed_status_reads_until_unreachable || !engine_reached) co_return;
    engine_reached = false;
    transition(endpoint_event::became_cold);
    reject_waiting_calls(result_code::endpoint_cold);
    log_event(log_level::warning, "engine_unreachable", {{"reason", found.error().message}});
    context.events.record("engine_unreachable", {{"reason", found.error().message}});
}

// Reads the status until a read that began after the given time succeeds or the engine is unreachable;
// returns whether one succeeded. Concurrent calls share a read, which begins at the earliest
// status_max_age after the start of the last successful one, so that the number of reads does not grow with
// the number of tokens.
auto request_gate::state::read_engine_status_after(time_point time) -> asio::awaitable<bool>
{
    auto self = shared_from_this();
    while (last_status_read_started_at <= time && engine_reached) {
        if (shared_status_read_in_progress) {
            status_read_finished.expires_at(time_point::max());
            co_await status_read_finished.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        shared_status_read_in_progress = true;
        auto const delay = std::chrono::ceil<milliseconds>(last_status_read_started_at +
                                                           endpoint.status_max_age - clock::now());
        if (delay.count() > 0) co_await sleep_for(delay);
        co_await read_engine_status();
        shared_status_read_in_progress = false;
        status_read_finished.cancel();
    }
    co_return last_status_read_started_at > time;
}

// Reads the status again before a call is sent, if more calls than the cold limit are in flight and the last
// status is older than status_max_age. An engine without fencing is always checked. Returns false if the
// engine became cold meanwhile and more calls are in flight than its limit.
auto request_gate::state::is_still_warm() -> asio::awaitable<bool>
{
    auto self = shared_from_this();
    auto const resets_before = cold_resets;
    auto const above_cold_limit = admission.in_flight() > static_cast<std::size_t>(admission.cold_limit());
    auto const status_is_old = clock::now() - last_status_at > endpoint.status_max_age;
    if (!endpoint.enforces_fencing || (above_cold_limit && status_is_old)) co_await read_engine_status();
    auto const above_limit = admission.in_flight() > static_cast<std::size_t>(admission.limit());
    co_return resets_before == cold_resets || !above_limit;
}

auto request_gate::state::matches_order(engine_status const& found) const -> bool
{
    return ordered_weights && found.manifest_digest == ordered_weights->manifest_digest &&
           found.version == ordered_weights->version && found.adapter == ordered_weights->adapter;
}

auto request_gate::state::apply_status(engine_status const& found) -> void
{
    auto const restarted = !instance.empty() && found.instance != instance;
    auto const became_cold = found.state != engine_state::ready && reported_state == engine_state::ready;
    instance = found.instance;
    reported_state = found.state;
    // An engine that is warming up fails calls beyond its cold limit, so the limit must not grow yet.
    admission.hold_growth(found.state != engine_state::ready);
    if (restarted) forget_rate_limit();
    if (restarted || became_cold) {
        admission.reset_to_cold();
        ++cold_resets;
    }
    if (!ordered_weights || admission_code != result_code::ok) return;

    if (restarted || !matches_order(found)) {
        admission_code = result_code::endpoint_cold;
        transition(endpoint_event::became_cold);
        reject_waiting_calls(result_code::endpoint_cold);
        context.metrics_registry.count("engine_changes_total");
        log_event(log_level::warning, "engine_changed",
                  {{"instance", found.instance},
                   {"restarted", restarted ? "yes" : "no"},
                   {"ordered", ordered_weights->manifest_digest},
                   {"found", found.manifest_digest}});
        context.events.record("engine_changed", {{"instance", found.instance}, {"found", found.version}});
        return;
    }
    if (became_cold) {
        transition(endpoint_event::became_cold);
        context.events.record("engine_cold", {{"instance", found.instance}});
        log_event(log_level::warning, "engine_cold", {{"instance", found.instance}});
    }
    // The engine serves the ordered weights, so a cold endpoint may serve again. It starts from its cold
    // limit.
    if (machine.state() == endpoint_state::cold) transition(endpoint_event::serving_started);
}

} // namespace hibiscuswall
