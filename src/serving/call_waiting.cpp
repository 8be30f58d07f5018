// Reserving endpoint slots for calls, and the queue of calls that wait for a slot.
#include "hibiscuswall/serving/call_relay.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_pause_doublings = 3; // of the pause between two attempts to resume a stream

// Whether no endpoint takes the call before a known time.
auto opens_later(rejected const& rejection) -> bool
{
    return rejection.reason == rejection_reason::all_endpoints_back_off ||
           rejection.reason == rejection_reason::all_endpoints_limited;
}

// Whether waiting can help: some endpoint may serve the call, just not now.
auto may_become_free(rejected const& rejection) -> bool
{
    return rejection.reason == rejection_reason::all_endpoints_full || opens_later(rejection);
}

} // namespace

auto call_relay::reserve_slot(relayed_call& call, endpoint_ptr const& endpoint) -> void
{
    endpoint_table::record_send(*endpoint, clock::now());
    call.permit = endpoint->share.take(clock::now());
    assign_endpoint(call, endpoint);
}

// Makes the endpoint, at which a slot is reserved, that of the call's next send.
auto call_relay::assign_endpoint(relayed_call& call, endpoint_ptr const& endpoint) -> void
{
    call.endpoint = endpoint;
    call.unprocessed_prompt_tokens = call.fields.prompt_tokens;
    endpoint->unprocessed_prompt_tokens += call.unprocessed_prompt_tokens;
}

auto call_relay::release_slot(relayed_call& call) -> void
{
    if (call.endpoint == nullptr) return;
    call.on_prompt_processed();
    endpoint_table::record_end(*std::exchange(call.endpoint, nullptr));
    dispatch_waiting();
}

// Selects an endpoint for the call, and waits for one while the first event can still arrive in time.
auto call_relay::find_endpoint_or_wait(relayed_call& call) -> asio::awaitable<placement>
{
    auto decision = next_endpoint(call);
    auto const* rejection = std::get_if<rejected>(&decision);
    // Calls that are already waiting have precedence.
    auto const overtakes = rejection == nullptr && wait_queue_.size() > 0;
    if (rejection == nullptr && !overtakes) co_return decision;
    auto const must_resume = should_wait_to_resume(call, clock::now());
    if (rejection != nullptr && !must_resume && !may_become_free(*rejection)) co_return decision;
    auto const started_at = clock::now();
    set_queue_entry(call, started_at);
    auto const opens_too_late = rejection != nullptr && !must_resume && opens_later(*rejection) &&
                                rejection->accepted_again >= call.queue_entry.until;
    if (opens_too_late) co_return decision;
    if (call.queue_entry.until <= started_at || !wait_queue_.add(call.queue_entry)) co_return decision;
    co_await wait_for_slot(call);
    wait_queue_.remove(call.queue_entry);
    call.wait_duration += std::chrono::duration_cast<milliseconds>(clock::now() - started_at);
    if (call.endpoint != nullptr) co_return placed{call.endpoint};
    if (rejection == nullptr) decision = next_endpoint(call);
    co_return decision;
}

// A stream that has to resume gets the highest priority.
auto call_relay::set_queue_entry(relayed_call& call, time_point now) -> void
{
    call.queue_entry.priority = call.response_started ? -1 : priority_of(call);
    auto const limit = wait_limit(*call.route, *call.service, call.fields.prompt_tokens, settings_.waiting);
    auto const until =
        call.response_started ? now + settings_.waiting.max_resume_wait : call.arrived_at + limit;
    call.queue_entry.until = std::min(call.deadline, until);
}

auto call_relay::wait_for_slot(relayed_call& call) -> asio::awaitable<void>
{
    auto timer = clock_timer{io_, call.queue_entry.until};
    call.wait_timer = &timer;
    waiting_calls_[&call.queue_entry] = &call;
    dispatch_waiting();
    if (call.endpoint == nullptr && !call.caller_disconnected)
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_calls_.erase(&call.queue_entry);
    call.wait_timer = nullptr;
}

// Waits until then, or until the caller disconnects or this entry ends the call.
auto call_relay::pause(relayed_call& call, time_point until) -> asio::awaitable<void>
{
    if (call.caller_disconnected) co_return;
    auto timer = clock_timer{io_, until};
    call.wait_timer = &timer;
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    call.wait_timer = nullptr;
}

// The pauses grow with the rejections in a row.
auto call_relay::pause_before_resuming(relayed_call& call) -> asio::awaitable<void>
{
    auto const factor = 1 << std::min(call.rejected_resumes, max_pause_doublings);
    auto const until = clock::now() + factor * settings_.waiting.resume_interval;
    co_await pause(call, std::min(until, call.deadline));
}

auto call_relay::dispatch_waiting() -> void
{
    for (auto* each : replacement_queue_.by_priority())
        reserve_replacement(*waiting_calls_.at(each), clock::now());
    for (auto* each : wait_queue_.by_priority()) {
        auto& call = *waiting_calls_.at(each);
        if (call.endpoint != nullptr || call.caller_disconnected) continue;
        auto const decision = next_endpoint(call);
        auto const* found = std::get_if<placed>(&decision);
        if (found == nullptr) continue;
        reserve_slot(call, found->endpoint);
        call.wait_timer->cancel();
    }
}

} // namespace hibiscuswall
