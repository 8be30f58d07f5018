// Claims of a call with an idempotency key, and lost answers of non-idempotent calls.
// GCC 12 inlines the frame's operator new but not its operator delete and then takes them for mismatched.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "call_run.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

constexpr auto resolve_pause = milliseconds{100}; // before an agent that did not reply is asked again
constexpr auto running_poll = milliseconds{50};   // between two questions about a running call

auto read_kept(nlohmann::json const& given) -> std::optional<claim_answer>
{
    if (!given.is_object()) return std::nullopt;
    try {
        return claim_answer{given.value("status", 200), given.value("content_type", std::string{}),
                            given.value("body", std::string{})};
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace

// Takes the claim for this attempt; false once the caller has its answer.
auto call_run::take_claim(call_attempt attempt) -> asio::awaitable<bool>
{
    auto const key = claim_key(call_.account, call_.idempotency_key);
    while (true) {
        auto mine = claim{};
        mine.call_id = attempt.id;
        mine.host = attempt.host.name;
        mine.where = attempt.host.control_address.text();
        mine.incarnation = attempt.incarnation;
        mine.at_ms = wall_clock_ms();
        mine.request = call_.digest;
        auto held = co_await services_->claims.take(key, std::move(mine), claim_id_);
        if (!held) {
            co_await refuse(held.error());
            co_return false;
        }
        if (held.value().call_id == attempt.id) {
            claim_id_ = attempt.id;
            machine_.process(call_event::claimed);
            co_return true;
        }
        auto other = held.value();
        auto other_id = other.call_id;
        if (!co_await look_at(std::move(other))) co_return false;
        claim_id_ = std::move(other_id);
    }
}

// Whether the claim of an earlier call may be replaced; else the caller has its answer.
auto call_run::look_at(claim held) -> asio::awaitable<bool>
{
    // What is told from here on is about the earlier call: its claim is not this call's to release.
    claim_id_.clear();
    if (held.request != call_.digest) {
        auto const reused =
            fail(result_code::idempotency_key_reused, "the key was used for a different request");
        co_await refuse_as(reused, ran::no);
        co_return false;
    }
    if (held.answer) {
        co_await replay(*held.answer, held.call_id);
        co_return false;
    }
    auto told = resolution{};
    told.kind = reply::unknown;
    if (held.state != claim_state::unknown) {
        auto const age = milliseconds{std::max(0LL, wall_clock_ms() - held.at_ms)};
        told = co_await resolve(held.host, held.where, held.call_id, held.incarnation, age);
    }
    if (held.state == claim_state::answered && !told.answer) {
        auto const gone =
            fail(result_code::outcome_unknown, "call " + held.call_id + " ran; its answer was not kept");
        co_await refuse_as(gone, ran::yes);
        co_return false;
    }
    if (told.kind == reply::not_run) co_return true;
    if (told.kind == reply::answered && told.answer) {
        end_claim(held.call_id, claim_state::answered, told.answer);
        co_await replay(*told.answer, held.call_id);
        co_return false;
    }
    if (told.kind == reply::running) {
        auto const running =
            fail(result_code::call_in_progress, "call " + held.call_id + " is still running");
        co_await refuse_as(running, ran::unknown);
        co_return false;
    }
    if (told.kind == reply::answered) {
        end_claim(held.call_id, claim_state::answered, std::nullopt);
        auto const gone =
            fail(result_code::outcome_unknown, "call " + held.call_id + " ran; its answer was not kept");
        co_await refuse_as(gone, ran::yes);
        co_return false;
    }
    if (told.kind == reply::unknown) end_claim(held.call_id, claim_state::unknown, std::nullopt);
    auto const lost = fail(result_code::outcome_unknown,
                           "call " + held.call_id + " was sent to " + held.host + " and may have run");
    co_await refuse_as(lost, ran::unknown);
    co_return false;
}

auto call_run::resolve(std::string host, std::string where, std::string call_id, std::uint64_t incarnation,
                       milliseconds age) -> asio::awaitable<resolution>
{
    auto told = resolution{};
    auto target = address{};
    if (auto const* known = services_->members.find(host)) target = known->control_address;
    if (auto parsed = parse_address(where); target.empty() && parsed) target = parsed.value();
    if (target.empty()) co_return told;
    auto params = nlohmann::json::object();
    params["call_id"] = call_id;
    params["incarnation"] = incarnation;
    params["age_ms"] = age.count();
    auto& context = services_->context;
    auto answer = co_await rpc_call(context.client, target, "call.resolve", std::move(params),
                                    services_->settings.resolve_timeout);
    if (!answer) co_return told;
    auto const& body = answer.value();
    auto const text = body.is_object() ? body.value("state", std::string{}) : std::string{};
    if (text == "revoked" || text == "refused")
        told.kind = reply::not_run;
    else if (text == "running")
        told.kind = reply::running;
    else if (text == "answered")
        told.kind = reply::answered;
    else
        told.kind = reply::unknown;
    if (told.kind == reply::answered && body.contains("answer")) told.answer = read_kept(body["answer"]);
    note_resolved(host, call_id, text);
    co_return told;
}

auto call_run::note_resolved(std::string const& host, std::string const& call_id,
                             std::string const& state) const -> void
{
    auto& context = services_->context;
    context.metrics_registry.count("calls_resolved_total", {{"state", state}});
    context.events.record("call_resolved", {{"call_id", call_id}, {"host", host}, {"state", state}});
}

// Asks the agent what became of a call whose answer was lost. It either runs the call to its end or has
// revoked it, so that both "ran" and "not run" are certain; without a reply the outcome stays unknown.
auto call_run::settle_lost(call_attempt attempt) -> asio::awaitable<attempt_end>
{
    auto silent = 0;
    while (true) {
        auto const now = clock::now();
        auto const age = std::chrono::duration_cast<milliseconds>(now - started_at_);
        auto told = co_await resolve(attempt.host.name, attempt.host.control_address.text(), attempt.id,
                                     attempt.incarnation, age);
        if (told.kind == reply::not_run) {
            last_ = fail(result_code::connect_failed, "the call did not reach " + attempt.host.name);
            co_return attempt_end::not_run;
        }
        if (told.kind == reply::answered) {
            machine_.process(call_event::response_received);
            if (told.answer) {
                auto headers = http_headers{};
                if (!told.answer->content_type.empty())
                    headers.set("Content-Type", told.answer->content_type);
                co_await deliver(told.answer->status, std::move(headers), told.answer->body);
                co_return attempt_end::done;
            }
            end_claim(claim_id_, claim_state::answered, std::nullopt);
            auto const gone = fail(result_code::outcome_unknown, "the call ran; its answer was lost");
            co_await refuse_as(gone, ran::yes);
            co_return attempt_end::done;
        }
        if (told.kind == reply::unknown) co_return attempt_end::lost;
        if (told.kind == reply::silent && ++silent >= services_->settings.resolve_attempts)
            co_return attempt_end::lost;
        if (now >= call_.deadline) co_return attempt_end::lost;
        co_await sleep_for(told.kind == reply::running ? running_poll : resolve_pause);
    }
}

auto call_run::end_claim(std::string call_id, claim_state end, std::optional<claim_answer> answer) -> void
{
    if (call_.idempotency_key.empty() || call_id.empty()) return;
    auto key = claim_key(call_.account, call_.idempotency_key);
    asio::co_spawn(services_->context.io,
                   services_->finish_claim(std::move(key), std::move(call_id), end, std::move(answer)),
                   asio::detached);
}

} // namespace hibiscuswall
