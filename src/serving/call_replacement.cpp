// Moves calls away from endpoints that stall or change their weights. A sound endpoint may be silent for a
// while and then go on, so a call leaves its endpoint only once a slot elsewhere is reserved for it, and a
// stream that has begun only once another endpoint has taken it, see serving/stream_takeover.
#include "hibiscuswall/serving/call_relay.hpp"

namespace hibiscuswall {

// Called periodically for each call.
auto call_relay::check_progress(relayed_call& call, time_point now) -> void
{
    if (call.replacement != nullptr) return;
    if (call.takeover != nullptr) return check_takeover(call, now);
    if (now < call.next_takeover_at) return stop_seeking_replacement(call);
    auto const is_silent = has_stalled(call, settings_.stalls, now);
    // A stream that has begun leaves a silent engine even if that is to change its weights.
    auto const may_move = !call.moved && !call.stays_if_sound && !(call.response_started && is_silent);
    if (may_move && should_move(call, settings_.stalls, now)) {
        reserve_replacement(call, now);
        return;
    }
    if (call.connection == nullptr) return;
    if (is_silent)
        seek_replacement(call);
    else
        stop_seeking_replacement(call);
}

// Waits for a slot at another endpoint, ahead of calls that were not sent yet, while the endpoint may still
// respond.
auto call_relay::seek_replacement(relayed_call& call) -> void
{
    if (call.seeks_replacement) return;
    call.queue_entry.priority = -1;
    call.queue_entry.until = call.deadline;
    if (!replacement_queue_.add(call.queue_entry)) return;
    waiting_calls_[&call.queue_entry] = &call;
    call.seeks_replacement = true;
}

auto call_relay::stop_seeking_replacement(relayed_call& call) -> void
{
    if (!call.seeks_replacement) return;
    call.seeks_replacement = false;
    waiting_calls_.erase(&call.queue_entry);
    replacement_queue_.remove(call.queue_entry);
}

// Gives the call the newest configuration, if that still sends it to the same service. Otherwise the call can
// only end where it is.
auto call_relay::renew_match(relayed_call& call) -> bool
{
    if (declared_state_.map() == call.map) return true;
    auto match = route_match{};
    if (!find_match(call, match) || match.service->name != call.service->name) return false;
    static_cast<route_match&>(call) = std::move(match);
    return true;
}

// Selects an endpoint other than the present one, which the call has not left yet.
auto call_relay::place_elsewhere(relayed_call& call) -> placement
{
    auto const present = call.tried_endpoints.insert(call.endpoint->record.id);
    auto decision = next_endpoint(call);
    if (present.second) call.tried_endpoints.erase(present.first);
    return decision;
}

// Whether a stream at a sound engine would probably go on at the other one before its caller notices a pause.
auto call_relay::is_worth_asking(relayed_call const& call, tracked_endpoint const& endpoint) const -> bool
{
    if (!call.response_started || call.seeks_replacement || !call.service->engine) return true;
    auto const expected_ms = first_event_ms(endpoint, *call.service->engine, call.fields.prompt_tokens) +
                             static_cast<double>(settings_.waiting.engine_overhead.count());
    return expected_ms <= static_cast<double>(max_hold_time(*call.route).count());
}

// Reserves a slot at another endpoint. A call that has not begun is sent there next, a stream that has begun
// once the endpoint has taken it. Returns whether there was a slot.
auto call_relay::reserve_replacement(relayed_call& call, time_point now) -> bool
{
    if (call.connection == nullptr || !renew_match(call) || must_decide_again(call, now)) return false;
    // One call at a time tries a prompt that may crash engines, at one of them.
    if (call.response_started && !call.trial_segments.empty()) return false;
    auto const decision = place_elsewhere(call);
    auto const* found = std::get_if<placed>(&decision);
    if (found == nullptr || !is_worth_asking(call, *found->endpoint)) return false;
    if (!retry_budget_for(call.service->name).try_spend(now)) return false;
    if (call.response_started) {
        begin_takeover(call, found->endpoint, now);
        return true;
    }
    call.closed_as_stalled = call.seeks_replacement;
    call.closed_as_moved = !call.seeks_replacement;
    call.moved = call.moved || call.closed_as_moved;
    log_moved(call, call.seeks_replacement ? "silent" : "weights", found->endpoint->record);
    stop_seeking_replacement(call);
    call.replacement = found->endpoint;
    call.replacement_state_at = declared_state_.changed_at();
    endpoint_table::record_send(*call.replacement, now);
    call.permit = call.replacement->share.take(now);
    call.connection->close();
    return true;
}

// Makes the reserved slot that of the next send. Not if operators have changed something since, which may
// forbid the endpoint.
auto call_relay::take_replacement(relayed_call& call) -> bool
{
    if (call.replacement == nullptr) return false;
    auto const replacement = std::exchange(call.replacement, nullptr);
    if (call.replacement_state_at == declared_state_.changed_at()) {
        assign_endpoint(call, replacement);
        return true;
    }
    endpoint_table::record_end(*replacement);
    return false;
}

} // namespace hibiscuswall
