// Sends an attempt to its agent and relays the response.

#include "call_run.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

auto is_event_stream(http_headers const& headers) -> bool
{
    return headers.find("Content-Type").starts_with("text/event-stream");
}

// Headers of the endpoint's response that are relayed to the caller.
auto make_relayed_headers(http_headers const& response_headers) -> http_headers
{
    auto relayed = http_headers{};
    for (auto const& header : response_headers.all()) {
        auto const internal = header.name.size() > 3 && (header.name[0] == 'H' || header.name[0] == 'h') &&
                              (header.name[1] == 'W' || header.name[1] == 'w') && header.name[2] == '-';
        if (!internal && header.name != "X-Request-Id") relayed.set(header.name, header.value);
    }
    if (auto const version = response_headers.find("Hw-Weights-Version"); !version.empty())
        relayed.set("X-Weights-Version", version);
    return relayed;
}

auto error_message(std::string const& body, result_code code) -> std::string
{
    auto const parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("message") && parsed["message"].is_string())
        return parsed["message"].get<std::string>();
    return std::string{describe(code).meaning};
}

} // namespace

auto call_run::attempt_options(time_point now) const -> http_call_options
{
    auto const& settings = services_->settings;
    auto const remaining = std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(call_.deadline - now));
    auto options = http_call_options{};
    options.connect_timeout = std::min(settings.connect_timeout, remaining);
    options.timeout = remaining;
    if (call_.idempotent) {
        auto const attempt_timeout =
            call_.priority == request_class::status ? settings.status_timeout : settings.response_timeout;
        options.timeout = std::min(remaining, attempt_timeout);
    }
    options.fresh_connection = !call_.idempotent;
    // Streams are not limited; relay_buffered() has its own limit.
    options.body_limit = std::numeric_limits<std::size_t>::max() / 2;
    return options;
}

auto call_run::record_forwarded(call_attempt const& attempt) const -> void
{
    services_->context.events.record("call_forwarded",
                                     {{"call_id", attempt.id}, {"host", attempt.host.name}});
}

auto call_run::record_dropped_response(call_attempt const& attempt, http_headers const& headers) const -> void
{
    services_->context.metrics_registry.count("answers_dropped_total");
    log_event(log_level::error, "answer_dropped",
              {{"call_id", attempt.id},
               {"answer_id", std::string{headers.find("Hw-Call-Id")}},
               {"host", attempt.host.name}});
}

auto call_run::send(call_attempt attempt, config_view_ptr view) -> asio::awaitable<attempt_result>
{
    auto& services = *services_;
    auto const now = clock::now();
    auto request = make_forward_request(call_, attempt, *view, now);
    services.router.on_sent(attempt.host.name, now);
    record_forwarded(attempt);
    auto const options = attempt_options(now);
    auto opened = co_await open_cancellable(services.context.client, attempt.host.control_address,
                                            std::move(request), options, cancellation_);
    if (cancellation_->disconnected) {
        services.router.on_cancelled(attempt.host.name);
        co_return attempt_result::done;
    }
    if (!opened) {
        services.router.on_failure(attempt.host.name, clock::now());
        last_error_ = opened.error();
        co_return last_error_.code == result_code::connect_failed ? attempt_result::not_run
                                                                  : attempt_result::response_lost;
    }
    auto stream = std::move(opened).value();
    auto const response = read_forward_response(stream->headers(), attempt.id);
    if (response.is_mismatched) {
        record_dropped_response(attempt, stream->headers());
        services.router.on_failure(attempt.host.name, clock::now());
        last_error_ = fail(result_code::response_malformed,
                           "the response has the Hw-Call-Id of another call; it was dropped");
        co_return attempt_result::response_lost;
    }
    services.router.on_report(attempt.host.name, response.report, clock::now());
    if (response.code != result_code::ok || response.outcome != ran::yes)
        co_return co_await read_error_response(std::move(attempt), response, std::move(stream));
    // A resumed stream must continue with exactly the weights version that started it.
    if (streaming_ && (response.report.weights_version != weights_version_ || stream->status() != 200)) {
        services.router.on_finished(attempt.host.name);
        last_error_ =
            fail(result_code::version_mismatch,
                 attempt.host.name + " did not resume the stream with status 200 and weights version " +
                     weights_version_);
        co_return attempt_result::not_run;
    }
    if (!streaming_) weights_version_ = response.report.weights_version;
    if (is_event_stream(stream->headers()))
        co_return co_await relay_events(std::move(attempt), std::move(stream));
    co_return co_await relay_buffered(std::move(attempt), std::move(stream));
}

auto call_run::read_error_response(call_attempt attempt, forward_response response,
                                   std::unique_ptr<http_stream> stream) -> asio::awaitable<attempt_result>
{
    auto body = co_await stream->read_all();
    services_->router.on_finished(attempt.host.name);
    auto const code = response.code == result_code::ok ? result_code::outcome_unknown : response.code;
    last_error_ = fail(code, body ? error_message(body.value(), code) : std::string{describe(code).meaning});
    retry_after_s_ = response.retry_after_s;
    co_return response.outcome == ran::no ? attempt_result::not_run : attempt_result::response_lost;
}

auto call_run::relay_buffered(call_attempt attempt, std::unique_ptr<http_stream> stream)
    -> asio::awaitable<attempt_result>
{
    auto const host = attempt.host.name;
    auto body = std::string{};
    cancellation_->active_stream = stream.get();
    while (true) {
        auto piece = co_await stream->read();
        auto const too_large = piece && piece.value() &&
                               body.size() + piece.value()->size() > services_->settings.max_response_bytes;
        if (piece && !piece.value()) break;
        if (piece && !too_large) {
            body += *piece.value();
            continue;
        }
        cancellation_->active_stream = nullptr;
        if (cancellation_->disconnected) {
            services_->router.on_cancelled(host);
            co_return attempt_result::done;
        }
        services_->router.on_failure(host, clock::now());
        last_error_ = too_large ? fail(result_code::response_malformed,
                                       "the response exceeds the limit calls.answer_bytes; it was dropped")
                                : fail(result_code::answer_cut, piece.error().message);
        co_return attempt_result::response_lost;
    }
    cancellation_->active_stream = nullptr;
    services_->router.on_finished(host);
    machine_.process(call_event::response_received);
    auto headers = make_relayed_headers(stream->headers());
    co_await send_response(stream->status(), std::move(headers), std::move(body));
    co_return attempt_result::done;
}

auto call_run::on_stream_interrupted(call_attempt const& attempt, error problem) -> attempt_result
{
    cancellation_->active_stream = nullptr;
    if (cancellation_->disconnected) {
        services_->router.on_cancelled(attempt.host.name);
        return attempt_result::done;
    }
    services_->router.on_failure(attempt.host.name, clock::now());
    services_->context.metrics_registry.count("streams_cut_total");
    last_error_ = fail(result_code::stream_interrupted, std::move(problem.message));
    // The engine of the same agent may still hold the stream.
    call_.query.preferred_host = attempt.host.name;
    return attempt_result::response_lost;
}

auto call_run::relay_events(call_attempt attempt, std::unique_ptr<http_stream> stream)
    -> asio::awaitable<attempt_result>
{
    stream_attempt_id_ = attempt.id;
    auto parser = event_parser{};
    cancellation_->active_stream = stream.get();
    if (!streaming_) {
        auto headers = make_relayed_headers(stream->headers());
        headers.set("X-Call-Id", call_.id);
        headers.set("Cache-Control", "no-cache");
        streaming_ = true;
        co_await out_.start(200, std::move(headers));
    }
    while (true) {
        auto piece = co_await stream->read();
        if (!piece) co_return on_stream_interrupted(attempt, piece.error());
        if (!piece.value()) break;
        if (clock::now() >= call_.deadline)
            co_return on_stream_interrupted(attempt, fail(result_code::deadline_exceeded,
                                                          "the call's deadline passed during the stream"));
        auto const events = parser.feed(*piece.value());
        auto const batch = collect_events(events);
        auto const written = co_await out_.write(batch.text);
        if (!written) {
            cancellation_->disconnected = true;
            co_return on_stream_interrupted(attempt, last_error_);
        }
        if (batch.interrupted) co_return on_stream_interrupted(attempt, last_error_);
        if (parser.too_long())
            co_return on_stream_interrupted(
                attempt, fail(result_code::answer_cut,
                              "an event of the stream exceeds max_event_bytes without its end"));
        // The first event takes as long as the engine needs to process the prompt; the later ones arrive at
        // the token rate.
        stream->set_read_timeout(services_->settings.event_timeout);
        if (!batch.done) continue;
        cancellation_->active_stream = nullptr;
        services_->router.on_finished(attempt.host.name);
        machine_.process(call_event::response_received);
        co_await out_.finish();
        count_result("streamed");
        co_return attempt_result::done;
    }
    co_return on_stream_interrupted(attempt,
                                    fail(result_code::answer_cut, "the stream ended without its done event"));
}

// Returns the events to relay, up to the end of the stream or the first event with which it cannot continue.
auto call_run::collect_events(std::span<stream_event const> events) -> event_batch
{
    auto batch = event_batch{};
    for (auto const& event : events) {
        auto const action = classify_event(event);
        if (action == event_action::skip) continue;
        batch.interrupted = action == event_action::interrupted;
        if (batch.interrupted) break;
        batch.text += event.text;
        if (event.id) last_event_id_ = *event.id;
        batch.done = event.type == "done";
        if (batch.done) break;
    }
    return batch;
}

auto call_run::classify_event(stream_event const& event) -> event_action
{
    if (event.type == "error") {
        last_error_ =
            fail(result_code::stream_interrupted, "the endpoint ended the stream with an error event");
        return event_action::interrupted;
    }
    if (!event.id || last_event_id_ < 0) return event_action::relay;
    if (*event.id <= last_event_id_) return event_action::skip;
    if (*event.id == last_event_id_ + 1) return event_action::relay;
    last_error_ = fail(result_code::stream_interrupted,
                       "expected the event id that follows the last relayed one; the stream has a gap");
    return event_action::interrupted;
}

} // namespace hibiscuswall
