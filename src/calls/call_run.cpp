#include "call_run.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

namespace hibiscuswall {
namespace {

constexpr auto endpoint_poll_interval = milliseconds{20}; // Between two checks for an admissible endpoint.

} // namespace

call_run::call_run(std::shared_ptr<call_services> services, caller_call call, http_responder& out)
    : services_{std::move(services)}, call_{std::move(call)}, out_{out}, machine_{call_.idempotent},
      cancellation_{std::make_shared<caller_cancellation>()}, arrived_at_{clock::now()}
{
}

auto call_run::run() -> asio::awaitable<void>
{
    // A non-idempotent call is not cancelled: its response is stored for a retry with the same key.
    if (call_.idempotent)
        out_.on_disconnect([cancellation = cancellation_] { cancellation->on_disconnect(); });
    while (!cancellation_->disconnected) {
        auto const now = clock::now();
        if (now >= call_.deadline) {
            auto timed_out =
                fail(result_code::deadline_exceeded, "the call's deadline passed before it was completed");
            co_await send_error(std::move(timed_out));
            co_return;
        }
        auto view = services_->config.current();
        if (view == nullptr || !services_->config.confirmed(now)) {
            auto const code =
                view == nullptr ? result_code::configuration_missing : result_code::configuration_unconfirmed;
            auto missing = fail(code, std::string{describe(code).meaning});
            co_await send_error(std::move(missing));
            co_return;
        }
        auto const attempt = next_attempt(*view, now);
        if (!attempt) {
            if (co_await wait_for_endpoint(now)) continue;
            co_return;
        }
        if (!call_.idempotency_key.empty() && !co_await acquire_claim(*attempt)) co_return;
        if (!machine_.process(call_event::sent)) {
            auto unknown = fail(result_code::outcome_unknown,
                                "an earlier attempt of this call may have run; it is not retried");
            co_await send_error_with_outcome(std::move(unknown), ran::unknown);
            co_return;
        }
        auto const result = co_await send(*attempt, view);
        if (!cancellation_->disconnected && !co_await finish_attempt(result, *attempt)) co_return;
    }
    co_await finish_cancelled();
}

auto call_run::next_attempt(config_view const& view, time_point now) -> std::optional<call_attempt>
{
    auto const resumes = last_event_id_ >= 0;
    call_.query.weights_version = streaming_ ? weights_version_ : std::string{};
    auto host = services_->router.choose(call_.query, view, now, services_->context.random);
    if (!host) return std::nullopt;
    auto attempt = call_attempt{};
    attempt.host = std::move(*host);
    attempt.incarnation = services_->router.incarnation(attempt.host);
    ++attempts_;
    // An agent that revoked an id rejects it permanently, so each attempt has an id of its own.
    attempt.id = attempts_ == 1 ? call_.id : call_.id + "-" + std::to_string(attempts_);
    if (resumes) attempt.id = stream_attempt_id_;
    if (resumes) attempt.last_event_id = std::to_string(last_event_id_);
    if (streaming_) attempt.weights_version = weights_version_;
    return attempt;
}

// Returns false if the caller was sent an error instead.
auto call_run::wait_for_endpoint(time_point now) -> asio::awaitable<bool>
{
    if (!endpoint_wait_until_) endpoint_wait_until_ = now + services_->settings.endpoint_wait_timeout;
    auto const tried_all = !call_.query.excluded.empty();
    // Gives up after the wait timeout, or at once if every endpoint rejected the call for overload: an
    // immediate retry would only add load.
    if (now >= *endpoint_wait_until_ || (tried_all && consumes_retry_budget(last_error_.code))) {
        if (!tried_all)
            last_error_ =
                fail(result_code::no_endpoint, "no endpoint was admissible within calls.endpoint_wait_ms");
        co_await send_error(last_error_);
        co_return false;
    }
    call_.query.excluded.clear();
    call_.query.preferred_host.clear();
    co_await sleep_for(endpoint_poll_interval);
    co_return true;
}

auto call_run::may_retry(attempt_result result) -> bool
{
    if (attempts_ >= services_->settings.max_attempts) return false;
    if (result == attempt_result::response_lost) return call_.idempotent && services_->budget.try_spend();
    // A retry with the same key has revoked this call and may have run. The claim determines the response.
    if (last_error_.code == result_code::call_revoked && !claim_call_id_.empty()) return true;
    if (!is_retryable_elsewhere(last_error_.code)) return false;
    return !consumes_retry_budget(last_error_.code) || services_->budget.try_spend();
}

auto call_run::record_failed_attempt(call_attempt const& attempt, attempt_result result) const -> void
{
    auto const name = describe(last_error_.code).name;
    services_->context.metrics_registry.count("attempts_failed_total", {{"code", name}});
    log_event(log_level::info, "attempt_failed",
              {{"call_id", attempt.id},
               {"host", attempt.host.name},
               {"code", std::string{name}},
               {"ran", result == attempt_result::not_run ? "no" : "unknown"},
               {"message", last_error_.message}});
}

// Returns whether another attempt follows. Otherwise the caller was sent a response.
auto call_run::finish_attempt(attempt_result result, call_attempt attempt) -> asio::awaitable<bool>
{
    if (result == attempt_result::response_lost) {
        machine_.process(call_event::response_lost);
        if (!call_.idempotent) result = co_await resolve_lost_response(attempt);
    }
    if (result == attempt_result::done) co_return false;
    if (result == attempt_result::not_run) machine_.process(call_event::not_run);
    record_failed_attempt(attempt, result);
    if (!may_retry(result)) {
        co_await send_error(last_error_);
        co_return false;
    }
    endpoint_wait_until_.reset();
    // A restarted agent may admit the call in its new incarnation, which its rejection has reported. The
    // agent of an interrupted stream is tried once more, since its engine may still hold the stream.
    auto const resumes = streaming_ && result == attempt_result::response_lost &&
                         resumed_hosts_.insert(attempt.host.name).second;
    if (last_error_.code != result_code::agent_restarted && !resumes)
        call_.query.excluded.insert(attempt.host.name);
    co_return true;
}

} // namespace hibiscuswall
