// One admitted call: sends it to the engine or plain service and relays the answer to the entry.
#include "gate_state.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

auto since(time_point start) -> microseconds
{
    return std::chrono::duration_cast<microseconds>(clock::now() - start);
}

auto to_endpoint(forward_request const& call, std::string body) -> http_request
{
    auto request = http_request{call.method, call.target, {}, std::move(body)};
    request.headers.set("X-Request-Id", call.call_id);
    request.headers.set("X-Priority", static_cast<long long>(call.priority)); // higher first
    request.headers.set("X-Account", call.account);
    if (!call.content_type.empty()) request.headers.set("Content-Type", call.content_type);
    if (!call.last_event_id.empty()) request.headers.set("Last-Event-ID", call.last_event_id);
    return request;
}

// Whether the endpoint said that it cannot take more now.
auto is_overload(int status) -> bool { return status == 429 || status == 503; }

// Headers of the endpoint's answer that callers may see.
auto relayed_headers(http_headers const& given) -> http_headers
{
    auto kept = http_headers{};
    for (auto const& header : given.all()) {
        auto const is_internal = header.name.starts_with("Hw-") || header.name.starts_with("hw-");
        if (!is_internal) kept.set(header.name, header.value);
    }
    return kept;
}

// Ends a call at the engine while its answer has not begun; the coroutine owns all that it needs.
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

// What the disconnect callback may touch while a call is at the endpoint.
struct live_call {
    http_stream* answer = nullptr; // once its header came
    bool cut = false;              // the entry closed its connection
};

// A non-idempotent call is left to finish: its answer is kept for call.resolve.
auto request_gate::state::cancel_on_disconnect(forward_request const& call, http_responder& out)
    -> std::shared_ptr<live_call>
{
    auto live = std::make_shared<live_call>();
    if (!call.idempotent) {
        out.on_disconnect([] {});
        return live;
    }
    out.on_disconnect([live, gate = shared_from_this(), call_id = call.call_id] {
        live->cut = true;
        if (live->answer != nullptr)
            live->answer->cancel();
        else if (gate->is_engine())
            asio::co_spawn(gate->context.io, cancel_at_engine(gate, call_id), asio::detached);
    });
    return live;
}

auto request_gate::state::forward(forward_request call, std::string body, http_responder& out)
    -> asio::awaitable<call_outcome>
{
    auto self = shared_from_this();
    auto options = http_call_options{};
    options.timeout = endpoint.response_timeout;
    // A kept-alive connection that was closed in the meantime hides whether the call was received.
    options.fresh_connection = !call.idempotent;
    auto request = to_endpoint(call, std::move(body));
    auto const sent = clock::now();
    auto live = cancel_on_disconnect(call, out);
    auto opened = co_await context.client.open(endpoint.target_address, std::move(request), options);
    if (!opened) {
        auto const sample = completion_sample{completion_outcome::overloaded, since(sent)};
        co_return outcome_of_failure(call, opened.error(), sample);
    }
    auto& answer = *opened.value();
    live->answer = &answer;
    auto outcome = co_await relay(call, answer, out, sent);
    live->answer = nullptr;
    if (live->cut) {
        outcome.sample.outcome = completion_outcome::no_signal;
        // The slot is free only when the engine no longer works on the call.
        if (is_engine()) co_await cancel_at_engine(self, call.call_id);
    }
    co_return outcome;
}

// Why an answer must not reach the caller; empty when it may.
auto request_gate::state::foreign(forward_request const& call, http_headers const& headers) -> std::string
{
    auto const echoed = headers.find("X-Request-Id");
    auto const version = headers.find("X-Weights-Version");
    auto reason = std::string{};
    if (!echoed.empty() && echoed != call.call_id)
        reason = "the answer belongs to request " + std::string{echoed};
    else if (is_engine() && !version.empty() && version != call.version)
        reason = "the answer was made with weights version " + std::string{version};
    if (reason.empty()) return reason;
    context.metrics_registry.count("foreign_answers_total");
    context.events.record("foreign_answer_dropped", {{"call_id", call.call_id}});
    log_event(log_level::error, "foreign_answer_dropped", {{"call_id", call.call_id}, {"reason", reason}});
    return reason;
}

// Why a whole answer may be of other weights than the call's; empty when it is not.
auto request_gate::state::mixed(forward_request call, std::string_view body) -> asio::awaitable<std::string>
{
    if (!is_engine()) co_return std::string{};
    auto const answer = nlohmann::json::parse(body, nullptr, false);
    auto const named = answer.is_object() && answer.contains("weights_version");
    if (named && answer["weights_version"] != call.version)
        co_return "the answer was made with weights version " + answer["weights_version"].dump();
    co_return co_await weights_changed(call, clock::now());
}

// Why what arrived at that time may be of other weights than the call's; empty when it is not. An engine that
// takes any order may have loaded others since the call began.
// NOLINTNEXTLINE(performance-unnecessary-value-param): a coroutine keeps its own copy
auto request_gate::state::weights_changed(forward_request call, time_point arrived)
    -> asio::awaitable<std::string>
{
    if (!is_engine() || endpoint.enforces_fencing) co_return std::string{};
    auto const read = co_await read_engine_since(arrived);
    if (!read) co_return std::string{"the engine does not tell its weights"};
    // Compared with the status itself: while the endpoint drains, other weights do not close it.
    if (reports_ordered && ordered && ordered->version == call.version) co_return std::string{};
    co_return std::string{"the engine's weights changed during the call"};
}

auto request_gate::state::relay(forward_request const& call, http_stream& answer, http_responder& out,
                                time_point sent) -> asio::awaitable<call_outcome>
{
    auto sample = completion_sample{completion_outcome::succeeded, since(sent)};
    if (auto const reason = foreign(call, answer.headers()); !reason.empty()) {
        sample.outcome = completion_outcome::no_signal;
        co_return outcome_of_failure(call, fail(result_code::response_malformed, reason), sample);
    }
    auto const status = answer.status();
    if (is_engine() && status >= 500) {
        sample.outcome = completion_outcome::overloaded;
        co_return call_outcome{result_code::endpoint_overloaded, ran::unknown,
                               "engine: status " + std::to_string(status), sample, false};
    }
    if (is_overload(status)) sample.outcome = completion_outcome::overloaded;

    auto headers = relayed_headers(answer.headers());
    add_state_headers(headers, call.call_id);
    if (!call.version.empty()) headers.set("Hw-Weights-Version", call.version);
    headers.set("Hw-Ran", ran_text(ran::yes));
    headers.set("Hw-Code", 0LL);
    // A plain service's answer is held until it is whole: a cut one becomes a truthful "outcome unknown".
    if (!is_engine() || answer.headers().contains("Content-Length"))
        co_return co_await relay_whole(call, answer, std::move(headers), out, sample);
    co_return co_await relay_stream(call, answer, std::move(headers), out, sample);
}

auto request_gate::state::relay_whole(forward_request const& call, http_stream& answer, http_headers headers,
                                      http_responder& out, completion_sample sample)
    -> asio::awaitable<call_outcome>
{
    auto body = co_await answer.read_all();
    if (!body) {
        sample.outcome = completion_outcome::overloaded;
        co_return outcome_of_failure(call, body.error(), sample);
    }
    if (auto const reason = co_await mixed(call, body.value()); !reason.empty())
        co_return outcome_of_failure(call, fail(result_code::response_malformed, reason), sample);
    auto const type = std::string{answer.headers().find("Content-Type")};
    if (!call.idempotent) registry.answered(call.call_id, kept_answer{answer.status(), type, body.value()});
    charge_link({0, body.value().size()});
    auto response = http_response{answer.status(), std::move(headers), std::move(body).value()};
    co_await out.send(std::move(response));
    co_return call_outcome{result_code::ok, ran::yes, {}, sample, true};
}

auto request_gate::state::relay_stream(forward_request const& call, http_stream& answer, http_headers headers,
                                       http_responder& out, completion_sample sample)
    -> asio::awaitable<call_outcome>
{
    if (!co_await out.start(answer.status(), std::move(headers)) && call.idempotent) {
        answer.cancel();
        co_return call_outcome{result_code::cancelled, ran::unknown, "the entry closed", sample, true};
    }
    while (true) {
        auto piece = co_await answer.read();
        if (!piece) {
            // Without the end marker the entry sees that the answer is cut.
            out.abort();
            sample.outcome = completion_outcome::overloaded;
            auto outcome = outcome_of_failure(call, piece.error(), sample);
            outcome.relayed = true;
            co_return outcome;
        }
        if (!piece.value()) break;
        // What was relayed cannot be taken back, and the entry goes on with it elsewhere: each piece is held
        // until the engine has named its weights after the piece came.
        if (auto const reason = co_await weights_changed(call, clock::now()); !reason.empty()) {
            out.abort();
            answer.cancel();
            co_return call_outcome{result_code::response_malformed, ran::unknown, reason, sample, true};
        }
        charge_link({0, piece.value()->size()});
        auto const written = co_await out.write(*piece.value());
        if (!written && call.idempotent) {
            answer.cancel();
            co_return call_outcome{result_code::cancelled, ran::unknown, "the entry closed", sample, true};
        }
    }
    if (!call.idempotent) registry.answered(call.call_id, std::nullopt);
    co_await out.finish();
    co_return call_outcome{result_code::ok, ran::yes, {}, sample, true};
}

} // namespace hibiscuswall
