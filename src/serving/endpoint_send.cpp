// Sends a call to one endpoint, reads the response and relays events as they arrive.
#include "endpoint_exchange.hpp"
#include "hibiscuswall/serving/call_relay.hpp"
#include "hibiscuswall/serving/endpoint_response_parser.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

// Pooled connections are not used in the last second of their keep-alive.
constexpr auto keep_alive_margin = milliseconds{1'000};
constexpr auto min_body_progress = std::size_t{1'024};     // bytes of a plain body that count as progress
constexpr auto max_event_bytes = std::size_t{1024 * 1024}; // of an event that has not ended

auto request_text(relayed_call const& call, http_headers const& headers) -> std::string
{
    auto const& request = call.request;
    auto text = std::string{};
    text.reserve(1024 + request.body.size());
    text += request.method;
    text += ' ';
    text += request.target;
    text += " HTTP/1.1\r\n";
    for (auto const& each : headers.all()) {
        text += each.name;
        text += ": ";
        text += each.value;
        text += "\r\n";
    }
    auto const has_body = !request.body.empty() || request.method == "POST" || request.method == "PUT";
    if (has_body) text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

auto connection_end_text(connection_end end) -> std::string
{
    switch (end) {
    case connection_end::closed:
        return "closed";
    case connection_end::reset:
        return "reset";
    case connection_end::timed_out:
        return "late";
    case connection_end::interrupted:
        return "interrupted";
    }
    return "unknown";
}

// How long the endpoint keeps an idle connection, from "timeout=N" in its Keep-Alive header.
auto idle_timeout_from(http_headers const& headers, milliseconds fallback) -> milliseconds
{
    auto const text = headers.find("Keep-Alive");
    auto const at = text.find("timeout=");
    if (at == std::string_view::npos) return fallback;
    auto const timeout = seconds{std::atoi(std::string{text.substr(at + 8)}.c_str())};
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(timeout) - keep_alive_margin);
}

auto responses_too_large(metrics& registry) -> std::string
{
    registry.count("responses_over_memory_limit");
    return "responses of all calls exceed the memory limit";
}

// Counts what completes something as progress, see serving/stall_detection.
auto record_progress(relayed_call& call, endpoint_response_parser const& parser, bool had_head,
                     time_point now) -> void
{
    auto const head_arrived = !had_head && parser.has_head();
    if (!head_arrived && parser.body_size() < call.body_bytes_at_progress + min_body_progress) return;
    call.last_progress_at = now;
    call.body_bytes_at_progress = parser.body_size();
}

auto record_events(relayed_call& call, time_point now, bool has_events) -> void
{
    if (!has_events) return; // comments only
    call.last_progress_at = now;
    call.rejected_resumes = 0;
    if (call.first_event_at == time_point{})
        call.first_event_at = now;
    else
        call.max_event_gap = std::max(call.max_event_gap, now - call.last_event_at);
    call.last_event_at = now;
}

} // namespace

// The endpoint may close a pooled connection just as a call is sent on it. Null if it takes no connection in
// time.
auto call_relay::connect(endpoint_record record, bool may_be_kept, time_point deadline)
    -> asio::awaitable<endpoint_connection_ptr>
{
    auto const now = clock::now();
    auto connection = may_be_kept ? pool_.take(record.id, now) : nullptr;
    if (connection != nullptr) co_return connection;
    auto const left = std::chrono::duration_cast<milliseconds>(deadline - now);
    co_return co_await pool_.connect(record.where, std::min(settings_.connect_timeout, left));
}

auto call_relay::send(relayed_call& call) -> asio::awaitable<send_outcome>
{
    // After a pooled connection was closed just as a call was sent on it, it is unknown whether the call ran.
    // Only retryable calls use pooled connections, and only with an id: without one, their response could not
    // be told from a late one.
    auto const may_be_kept =
        call.route->is_retryable() && !call.fields.call_id.empty() && !call.needs_new_connection;
    auto connection = co_await connect(call.endpoint->record, may_be_kept, call.deadline);
    if (connection == nullptr) co_return send_not_sent{"could not connect to the endpoint"};
    if (call.caller_disconnected) co_return send_not_sent{"caller disconnected"};
    // Checked where the request is written: the endpoint may have announced its departure while this call
    // was connecting. A connection that is dropped here carried nothing.
    if (!call.endpoint->accepts_calls(clock::now())) co_return send_withheld{};
    if (must_decide_again(call, clock::now())) co_return send_withheld{};
    if (!may_be_written(*call.endpoint, std::exchange(call.permit, std::nullopt), clock::now()))
        co_return send_withheld{};
    call.endpoint->share.record_send(clock::now());
    call.connection = connection;
    remember_suspicion(call);
    call.closed_as_stalled = false;
    call.closed_as_moved = false;
    call.sent_at = clock::now();
    call.last_progress_at = {};
    call.body_bytes_at_progress = 0;
    ++call.send_count;
    auto outcome = co_await exchange(call);
    if (call.connection != nullptr) call.connection->close();
    call.connection = nullptr;
    co_return outcome;
}

auto call_relay::request_to(relayed_call const& call, tracked_endpoint const& endpoint, time_point now)
    -> std::string
{
    auto fields = platform::endpoint_call_fields{};
    fields.remaining_time = std::chrono::duration_cast<milliseconds>(call.deadline - now);
    fields.endpoint_id = endpoint.record.id;
    if (call.account != nullptr) fields.account = call.account->name;
    if (call.service->engine) {
        auto const min_version = declared_state_.min_version(call.service->engine->model, now);
        // Sent only from shortly before the end of the old version's grace period. Sent earlier, it would
        // make an engine that has just changed its weights reject the call needlessly.
        if (min_version > 0 && endpoint.weights()) fields.weights_version = endpoint.weights()->version;
    }
    if (call.response_started && call.events.last_id()) fields.resume_after = *call.events.last_id();
    return request_text(call, platform::encode_endpoint_headers(call.request.headers, fields));
}

auto call_relay::exchange(relayed_call& call) -> asio::awaitable<send_outcome>
{
    auto const now = clock::now();
    if (call.deadline - now < milliseconds{1}) co_return send_not_sent{"deadline"};
    auto const text = request_to(call, *call.endpoint, now);
    auto const connection = call.connection;
    // An endpoint may respond and reset the connection before it has read the complete request, so the
    // response is read even if sending fails.
    [[maybe_unused]] auto const sent = co_await connection->send(text, call.deadline);
    auto parser = endpoint_response_parser{call.request.method == "HEAD"};
    co_return co_await read_response(call, parser);
}

auto call_relay::read_response(relayed_call& call, endpoint_response_parser& parser)
    -> asio::awaitable<send_outcome>
{
    auto const connection = call.connection;
    auto is_first_response = !connection->is_reused();
    auto is_recorded = false; // what the head of the present response says about the endpoint
    while (true) {
        while (parser.state() != response_state::complete && parser.state() != response_state::invalid) {
            if (parser.has_head() && !std::exchange(is_recorded, true))
                record_announcements(call, *call.endpoint, call.sent_at, parser, clock::now());
            if (has_events(call, parser) && names_call(call, parser))
                co_return co_await relay_events(call, parser);
            if (call.is_taken_over()) co_return send_interrupted{"moved"};
            auto const bytes = co_await connection->receive(call.deadline);
            if (bytes.empty()) {
                if (connection->end() == connection_end::interrupted || call.is_taken_over()) continue;
                if (call.closed_as_moved) co_return send_failed{"moved"};
                if (call.closed_as_stalled) co_return send_failed{"silent"};
                if (connection->end() == connection_end::timed_out) co_return send_failed{"late"};
                parser.end_of_input(connection->end() == connection_end::closed);
                if (parser.state() == response_state::invalid && parser.has_received_bytes())
                    co_return send_failed{"cut"};
                if (parser.state() == response_state::invalid)
                    co_return send_failed{connection_end_text(connection->end()),
                                          connection->is_reused() && connection->is_open()};
                break;
            }
            auto const had_head = parser.has_head();
            parser.feed(bytes);
            record_progress(call, parser, had_head, clock::now());
            if (parser.body_size() > settings_.max_response_bytes)
                co_return send_failed{"response exceeds the size limit"};
            if (!call.hold(parser.body_size())) co_return send_failed{responses_too_large(metrics_registry_)};
        }
        if (parser.state() == response_state::invalid) co_return send_failed{"response is not valid HTTP"};
        if (!std::exchange(is_recorded, true))
            record_announcements(call, *call.endpoint, call.sent_at, parser, clock::now());
        auto const fields = platform::decode_response(parser.status(), parser.headers());
        if (fields.call_id.empty()) {
            // It belongs to the call if it is the only response on its connection. Else it may be a late one,
            // and the endpoint may be running the call.
            if (is_first_response && parser.excess_bytes() == 0) break;
            metrics_registry_.count("responses_without_call");
            co_return send_failed{"response without a call id on a connection with other responses"};
        }
        if (fields.call_id == call.fields.call_id) break;
        // Skip a late response to another call that precedes the expected one.
        metrics_registry_.count("answers_of_other_calls");
        parser.restart();
        is_first_response = false;
        is_recorded = false;
    }
    auto const fields = platform::decode_response(parser.status(), parser.headers());
    auto const success = parser.status() >= 200 && parser.status() < 300;
    if (success && fields.not_executed)
        co_return send_failed{"a success that states that the call did not run"};
    if (fields.not_executed || fields.wrong_endpoint) {
        return_connection(call, parser);
        co_return send_rejected{parser.status()};
    }
    if (success && !fields.signed_response) co_return send_failed{"response has no endpoint signature"};
    if (has_events(call, parser)) co_return co_await relay_events(call, parser);
    if (success && !parser.ends_with_connection()) record_prompt_progress(call, true);
    auto response =
        send_responded{parser.status(), platform::relayed_headers(parser.headers()), parser.take_body()};
    return_connection(call, parser);
    co_return response;
}

auto call_relay::begin_stream(relayed_call& call, endpoint_response_parser& parser) -> asio::awaitable<bool>
{
    if (call.response_started) co_return true;
    call.response_started = true;
    co_return co_await call.out.start(parser.status(), platform::relayed_headers(parser.headers()));
}

// The header is sent to the caller with the first complete event; until then the call can be retried at
// another endpoint without the caller noticing.
auto call_relay::relay_events(relayed_call& call, endpoint_response_parser& parser)
    -> asio::awaitable<send_outcome>
{
    auto const connection = call.connection;
    auto const fields = platform::decode_response(parser.status(), parser.headers());
    if (!fields.signed_response) co_return send_failed{"response has no endpoint signature"};
    auto taken_events = std::exchange(call.taken_events, {});
    if (taken_events.empty()) call.events.begin_response();
    auto const is_resumed = call.response_started;
    auto const events_of_earlier_responses = call.events_when_sent;
    auto const fail_stream = [&](std::string reason) -> send_outcome {
        if (call.response_started) return send_interrupted{std::move(reason)};
        return send_failed{std::move(reason)};
    };
    while (true) {
        if (call.is_taken_over()) co_return fail_stream("moved");
        if (!co_await pass_on_held_events(call)) co_return fail_stream("caller disconnected");
        auto const events_before = taken_events.empty() ? call.events.count() : events_of_earlier_responses;
        auto const complete_events = std::exchange(taken_events, {}) + call.events.feed(parser.take_body());
        // Decided with the feed: an endpoint that is asked from now on continues after these events.
        auto const are_held = holds_events(call);
        if (call.events.pending() > max_event_bytes) co_return fail_stream("event exceeds the size limit");
        if (!call.hold(call.events.pending())) co_return fail_stream(responses_too_large(metrics_registry_));
        if (!complete_events.empty()) {
            record_events(call, clock::now(), call.events.count() > events_before);
            call.on_prompt_processed();
            record_prompt_progress(call, false);
            if (!co_await begin_stream(call, parser)) co_return fail_stream("caller disconnected");
            if (!co_await pass_on(call, complete_events, are_held))
                co_return fail_stream("caller disconnected");
        }
        if (!call.events.continues()) co_return fail_stream("events do not continue the stream");
        if (parser.state() == response_state::invalid) co_return fail_stream("response is not valid HTTP");
        if (parser.state() == response_state::complete) break;
        auto const bytes = co_await connection->receive(call.deadline);
        if (bytes.empty()) {
            if (connection->end() == connection_end::interrupted || call.is_taken_over()) continue;
            if (call.closed_as_moved) co_return fail_stream("moved");
            if (call.closed_as_stalled) co_return fail_stream("silent");
            if (connection->end() == connection_end::timed_out) co_return fail_stream("late");
            parser.end_of_input(connection->end() == connection_end::closed);
            if (parser.state() == response_state::invalid) co_return fail_stream("cut");
            continue;
        }
        parser.feed(bytes);
    }
    if (call.is_taken_over()) co_return fail_stream("moved");
    if (call.events.pending() > 0) co_return fail_stream("stream ended within an event");
    // An endpoint that stopped after the header looks the same.
    auto const has_no_events = call.events.count() == events_of_earlier_responses;
    if (has_no_events && (is_resumed || parser.ends_with_connection()))
        co_return fail_stream("stream ended without an event");
    stop_takeover(call, "its endpoint has completed the stream");
    // A call without a connection is not moved while the rest is written to a slow caller.
    return_connection(call, parser);
    if (call.connection != nullptr) call.connection->close();
    call.connection = nullptr;
    if (!co_await begin_stream(call, parser)) co_return fail_stream("caller disconnected");
    if (!co_await pass_on_held_events(call)) co_return fail_stream("caller disconnected");
    if (!parser.ends_with_connection()) record_prompt_progress(call, true);
    co_await call.out.finish();
    co_return send_streamed{};
}

auto call_relay::return_connection(relayed_call& call, endpoint_response_parser& parser) -> void
{
    if (!parser.allows_reuse() || parser.excess_bytes() > 0) return;
    auto const idle_timeout = idle_timeout_from(parser.headers(), settings_.idle_timeout);
    if (idle_timeout.count() > 0)
        pool_.put_back(call.endpoint->record.id, std::exchange(call.connection, nullptr), idle_timeout,
                       clock::now());
}

} // namespace hibiscuswall
