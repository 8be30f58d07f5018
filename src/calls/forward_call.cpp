// Sends one admitted call to the engine or plain service and relays the response to the entry.
#include "gate_state.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

auto elapsed_since(time_point start) -> microseconds
{
    return std::chrono::duration_cast<microseconds>(clock::now() - start);
}

auto make_endpoint_request(forward_request const& call, std::string body) -> http_request
{
    auto request = http_request{call.method, call.target, {}, std::move(body)};
    request.headers.set("X-Request-Id", call.call_id);
    request.headers.set("X-Priority", static_cast<long long>(call.priority)); // Higher values first.
    request.headers.set("X-Account", call.account);
    if (!call.content_type.empty()) request.headers.set("Content-Type", call.content_type);
    if (!call.last_event_id.empty()) request.headers.set("Last-Event-ID", call.last_event_id);
    return request;
}

// Whether the endpoint's status reports overload.
auto is_overload(int status) -> bool { return status == 429 || status == 503; }

// Headers of the endpoint's response that may be relayed to callers.
auto make_relayed_headers(http_headers const& response_headers) -> http_headers
{
    auto relayed = http_headers{};
    for (auto const& header : response_headers.all()) {
        auto const is_internal = header.name.starts_with("Hw-") || header.name.starts_with("hw-");
        if (!is_internal) relayed.set(header.name, header.value);
    }
    return relayed;
}

// Cancels a call at the engine. The coroutine owns everything that it uses.
auto cancel_at_engine(std::shared_ptr<request_gate::state> gate, std::string call_id) -> asio::awaitable<void>
{
    auto cancelled = co_await gate->engine.cancel(call_id);
    log_event(log_level::info, "call_cancelled",
              {{"call_id", call_id}, {"at_engine", cancelled ? "yes" : cancelled.error().message}});
}

auto outcome_of_failure(forward_request const& call, error const& problem, completion_sample sample)
    -> call_outcome
{
    if (problem.code == result_code::connect_failed)
        return {result_code::connect_failed, ran::no, problem.message, sample, false};
    auto const code = call.idempotent ? problem.code : result_code::outcome_unknown;
    return {code, ran::unknown, problem.message, sample, false};
}

} // namespace

// State of a forwarded call that is shared with the disconnect callback.
struct active_forward {
    http_stream* stream = nullptr;   // Null: the header has not been received, or relaying has ended.
    bool entry_disconnected = false; // The entry closed its connection.
};

// A non-idempotent call is not cancelled: its response is stored for call.resolve.
auto request_gate::state::cancel_on_disconnect(forward_request const& call, http_responder& out)
    -> std::shared_ptr<active_forward>
{
    auto active = std::make_shared<active_forward>();
    if (!call.idempotent) {
        out.on_disconnect([] {});
        return active;
    }
    out.on_disconnect([active, gate = shared_from_this(), call_id = call.call_id] {
        active->entry_disconnected = true;
        if (active->stream != nullptr)
            active->stream->cancel();
        else if (gate->is_engine())
            asio::co_spawn(gate->context.io, cancel_at_engine(gate, call_id), asio::detached);
    });
    return active;
}

auto request_gate::state::forward(forward_request call, std::string body, http_responder& out)
    -> asio::awaitable<call_outcome>
{
    auto self = shared_from_this();
    auto options = http_call_options{};
    options.timeout = endpoint.response_timeout;
    // If a reused connection was closed in the meantime, it would be unknown whether the call was received. A
    // non-idempotent call therefore uses a new one.
    options.fresh_connection = !call.idempotent;
    auto request = make_endpoint_request(call, std::move(body));
    auto const sent_at = clock::now();
    auto active = cancel_on_disconnect(call, out);
    auto opened = co_await context.client.open(endpoint.target_address, std::move(request), options);
    if (!opened) {
        auto const sample = completion_sample{completion_outcome::overloaded, elapsed_since(sent_at)};
        co_return outcome_of_failure(call, opened.error(), sample);
    }
    auto& stream = *opened.value();
    on_response_head(call, stream.headers(), sent_at);
    active->stream = &stream;
    auto outcome = co_await relay(call, stream, out, sent_at);
    active->stream = nullptr;
    if (active->entry_disconnected) {
        outcome.sample.outcome = completion_outcome::no_signal;
        // The slot is free only after the engine has stopped working on the call.
        if (is_engine()) co_await cancel_at_engine(self, call.call_id);
    }
    co_return outcome;
}

// Returns why the response must not reach the caller; empty: it may.
auto request_gate::state::header_mismatch(forward_request const& call, http_headers const& headers)
    -> std::string
{
    auto const request_id = headers.find("X-Request-Id");
    auto const version = headers.find("X-Weights-Version");
    auto reason = std::string{};
    if (!request_id.empty() && request_id != call.call_id)
        reason = "the response was dropped: it belongs to request " + std::string{request_id};
    else if (is_engine() && !version.empty() && version != call.version)
        reason = "the response was dropped: it was generated with weights version " + std::string{version};
    if (reason.empty()) return reason;
    context.metrics_registry.count("foreign_answers_total");
    context.events.record("foreign_answer_dropped", {{"call_id", call.call_id}});
    log_event(log_level::error, "foreign_answer_dropped", {{"call_id", call.call_id}, {"reason", reason}});
    return reason;
}

// Returns why a complete response may come from other weights than the call's; empty: it does not.
auto request_gate::state::body_mismatch(forward_request call, std::string_view body)
    -> asio::awaitable<std::string>
{
    if (!is_engine()) co_return std::string{};
    auto const document = nlohmann::json::parse(body, nullptr, false);
    auto const names_version = document.is_object() && document.contains("weights_version");
    if (names_version && document["weights_version"] != call.version)
        co_return "the response was dropped: it was generated with weights version " +
            document["weights_version"].dump();
    co_return co_await weights_mismatch(call, clock::now());
}

// Returns why data received at that time may come from other weights than the call's; empty: it does not. An
// engine that does not enforce fencing may have loaded other weights since the call began.
// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine keeps its own copy
auto request_gate::state::weights_mismatch(forward_request call, time_point received_at)
    -> asio::awaitable<std::string>
{
    if (!is_engine() || endpoint.enforces_fencing) co_return std::string{};
    auto const has_status = co_await read_engine_status_after(received_at);
    if (!has_status)
        co_return std::string{"the engine's status could not be read to verify its weights version; the rest "
                              "of the response was dropped"};
    // The status itself is compared, since other weights do not close an endpoint that is draining.
    if (engine_matches_order && ordered_weights && ordered_weights->version == call.version)
        co_return std::string{};
    co_return std::string{
        "the engine's weights changed during the call; the rest of the response was dropped"};
}

auto request_gate::state::relay(forward_request const& call, http_stream& stream, http_responder& out,
                                time_point sent_at) -> asio::awaitable<call_outcome>
{
    auto sample = completion_sample{completion_outcome::succeeded, elapsed_since(sent_at)};
    if (auto const reason = header_mismatch(call, stream.headers()); !reason.empty()) {
        sample.outcome = completion_outcome::no_signal;
        co_return outcome_of_failure(call, fail(result_code::response_malformed, reason), sample);
    }
    auto const status = stream.status();
    if (is_engine() && status >= 500) {
        sample.outcome = completion_outcome::overloaded;
        co_return call_outcome{result_code::endpoint_overloaded, ran::unknown,
                               "the engine responded with status " + std::to_string(status), sample, false};
    }
    if (is_overload(status)) sample.outcome = completion_outcome::overloaded;

    auto headers = make_relayed_headers(stream.headers());
    add_state_headers(headers, call.call_id);
    if (!call.version.empty()) headers.set("Hw-Weights-Version", call.version);
    headers.set("Hw-Ran", ran_text(ran::yes));
    headers.set("Hw-Code", 0LL);
    // The response of a plain service is buffered until it is complete, so that an interrupted one becomes
    // "outcome unknown".
    if (!is_engine() || stream.headers().contains("Content-Length"))
        co_return co_await relay_buffered(call, stream, std::move(headers), out, sample);
    co_return co_await relay_stream(call, stream, std::move(headers), out, sample);
}

auto request_gate::state::relay_buffered(forward_request const& call, http_stream& stream,
                                         http_headers headers, http_responder& out, completion_sample sample)
    -> asio::awaitable<call_outcome>
{
    auto body = co_await stream.read_all();
    if (!body) {
        sample.outcome = completion_outcome::overloaded;
        co_return outcome_of_failure(call, body.error(), sample);
    }
    if (auto const reason = co_await body_mismatch(call, body.value()); !reason.empty())
        co_return outcome_of_failure(call, fail(result_code::response_malformed, reason), sample);
    auto const type = std::string{stream.headers().find("Content-Type")};
    if (!call.idempotent)
        registry.record_response(call.call_id, stored_response{stream.status(), type, body.value()});
    report_request_traffic({0, body.value().size()});
    auto response = http_response{stream.status(), std::move(headers), std::move(body).value()};
    co_await out.send(std::move(response));
    co_return call_outcome{result_code::ok, ran::yes, {}, sample, true};
}

auto request_gate::state::relay_stream(forward_request const& call, http_stream& stream, http_headers headers,
                                       http_responder& out, completion_sample sample)
    -> asio::awaitable<call_outcome>
{
    if (!co_await out.start(stream.status(), std::move(headers)) && call.idempotent) {
        stream.cancel();
        co_return call_outcome{result_code::cancelled, ran::unknown, "the entry disconnected", sample, true};
    }
    while (true) {
        auto piece = co_await stream.read();
        if (!piece) {
            // Without the end marker, the entry detects that the response is incomplete.
            out.abort();
            sample.outcome = completion_outcome::overloaded;
            auto outcome = outcome_of_failure(call, piece.error(), sample);
            outcome.relayed = true;
            co_return outcome;
        }
        if (!piece.value()) break;
        // A relayed piece cannot be withdrawn, and the entry resumes the stream from it at another endpoint.
        // Each piece is therefore held until a later engine status has confirmed the weights.
        if (auto const reason = co_await weights_mismatch(call, clock::now()); !reason.empty()) {
            out.abort();
            stream.cancel();
            co_return call_outcome{result_code::response_malformed, ran::unknown, reason, sample, true};
        }
        report_request_traffic({0, piece.value()->size()});
        auto const written = co_await out.write(*piece.value());
        if (!written && call.idempotent) {
            stream.cancel();
            co_return call_outcome{result_code::cancelled, ran::unknown, "the entry disconnected", sample,
                                   true};
        }
    }
    if (!call.idempotent) registry.record_response(call.call_id, std::nullopt);
    co_await out.finish();
    co_return call_outcome{result_code::ok, ran::yes, {}, sample, true};
}

} // namespace hibiscuswall
