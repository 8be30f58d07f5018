// Reads the engine's status in a loop and closes admission at once when it does not serve what was ordered.
#include "gate_state.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {
namespace {

constexpr auto failed_reads_until_closed = 3; // one lost status must not stop the endpoint

} // namespace

auto request_gate::state::watch_engine() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    while (true) {
        co_await read_engine();
        co_await sleep_for(endpoint.poll_interval);
    }
}

auto request_gate::state::read_engine() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    auto const begun = clock::now();
    auto found = co_await engine.status();
    if (found) {
        failed_reads = 0;
        last_read = clock::now();
        if (begun > last_read_begun) {
            last_read_begun = begun;
            reports_ordered = is_ordered(found.value());
        }
        if (!engine_reached) {
            engine_reached = true;
            admission.reset_to_cold();
            ++cold_turns;
            log_event(log_level::info, "engine_reached", {{"instance", found.value().instance}});
            context.events.record("engine_reached", {{"instance", found.value().instance}});
        }
        judge(found.value());
        co_return;
    }
    if (++failed_reads < failed_reads_until_closed || !engine_reached) co_return;
    engine_reached = false;
    move(endpoint_event::became_cold);
    stop_new_work(result_code::endpoint_cold);
    log_event(log_level::warning, "engine_unreachable", {{"reason", found.error().message}});
    context.events.record("engine_unreachable", {{"reason", found.error().message}});
}

// Whether a status read that began after the moment succeeded; reads until then. Calls that ask together
// share a read, and reads begin at most every status_max_age: their number does not grow with the tokens.
auto request_gate::state::read_engine_since(time_point moment) -> asio::awaitable<bool>
{
    auto self = shared_from_this();
    while (last_read_begun <= moment && engine_reached) {
        if (sharing_read) {
            read_shared.expires_at(time_point::max());
            co_await read_shared.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        sharing_read = true;
        auto const rest =
            std::chrono::ceil<milliseconds>(last_read_begun + endpoint.status_max_age - clock::now());
        if (rest.count() > 0) co_await sleep_for(rest);
        co_await read_engine();
        sharing_read = false;
        read_shared.cancel();
    }
    co_return last_read_begun > moment;
}

// Reads the status again before a call is sent when the last one is too old for the load it adds to. False
// when the engine turned cold meanwhile and already has more than its cold limit.
auto request_gate::state::still_warm() -> asio::awaitable<bool>
{
    auto self = shared_from_this();
    auto const turns = cold_turns;
    auto const above_cold = admission.in_flight() > static_cast<std::size_t>(admission.cold_limit());
    auto const old = clock::now() - last_read > endpoint.status_max_age;
    if (!endpoint.enforces_fencing || (above_cold && old)) co_await read_engine();
    auto const over = admission.in_flight() > static_cast<std::size_t>(admission.limit());
    co_return turns == cold_turns || !over;
}

auto request_gate::state::is_ordered(engine_status const& found) const -> bool
{
    return ordered && found.manifest_digest == ordered->manifest_digest &&
           found.version == ordered->version && found.adapter == ordered->adapter;
}

auto request_gate::state::judge(engine_status const& found) -> void
{
    auto const restarted = !instance.empty() && found.instance != instance;
    auto const became_cold = found.state != engine_state::ready && reported == engine_state::ready;
    instance = found.instance;
    reported = found.state;
    // A warming engine still fails beyond its cold limit.
    admission.hold_growth(found.state != engine_state::ready);
    if (restarted || became_cold) {
        admission.reset_to_cold();
        ++cold_turns;
    }
    if (!ordered || closed != result_code::ok) return;

    if (restarted || !is_ordered(found)) {
        closed = result_code::endpoint_cold;
        move(endpoint_event::became_cold);
        stop_new_work(result_code::endpoint_cold);
        context.metrics_registry.count("engine_changes_total");
        log_event(log_level::warning, "engine_changed",
                  {{"instance", found.instance},
                   {"restarted", restarted ? "yes" : "no"},
                   {"ordered", ordered->manifest_digest},
                   {"found", found.manifest_digest}});
        context.events.record("engine_changed", {{"instance", found.instance}, {"found", found.version}});
        return;
    }
    if (became_cold) {
        move(endpoint_event::became_cold);
        context.events.record("engine_cold", {{"instance", found.instance}});
        log_event(log_level::warning, "engine_cold", {{"instance", found.instance}});
    }
    // It serves the ordered weights: from the cold limit if it was cold.
    if (machine.state() == endpoint_state::cold) move(endpoint_event::serving_started);
}

} // namespace hibiscuswall
