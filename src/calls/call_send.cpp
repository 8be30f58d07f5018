// Sending an attempt to its agent and relaying the answer.
// GCC 12 inlines the frame's operator new but not its operator delete and then takes them for mismatched.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "call_run.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

auto is_event_stream(http_headers const& headers) -> bool
{
    return headers.find("Content-Type").starts_with("text/event-stream");
}

// Headers of the endpoint's answer that reach the caller.
auto caller_headers(http_headers const& given) -> http_headers
{
    auto kept = http_headers{};
    for (auto const& header : given.all()) {
        auto const internal = header.name.size() > 3 && (header.name[0] == 'H' || header.name[0] == 'h') &&
                              (header.name[1] == 'W' || header.name[1] == 'w') && header.name[2] == '-';
        if (!internal && header.name != "X-Request-Id") kept.set(header.name, header.value);
    }
    if (auto const version = given.find("Hw-Weights-Version"); !version.empty())
        kept.set("X-Weights-Version", version);
    return kept;
}

auto message_of(std::string const& body, result_code code) -> std::string
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
        auto const one =
            call_.priority == request_class::status ? settings.status_timeout : settings.response_timeout;
        options.timeout = std::min(remaining, one);
    }
    options.fresh_connection = !call_.idempotent;
    options.body_limit = std::numeric_limits<std::size_t>::max() / 2; // streams; relay_whole has its own
    return options;
}

auto call_run::note_forwarded(call_attempt const& attempt) const -> void
{
    services_->context.events.record("call_forwarded",
                                     {{"call_id", attempt.id}, {"host", attempt.host.name}});
}

auto call_run::note_foreign(call_attempt const& attempt, http_headers const& headers) const -> void
{
    services_->context.metrics_registry.count("answers_dropped_total");
    log_event(log_level::error, "answer_dropped",
              {{"call_id", attempt.id},
               {"answer_id", std::string{headers.find("Hw-Call-Id")}},
               {"host", attempt.host.name}});
}

auto call_run::send(call_attempt attempt, config_view_ptr view) -> asio::awaitable<attempt_end>
{
    auto& services = *services_;
    auto const now = clock::now();
    auto request = make_forward(call_, attempt, *view, now);
    services.router.on_sent(attempt.host.name, now);
    note_forwarded(attempt);
    auto const options = attempt_options(now);
    auto opened = co_await open_watched(services.context.client, attempt.host.control_address,
                                        std::move(request), options, watch_);
    if (watch_->gone) {
        services.router.on_cancelled(attempt.host.name);
        co_return attempt_end::done;
    }
    if (!opened) {
        services.router.on_failure(attempt.host.name, clock::now());
        last_ = opened.error();
        co_return last_.code == result_code::connect_failed ? attempt_end::not_run : attempt_end::lost;
    }
    auto answer = std::move(opened).value();
    auto const told = read_forward_answer(answer->headers(), attempt.id);
    if (told.foreign) {
        note_foreign(attempt, answer->headers());
        services.router.on_failure(attempt.host.name, clock::now());
        last_ = fail(result_code::response_malformed, "the answer belongs to another call");
        co_return attempt_end::lost;
    }
    services.router.on_report(attempt.host.name, told.report, clock::now());
    if (told.code != result_code::ok || told.outcome != ran::yes)
        co_return co_await read_refusal(std::move(attempt), told, std::move(answer));
    // The pinned version: a resumed stream goes on with exactly the weights that began it.
    if (streaming_ && (told.report.weights_version != weights_version_ || answer->status() != 200)) {
        services.router.on_finished(attempt.host.name);
        last_ = fail(result_code::version_mismatch,
                     attempt.host.name + " cannot resume with version " + weights_version_);
        co_return attempt_end::not_run;
    }
    if (!streaming_) weights_version_ = told.report.weights_version;
    if (is_event_stream(answer->headers()))
        co_return co_await relay_events(std::move(attempt), std::move(answer));
    co_return co_await relay_whole(std::move(attempt), std::move(answer));
}

auto call_run::read_refusal(call_attempt attempt, forward_answer told, std::unique_ptr<http_stream> answer)
    -> asio::awaitable<attempt_end>
{
    auto body = co_await answer->read_all();
    services_->router.on_finished(attempt.host.name);
    auto const code = told.code == result_code::ok ? result_code::outcome_unknown : told.code;
    last_ = fail(code, body ? message_of(body.value(), code) : std::string{describe(code).meaning});
    retry_after_s_ = told.retry_after_s;
    co_return told.outcome == ran::no ? attempt_end::not_run : attempt_end::lost;
}

auto call_run::relay_whole(call_attempt attempt, std::unique_ptr<http_stream> answer)
    -> asio::awaitable<attempt_end>
{
    auto const host = attempt.host.name;
    auto body = std::string{};
    watch_->open = answer.get();
    while (true) {
        auto piece = co_await answer->read();
        auto const too_large = piece && piece.value() &&
                               body.size() + piece.value()->size() > services_->settings.max_response_bytes;
        if (piece && !piece.value()) break;
        if (piece && !too_large) {
            body += *piece.value();
            continue;
        }
        watch_->open = nullptr;
        if (watch_->gone) {
            services_->router.on_cancelled(host);
            co_return attempt_end::done;
        }
        services_->router.on_failure(host, clock::now());
        last_ = too_large ? fail(result_code::response_malformed, "the answer exceeds the limit")
                          : fail(result_code::answer_cut, piece.error().message);
        co_return attempt_end::lost;
    }
    watch_->open = nullptr;
    services_->router.on_finished(host);
    machine_.process(call_event::response_received);
    auto headers = caller_headers(answer->headers());
    co_await deliver(answer->status(), std::move(headers), std::move(body));
    co_return attempt_end::done;
}

auto call_run::stream_cut(call_attempt const& attempt, error problem) -> attempt_end
{
    watch_->open = nullptr;
    if (watch_->gone) {
        services_->router.on_cancelled(attempt.host.name);
        return attempt_end::done;
    }
    services_->router.on_failure(attempt.host.name, clock::now());
    services_->context.metrics_registry.count("streams_cut_total");
    last_ = fail(result_code::stream_interrupted, std::move(problem.message));
    // The same agent may still hold the stream's place at its engine.
    call_.query.preferred_host = attempt.host.name;
    return attempt_end::lost;
}

auto call_run::relay_events(call_attempt attempt, std::unique_ptr<http_stream> answer)
    -> asio::awaitable<attempt_end>
{
    stream_id_ = attempt.id;
    auto parser = event_parser{};
    watch_->open = answer.get();
    if (!streaming_) {
        auto headers = caller_headers(answer->headers());
        headers.set("X-Call-Id", call_.id);
        headers.set("Cache-Control", "no-cache");
        streaming_ = true;
        co_await out_.start(200, std::move(headers));
    }
    while (true) {
        auto piece = co_await answer->read();
        if (!piece) co_return stream_cut(attempt, piece.error());
        if (!piece.value()) break;
        if (clock::now() >= call_.deadline)
            co_return stream_cut(attempt, fail(result_code::deadline_exceeded, "the deadline passed"));
        auto const events = parser.feed(*piece.value());
        auto const taken = take_events(events);
        auto const written = co_await out_.write(taken.text);
        if (!written) {
            watch_->gone = true;
            co_return stream_cut(attempt, last_);
        }
        if (taken.broken) co_return stream_cut(attempt, last_);
        if (parser.too_long())
            co_return stream_cut(attempt, fail(result_code::answer_cut, "an event of the stream has no end"));
        // The first event may wait for the prompt to be read; the later ones come at the pace of the tokens.
        answer->set_read_timeout(services_->settings.event_timeout);
        if (!taken.done) continue;
        watch_->open = nullptr;
        services_->router.on_finished(attempt.host.name);
        machine_.process(call_event::response_received);
        co_await out_.finish();
        note_result("streamed");
        co_return attempt_end::done;
    }
    co_return stream_cut(attempt, fail(result_code::answer_cut, "the stream ended without its last event"));
}

// The events that the caller gets next, up to the end of the stream or the first one that breaks it.
auto call_run::take_events(std::span<stream_event const> events) -> event_run
{
    auto taken = event_run{};
    for (auto const& event : events) {
        auto const use = judge_event(event);
        if (use == event_use::skip) continue;
        taken.broken = use == event_use::broken;
        if (taken.broken) break;
        taken.text += event.text;
        if (event.id) last_event_ = *event.id;
        taken.done = event.type == "done";
        if (taken.done) break;
    }
    return taken;
}

auto call_run::judge_event(stream_event const& event) -> event_use
{
    if (event.type == "error") {
        last_ = fail(result_code::stream_interrupted, "the endpoint ended the stream with an error");
        return event_use::broken;
    }
    if (!event.id || last_event_ < 0) return event_use::relay;
    if (*event.id <= last_event_) return event_use::skip;
    if (*event.id == last_event_ + 1) return event_use::relay;
    last_ = fail(result_code::stream_interrupted, "events are missing from the stream");
    return event_use::broken;
}

} // namespace hibiscuswall
