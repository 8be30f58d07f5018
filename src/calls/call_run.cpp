#include "call_run.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

namespace hibiscuswall {
namespace {

constexpr auto endpoint_poll = milliseconds{20}; // between two looks for an admissible endpoint

} // namespace

call_run::call_run(std::shared_ptr<call_services> services, caller_call call, http_responder& out)
    : services_{std::move(services)}, call_{std::move(call)}, out_{out}, machine_{call_.idempotent},
      watch_{std::make_shared<caller_watch>()}, started_at_{clock::now()}
{
}

auto call_run::run() -> asio::awaitable<void>
{
    // A non-idempotent call is left to finish: its answer is kept for a repeat with its key.
    if (call_.idempotent) out_.on_disconnect([watch = watch_] { watch->on_gone(); });
    while (!watch_->gone) {
        auto const now = clock::now();
        if (now >= call_.deadline) {
            auto late = fail(result_code::deadline_exceeded, "the deadline passed");
            co_await refuse(std::move(late));
            co_return;
        }
        auto view = services_->config.current();
        if (view == nullptr || !services_->config.confirmed(now)) {
            auto const code =
                view == nullptr ? result_code::configuration_missing : result_code::configuration_unconfirmed;
            auto missing = fail(code, std::string{describe(code).meaning});
            co_await refuse(std::move(missing));
            co_return;
        }
        auto const attempt = next_attempt(*view, now);
        if (!attempt) {
            if (co_await wait_for_endpoint(now)) continue;
            co_return;
        }
        if (!call_.idempotency_key.empty() && !co_await take_claim(*attempt)) co_return;
        if (!machine_.process(call_event::sent)) {
            auto unknown = fail(result_code::outcome_unknown, "an earlier attempt may have run");
            co_await refuse_as(std::move(unknown), ran::unknown);
            co_return;
        }
        auto const end = co_await send(*attempt, view);
        if (!watch_->gone && !co_await after(end, *attempt)) co_return;
    }
    co_await close_cancelled();
}

auto call_run::next_attempt(config_view const& view, time_point now) -> std::optional<call_attempt>
{
    auto const resumes = last_event_ >= 0;
    call_.query.weights_version = streaming_ ? weights_version_ : std::string{};
    auto host = services_->router.choose(call_.query, view, now, services_->context.random);
    if (!host) return std::nullopt;
    auto attempt = call_attempt{};
    attempt.host = std::move(*host);
    attempt.incarnation = services_->router.incarnation(attempt.host);
    ++attempts_;
    // An agent that refused or revoked an id refuses it for good: each attempt has its own.
    attempt.id = attempts_ == 1 ? call_.id : call_.id + "-" + std::to_string(attempts_);
    if (resumes) attempt.id = stream_id_;
    if (resumes) attempt.last_event_id = std::to_string(last_event_);
    if (streaming_) attempt.weights_version = weights_version_;
    return attempt;
}

// False once the caller was refused.
auto call_run::wait_for_endpoint(time_point now) -> asio::awaitable<bool>
{
    if (!waits_until_) waits_until_ = now + services_->settings.endpoint_wait;
    auto const tried_all = !call_.query.excluded.empty();
    // Every endpoint refused for overload: to ask again at once would only add to it.
    if (now >= *waits_until_ || (tried_all && costs_retry_budget(last_.code))) {
        if (!tried_all) last_ = fail(result_code::no_endpoint, "no endpoint can take the call now");
        co_await refuse(last_);
        co_return false;
    }
    call_.query.excluded.clear();
    call_.query.preferred_host.clear();
    co_await sleep_for(endpoint_poll);
    co_return true;
}

auto call_run::may_retry(attempt_end end) -> bool
{
    if (attempts_ >= services_->settings.attempts) return false;
    if (end == attempt_end::lost) return call_.idempotent && services_->budget.try_spend();
    // A repeat with the key has revoked this call and may have run: the claim tells what to answer.
    if (last_.code == result_code::call_revoked && !claim_id_.empty()) return true;
    if (!worth_another_endpoint(last_.code)) return false;
    return !costs_retry_budget(last_.code) || services_->budget.try_spend();
}

auto call_run::note_failed(call_attempt const& attempt, attempt_end end) const -> void
{
    auto const name = describe(last_.code).name;
    services_->context.metrics_registry.count("attempts_failed_total", {{"code", name}});
    log_event(log_level::info, "attempt_failed",
              {{"call_id", attempt.id},
               {"host", attempt.host.name},
               {"code", std::string{name}},
               {"ran", end == attempt_end::not_run ? "no" : "unknown"},
               {"message", last_.message}});
}

// Whether another attempt follows; else the caller has its answer.
auto call_run::after(attempt_end end, call_attempt attempt) -> asio::awaitable<bool>
{
    if (end == attempt_end::lost) {
        machine_.process(call_event::response_lost);
        if (!call_.idempotent) end = co_await settle_lost(attempt);
    }
    if (end == attempt_end::done) co_return false;
    if (end == attempt_end::not_run) machine_.process(call_event::not_run);
    note_failed(attempt, end);
    if (!may_retry(end)) {
        co_await refuse(last_);
        co_return false;
    }
    waits_until_.reset();
    // A restarted agent may take the call in its new incarnation, which its refusal has told. The agent of a
    // cut stream is asked once more, since its engine may still hold the stream.
    auto const resumes = streaming_ && end == attempt_end::lost && resumed_.insert(attempt.host.name).second;
    if (last_.code != result_code::agent_restarted && !resumes)
        call_.query.excluded.insert(attempt.host.name);
    co_return true;
}

} // namespace hibiscuswall
