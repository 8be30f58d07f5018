// Moves a stream that has begun to an endpoint that has taken it, see serving/stream_takeover.
#include "endpoint_exchange.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_held_bytes = std::size_t{256 * 1024};
constexpr auto max_resume_bytes = std::size_t{256 * 1024}; // of a response before its first event
constexpr auto retry_delay = milliseconds{250}; // after the first takeover that was stopped, then doubled
constexpr auto max_retry_doublings = 2;
constexpr auto max_stopped_takeovers = 4; // of one stream; then it leaves only a silent endpoint

enum class resume_answer {
    incomplete, // not known yet
    taken,      // the first event has arrived
    rejected,   // the endpoint did not run the call
    failed,     // anything else
};

auto answer_to_resume(relayed_call const& call, stream_takeover& takeover) -> resume_answer
{
    auto& parser = takeover.parser;
    if (parser.state() == response_state::invalid) return resume_answer::failed;
    if (parser.body_size() + takeover.events.pending() > max_resume_bytes) return resume_answer::failed;
    if (has_events(call, parser) && names_call(call, parser)) {
        if (!platform::decode_response(parser.status(), parser.headers()).signed_response)
            return resume_answer::failed;
        takeover.first_events += takeover.events.feed(parser.take_body());
        if (!takeover.events.continues()) return resume_answer::failed;
        if (takeover.events.count() > takeover.events_when_asked) return resume_answer::taken;
    }
    if (parser.state() != response_state::complete) return resume_answer::incomplete;
    auto const fields = platform::decode_response(parser.status(), parser.headers());
    if (!fields.call_id.empty() && fields.call_id != call.fields.call_id) {
        takeover.is_recorded = false;
        parser.restart(); // a late response to another call precedes the expected one
        return answer_to_resume(call, takeover);
    }
    return fields.not_executed || fields.wrong_endpoint ? resume_answer::rejected : resume_answer::failed;
}

} // namespace

// ---- asking another endpoint

auto call_relay::begin_takeover(relayed_call& call, endpoint_ptr const& to, time_point now) -> void
{
    auto takeover = std::make_shared<stream_takeover>();
    takeover->endpoint = to;
    takeover->permit = to->share.take(now);
    takeover->from_silent = call.seeks_replacement;
    stop_seeking_replacement(call);
    endpoint_table::record_send(*to, now);
    call.takeover = takeover;
    start_task(io_.get_executor(), "stream_takeover", run_takeover(call, takeover), &metrics_registry_);
}

// The call may end while this runs; the takeover is stopped then, and the call must not be used any more.
auto call_relay::run_takeover(relayed_call& call, stream_takeover_ptr takeover) -> asio::awaitable<void>
{
    auto const deadline = call.deadline;
    auto const may_be_kept = !call.fields.call_id.empty() && !call.needs_new_connection;
    auto const connection = co_await connect(takeover->endpoint->record, may_be_kept, deadline);
    if (takeover->state == takeover_state::stopped) co_return;
    takeover->connection = connection;
    if (connection == nullptr) co_return stop_takeover(call, "could not connect");
    if (!co_await write_resume_request(call, *takeover)) co_return;
    while (takeover->state == takeover_state::asked) {
        auto const bytes = co_await connection->receive(deadline);
        if (takeover->state != takeover_state::asked) co_return;
        takeover->parser.feed(bytes);
        if (bytes.empty()) takeover->parser.end_of_input(connection->end() == connection_end::closed);
        on_resume_response(call, *takeover);
    }
}

// Returns whether the request was written and the takeover goes on.
auto call_relay::write_resume_request(relayed_call& call, stream_takeover& takeover) -> asio::awaitable<bool>
{
    auto const now = clock::now();
    auto& endpoint = *takeover.endpoint;
    // The present endpoint may have sent an event without an id meanwhile.
    auto const may_resume = call.may_run_after(call.run_count + 1) && call.deadline - now >= milliseconds{1};
    if (!may_resume || !endpoint.accepts_calls(now) || must_decide_again(call, now) ||
        !may_be_written(endpoint, std::exchange(takeover.permit, std::nullopt), now)) {
        stop_takeover(call, "withheld");
        co_return false;
    }
    endpoint.share.record_send(now);
    ++call.send_count;
    takeover.state = takeover_state::asked;
    takeover.asked_at = now;
    takeover.hold_until = call.last_event_at + max_hold_time(*call.route);
    takeover.events = call.events;
    takeover.events.begin_response();
    takeover.events_when_asked = call.events.count();
    if (!quarantine_.empty() && goes_to_engine(call))
        takeover.suspicion_when_asked = quarantine_.suspicion_of(prompt_of(call));
    takeover.unprocessed_prompt_tokens = call.fields.prompt_tokens;
    endpoint.unprocessed_prompt_tokens += takeover.unprocessed_prompt_tokens;
    auto const connection = takeover.connection;
    auto const text = request_to(call, endpoint, now);
    // The response tells whether the request has arrived.
    [[maybe_unused]] auto const sent = co_await connection->send(text, call.deadline);
    co_return takeover.state == takeover_state::asked;
}

auto call_relay::on_resume_response(relayed_call& call, stream_takeover& takeover) -> void
{
    auto& endpoint = *takeover.endpoint;
    if (takeover.parser.has_head() && !std::exchange(takeover.is_recorded, true))
        record_announcements(call, endpoint, takeover.asked_at, takeover.parser, clock::now());
    auto const answer = answer_to_resume(call, takeover);
    if (answer == resume_answer::incomplete) return;
    if (answer == resume_answer::taken) return on_taken(call, takeover);
    if (answer == resume_answer::rejected) {
        metrics_registry_.count("sends_refused");
        log_rejected_resume(call, endpoint.record, takeover.parser.status());
        remember_unwilling_endpoint(call, endpoint, send_rejected{}, clock::now());
        call.tried_endpoints.insert(endpoint.record.id);
        return stop_takeover(call, "rejected");
    }
    endpoint_table::record_failure(endpoint, clock::now());
    call.tried_endpoints.insert(endpoint.record.id);
    auto const leaves = endpoint.leaving || endpoint.record.draining;
    auto const& parser = takeover.parser;
    auto const has_responded = parser.state() == response_state::complete && !parser.ends_with_connection();
    if (!has_responded && goes_to_engine(call) && !leaves)
        start_task(io_.get_executor(), "crash_check",
                   record_crash(call.fields.call_id, {prompt_of(call), takeover.suspicion_when_asked},
                                endpoint.record),
                   &metrics_registry_);
    stop_takeover(call, "failed");
}

auto call_relay::on_taken(relayed_call& call, stream_takeover& takeover) -> void
{
    takeover.state = takeover_state::taken;
    call.held_events.clear();
    if (call.connection != nullptr) call.connection->close();
    if (call.wait_timer != nullptr) call.wait_timer->cancel();
}

// The stream stays with its endpoint, which may have sent events meanwhile.
auto call_relay::stop_takeover(relayed_call& call, std::string_view reason) -> void
{
    auto const takeover = std::exchange(call.takeover, nullptr);
    if (takeover == nullptr) return;
    auto const now = clock::now();
    log_takeover_stopped(call, *takeover, reason);
    auto const may_run = takeover->state == takeover_state::asked && reason != "rejected";
    if (may_run || takeover->state == takeover_state::taken) ++call.run_count;
    takeover->state = takeover_state::stopped;
    if (takeover->connection != nullptr) takeover->connection->close();
    takeover->endpoint->unprocessed_prompt_tokens -= std::exchange(takeover->unprocessed_prompt_tokens, 0);
    endpoint_table::record_end(*takeover->endpoint);
    call.next_takeover_at = now + retry_delay * (1 << std::min(call.stopped_takeovers, max_retry_doublings));
    call.stays_if_sound = ++call.stopped_takeovers >= max_stopped_takeovers;
    if (call.connection != nullptr) call.connection->interrupt();
    if (call.wait_timer != nullptr) call.wait_timer->cancel();
}

// Called periodically.
auto call_relay::check_takeover(relayed_call& call, time_point now) -> void
{
    auto const& takeover = *call.takeover;
    if (takeover.state != takeover_state::asked) return;
    auto const can_stay = call.connection != nullptr; // else the stream has broken off there
    if (can_stay && !call.held_events.empty() && now >= takeover.hold_until)
        return stop_takeover(call, "no event before the caller would notice");
    if (now - takeover.asked_at < settings_.stalls.first_event_timeout) return;
    endpoint_table::record_failure(*takeover.endpoint, now);
    call.tried_endpoints.insert(takeover.endpoint->record.id);
    stop_takeover(call, "silent");
}

// ---- following the stream

// Sends the call, and goes on at each endpoint that takes the stream over.
auto call_relay::send_and_follow(relayed_call& call) -> asio::awaitable<send_outcome>
{
    auto outcome = co_await send(call);
    while (call.takeover != nullptr) {
        // The stream may have broken off while the other endpoint was being asked.
        if (call.takeover->state != takeover_state::taken) co_await await_takeover(call);
        if (call.takeover == nullptr) break;
        leave_endpoint(call, outcome);
        outcome = co_await relay_taken_stream(call);
    }
    co_await pass_on_held_events(call);
    co_return outcome;
}

auto call_relay::await_takeover(relayed_call& call) -> asio::awaitable<void>
{
    if (!call.out.disconnected()) co_await pause(call, call.deadline);
    if (!call.is_taken_over()) stop_takeover(call, "the stream has ended");
}

auto call_relay::leave_endpoint(relayed_call& call, send_outcome const& outcome) -> void
{
    auto const now = clock::now();
    auto const& takeover = *call.takeover;
    auto& left = *call.endpoint;
    log_moved(call, takeover.from_silent ? "silent" : "weights", takeover.endpoint->record);
    auto const* interrupted = std::get_if<send_interrupted>(&outcome);
    auto const is_own_choice = interrupted != nullptr && interrupted->reason == "moved";
    if (is_own_choice && takeover.from_silent)
        record_send_outcome(call, left, send_interrupted{"silent"});
    else
        record_send_outcome(call, left, outcome);
    call.tried_endpoints.insert(left.record.id);
    if (is_own_choice && !takeover.from_silent) call.ask_again_at[left.record.id] = now;
    if (!std::holds_alternative<send_rejected>(outcome)) ++call.run_count;
    release_slot(call);
}

auto call_relay::relay_taken_stream(relayed_call& call) -> asio::awaitable<send_outcome>
{
    auto const takeover = std::exchange(call.takeover, nullptr);
    call.endpoint = takeover->endpoint;
    call.connection = takeover->connection;
    call.sent_at = takeover->asked_at;
    call.last_progress_at = clock::now();
    call.body_bytes_at_progress = 0;
    call.unprocessed_prompt_tokens = std::exchange(takeover->unprocessed_prompt_tokens, 0);
    call.events = takeover->events;
    call.taken_events = takeover->first_events;
    call.events_when_sent = takeover->events_when_asked;
    call.suspicion_when_sent = takeover->suspicion_when_asked;
    call.past_beginning = false;
    auto outcome = co_await relay_events(call, takeover->parser);
    if (call.connection != nullptr) call.connection->close();
    call.connection = nullptr;
    co_return outcome;
}

// ---- the caller's events

// The endpoint cannot make progress while the caller does not read: that time does not count as its silence.
auto call_relay::write_to_caller(relayed_call& call, std::string_view events) -> asio::awaitable<bool>
{
    auto const begun_at = clock::now();
    call.waits_for_caller = true;
    auto const written = co_await call.out.write(events);
    call.waits_for_caller = false;
    call.last_progress_at += clock::now() - begun_at;
    co_return written;
}

auto call_relay::holds_events(relayed_call const& call) -> bool
{
    return call.takeover != nullptr && call.takeover->state != takeover_state::connecting;
}

// Passes complete events on, or holds them back while another endpoint is asked to continue after them.
auto call_relay::pass_on(relayed_call& call, std::string_view events, bool are_held) -> asio::awaitable<bool>
{
    if (!are_held) co_return co_await write_to_caller(call, events);
    if (call.is_taken_over()) co_return true; // they are of the run that the stream has left
    call.held_events += events;
    auto const is_due = clock::now() >= call.takeover->hold_until || call.held_events.size() > max_held_bytes;
    if (is_due) stop_takeover(call, "the present endpoint goes on");
    co_return true;
}

auto call_relay::pass_on_held_events(relayed_call& call) -> asio::awaitable<bool>
{
    if (call.takeover != nullptr || call.held_events.empty()) co_return true;
    auto const events = std::exchange(call.held_events, {});
    co_return co_await write_to_caller(call, events);
}

} // namespace hibiscuswall
