// Claims of calls with an idempotency key, and lost responses of non-idempotent calls.

#include "call_run.hpp"

#include "hibiscuswall/core/checked_json.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

// Delay before call.resolve is sent again to an agent that did not respond.
constexpr auto resolve_retry_delay = milliseconds{100};
// Interval between two call.resolve requests about a running call.
constexpr auto running_poll_interval = milliseconds{50};

auto read_claim_response(nlohmann::json const& object) -> std::optional<claim_response>
{
    if (!object.is_object()) return std::nullopt;
    try {
        return claim_response{integer_field(object, "status", 100, 599, 200),
                              object.value("content_type", std::string{}),
                              object.value("body", std::string{})};
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

} // namespace

// Acquires the claim for this attempt. Returns false if the caller was sent a response instead.
auto call_run::acquire_claim(call_attempt attempt) -> asio::awaitable<bool>
{
    auto const key = claim_key(call_.account, call_.idempotency_key);
    while (true) {
        auto new_claim = claim{};
        new_claim.call_id = attempt.id;
        new_claim.host = attempt.host.name;
        new_claim.where = attempt.host.control_address.text();
        new_claim.incarnation = attempt.incarnation;
        new_claim.claimed_at_ms = wall_clock_ms();
        new_claim.request_digest = call_.digest;
        auto holder = co_await services_->claims.acquire(key, std::move(new_claim), claim_call_id_);
        if (!holder) {
            co_await send_error(holder.error());
            co_return false;
        }
        if (holder.value().call_id == attempt.id) {
            claim_call_id_ = attempt.id;
            machine_.process(call_event::claimed);
            co_return true;
        }
        auto other = holder.value();
        auto other_id = other.call_id;
        if (!co_await resolve_existing_claim(std::move(other))) co_return false;
        claim_call_id_ = std::move(other_id);
    }
}

// Returns whether the claim of an earlier call may be replaced. Otherwise the caller was sent a response.
auto call_run::resolve_existing_claim(claim existing) -> asio::awaitable<bool>
{
    // The responses below are about the earlier call, whose claim this call must not release.
    claim_call_id_.clear();
    if (existing.request_digest != call_.digest) {
        auto const reused = fail(
            result_code::idempotency_key_reused,
            "Idempotency-Key was used before with a different method, target or body; the call was not run");
        co_await send_error_with_outcome(reused, ran::no);
        co_return false;
    }
    if (existing.response) {
        co_await replay(*existing.response, existing.call_id);
        co_return false;
    }
    auto resolved = resolution{};
    resolved.state = resolution_state::unknown;
    if (existing.state != claim_state::unknown) {
        auto const age = milliseconds{std::max(0LL, wall_clock_ms() - existing.claimed_at_ms)};
        resolved =
            co_await resolve(existing.host, existing.where, existing.call_id, existing.incarnation, age);
    }
    if (existing.state == claim_state::answered && !resolved.response) {
        auto const response_not_stored =
            fail(result_code::outcome_unknown,
                 "call " + existing.call_id +
                     " with this Idempotency-Key ran, but its response is not stored; it is not run again");
        co_await send_error_with_outcome(response_not_stored, ran::yes);
        co_return false;
    }
    if (resolved.state == resolution_state::not_run) co_return true;
    if (resolved.state == resolution_state::answered && resolved.response) {
        finish_claim_in_background(existing.call_id, claim_state::answered, resolved.response);
        co_await replay(*resolved.response, existing.call_id);
        co_return false;
    }
    if (resolved.state == resolution_state::running) {
        auto const running =
            fail(result_code::call_in_progress,
                 "call " + existing.call_id + " with this Idempotency-Key is still running; retry later");
        co_await send_error_with_outcome(running, ran::unknown);
        co_return false;
    }
    if (resolved.state == resolution_state::answered) {
        finish_claim_in_background(existing.call_id, claim_state::answered, std::nullopt);
        auto const response_not_stored =
            fail(result_code::outcome_unknown,
                 "call " + existing.call_id +
                     " with this Idempotency-Key ran, but its response is not stored; it is not run again");
        co_await send_error_with_outcome(response_not_stored, ran::yes);
        co_return false;
    }
    if (resolved.state == resolution_state::unknown)
        finish_claim_in_background(existing.call_id, claim_state::unknown, std::nullopt);
    auto const response_lost =
        fail(result_code::outcome_unknown, "call " + existing.call_id +
                                               " with this Idempotency-Key was sent to " + existing.host +
                                               ", which did not confirm whether it ran; it is not run again");
    co_await send_error_with_outcome(response_lost, ran::unknown);
    co_return false;
}

auto call_run::resolve(std::string host, std::string where, std::string call_id, std::uint64_t incarnation,
                       milliseconds age) -> asio::awaitable<resolution>
{
    auto resolved = resolution{};
    auto target = address{};
    if (auto const* host_member = services_->members.find(host)) target = host_member->control_address;
    if (auto parsed = parse_address(where); target.empty() && parsed) target = parsed.value();
    if (target.empty()) co_return resolved;
    auto params = nlohmann::json::object();
    params["call_id"] = call_id;
    params["incarnation"] = incarnation;
    params["age_ms"] = age.count();
    auto& context = services_->context;
    auto response = co_await rpc_call(context.client, target, "call.resolve", std::move(params),
                                      services_->settings.resolve_timeout);
    if (!response) co_return resolved;
    auto const& body = response.value();
    auto const state_text = body.is_object() ? body.value("state", std::string{}) : std::string{};
    if (state_text == "revoked" || state_text == "refused")
        resolved.state = resolution_state::not_run;
    else if (state_text == "running")
        resolved.state = resolution_state::running;
    else if (state_text == "answered")
        resolved.state = resolution_state::answered;
    else
        resolved.state = resolution_state::unknown;
    if (resolved.state == resolution_state::answered && body.contains("answer"))
        resolved.response = read_claim_response(body["answer"]);
    record_resolution(host, call_id, state_text);
    co_return resolved;
}

auto call_run::record_resolution(std::string const& host, std::string const& call_id,
                                 std::string const& state) const -> void
{
    auto& context = services_->context;
    context.metrics_registry.count("calls_resolved_total", {{"state", state}});
    context.events.record("call_resolved", {{"call_id", call_id}, {"host", host}, {"state", state}});
}

// Asks the agent for the outcome of a call whose response was lost. The agent either completes the call or
// has revoked it, so that both "ran" and "not run" are certain. Without a response the outcome stays unknown.
auto call_run::resolve_lost_response(call_attempt attempt) -> asio::awaitable<attempt_result>
{
    auto requests_without_response = 0;
    while (true) {
        auto const now = clock::now();
        auto const age = std::chrono::duration_cast<milliseconds>(now - arrived_at_);
        auto resolved = co_await resolve(attempt.host.name, attempt.host.control_address.text(), attempt.id,
                                         attempt.incarnation, age);
        if (resolved.state == resolution_state::not_run) {
            last_error_ = fail(result_code::connect_failed, "the call was not run by " + attempt.host.name);
            co_return attempt_result::not_run;
        }
        if (resolved.state == resolution_state::answered) {
            machine_.process(call_event::response_received);
            if (resolved.response) {
                auto headers = http_headers{};
                if (!resolved.response->content_type.empty())
                    headers.set("Content-Type", resolved.response->content_type);
                co_await send_response(resolved.response->status, std::move(headers),
                                       resolved.response->body);
                co_return attempt_result::done;
            }
            finish_claim_in_background(claim_call_id_, claim_state::answered, std::nullopt);
            auto const response_not_stored = fail(
                result_code::outcome_unknown, "the call ran, but its response was lost and is not stored");
            co_await send_error_with_outcome(response_not_stored, ran::yes);
            co_return attempt_result::done;
        }
        if (resolved.state == resolution_state::unknown) co_return attempt_result::response_lost;
        if (resolved.state == resolution_state::no_response &&
            ++requests_without_response >= services_->settings.max_resolve_attempts)
            co_return attempt_result::response_lost;
        if (now >= call_.deadline) co_return attempt_result::response_lost;
        co_await sleep_for(resolved.state == resolution_state::running ? running_poll_interval
                                                                       : resolve_retry_delay);
    }
}

auto call_run::finish_claim_in_background(std::string call_id, claim_state final_state,
                                          std::optional<claim_response> response) -> void
{
    if (call_.idempotency_key.empty() || call_id.empty()) return;
    auto key = claim_key(call_.account, call_.idempotency_key);
    asio::co_spawn(
        services_->context.io,
        services_->finish_claim(std::move(key), std::move(call_id), final_state, std::move(response)),
        asio::detached);
}

} // namespace hibiscuswall
