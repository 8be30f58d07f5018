// Answers of a call to its caller.
#include "call_run.hpp"

#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/log.hpp"

namespace hibiscuswall {
namespace {

constexpr auto default_retry_after_s = 1LL;

// A code that goes with the outcome: "not run" and "outcome unknown" each have their statuses.
auto fitting_code(result_code code, ran outcome) -> result_code
{
    auto const usual = describe(code).outcome;
    if (outcome == ran::no && (code == result_code::connect_failed || usual == ran::unknown))
        return result_code::no_endpoint;
    if (outcome == ran::unknown && usual == ran::no) return result_code::outcome_unknown;
    return code;
}

} // namespace

auto call_run::note_result(std::string_view result) const -> void
{
    services_->context.measures.count("calls_total", {{"result", result}});
}

auto call_run::deliver(int status, http_headers headers, std::string body) -> asio::awaitable<void>
{
    if (!call_.idempotency_key.empty()) {
        auto kept = claim_answer{};
        kept.status = status;
        kept.content_type = std::string{headers.find("Content-Type")};
        kept.body = body;
        end_claim(claim_id_, claim_state::answered, std::move(kept));
    }
    headers.set("X-Call-Id", call_.id);
    auto response = http_response{status, std::move(headers), std::move(body)};
    co_await out_.send(std::move(response));
    note_result("answered");
}

auto call_run::replay(claim_answer answer, std::string call_id) -> asio::awaitable<void>
{
    auto headers = http_headers{};
    if (!answer.content_type.empty()) headers.set("Content-Type", answer.content_type);
    headers.set("X-Call-Id", call_id);
    headers.set("X-Replayed", "yes");
    auto response = http_response{answer.status, std::move(headers), std::move(answer.body)};
    note_result("replayed");
    co_await out_.send(std::move(response));
}

// The caller is gone. An answer is given all the same: the server takes a handler without one for a fault.
auto call_run::close_cancelled() -> asio::awaitable<void>
{
    note_result("cancelled");
    if (streaming_) {
        out_.abort();
        co_return;
    }
    auto cancelled = json_response(describe(result_code::cancelled).http_status, "{}");
    co_await out_.send(std::move(cancelled));
}

auto call_run::refuse(error problem) -> asio::awaitable<void>
{
    auto const outcome = machine_.outcome();
    if (outcome == ran::no && !claim_id_.empty()) end_claim(claim_id_, claim_state::released, std::nullopt);
    return refuse_as(std::move(problem), outcome);
}

auto call_run::note_refusal(error const& problem, ran outcome) const -> void
{
    auto const& info = describe(problem.code);
    services_->context.measures.count("calls_total", {{"result", info.name}, {"ran", ran_text(outcome)}});
    services_->context.events.record(
        "call_refused",
        {{"call_id", call_.id}, {"code", std::string{info.name}}, {"ran", std::string{ran_text(outcome)}}});
    log_event(log_level::info, "call_refused",
              {{"call_id", call_.id},
               {"code", std::string{info.name}},
               {"ran", std::string{ran_text(outcome)}},
               {"attempts", std::to_string(attempts_)},
               {"message", problem.message}});
}

auto call_run::refuse_as(error problem, ran outcome) -> asio::awaitable<void>
{
    if (!call_.idempotent && outcome == ran::unknown && problem.code != result_code::call_in_progress)
        problem.code = result_code::outcome_unknown;
    problem.code = fitting_code(problem.code, outcome);
    note_refusal(problem, outcome);
    auto const& info = describe(problem.code);
    auto body = error_body(problem, outcome, call_.id);
    if (streaming_) {
        auto event = "event: error\ndata: " + body + "\n\n";
        if (co_await out_.write(event)) co_await out_.finish();
        co_return;
    }
    auto response = json_response(info.http_status, std::move(body));
    response.headers.set("X-Call-Id", call_.id);
    response.headers.set("X-Ran", ran_text(outcome));
    auto const temporary =
        info.http_status == 503 || info.http_status == 429 || problem.code == result_code::call_in_progress;
    if (temporary)
        response.headers.set("Retry-After", retry_after_s_ > 0 ? retry_after_s_ : default_retry_after_s);
    co_await out_.send(std::move(response));
}

} // namespace hibiscuswall
