// Keeps calls whose prompts crash engines away from them, see serving/prompt_quarantine.
#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_decoded_segments = std::size_t{64}; // of one call; the quarantine looks at no more
// An engine may still send the first event of a response that crashes it. The second event shows that it went
// on.
constexpr auto events_past_beginning = std::size_t{2};
constexpr auto trial_generation = 2; // of a segment, from which one call at a time is sent

auto joined(std::span<std::string const> names) -> std::string
{
    auto text = std::string{};
    for (auto const& name : names)
        text += (text.empty() ? "" : ",") + name;
    return text.empty() ? "none" : text;
}

auto has_failed(send_outcome const& outcome) -> bool
{
    return std::holds_alternative<send_failed>(outcome) || std::holds_alternative<send_interrupted>(outcome);
}

// Whether the endpoint may have ended: its response broke off, and not because this entry closed the
// connection.
auto may_be_crash(send_outcome const& outcome) -> bool
{
    auto const is_own_end = [](std::string_view reason) {
        return reason == "silent" || reason == "late" || reason == "moved" || reason == "caller disconnected";
    };
    if (auto const* failed = std::get_if<send_failed>(&outcome)) return !is_own_end(failed->reason);
    auto const* interrupted = std::get_if<send_interrupted>(&outcome);
    return interrupted != nullptr && !is_own_end(interrupted->reason);
}

} // namespace

auto call_relay::prompt_of(relayed_call& call) -> shared_prompt const&
{
    if (!call.prompt)
        call.prompt = shared_prompt{call.fields.model,
                                    platform::shared_segments(call.request.headers, max_decoded_segments)};
    return *call.prompt;
}

// Whether the quarantine concerns the call.
auto call_relay::goes_to_engine(relayed_call const& call) const -> bool
{
    return call.service != nullptr && call.service->engine && !call.fields.model.empty();
}

// Decides before each send. Returns whether the call has ended. A stream past its beginning is not held: an
// engine has survived its prompt.
auto call_relay::end_if_quarantined(relayed_call& call) -> asio::awaitable<bool>
{
    if (quarantine_.empty() || !goes_to_engine(call)) co_return false;
    auto decision = quarantine_.decide(prompt_of(call), clock::now());
    if (auto* trial = std::get_if<send_on_trial>(&decision)) {
        call.trial_segments = std::move(trial->segments);
        log_event(log_level::info, "segment_trial",
                  {{"call", call.fields.call_id}, {"segments", joined(call.trial_segments)}});
    }
    if (auto const* quarantined = std::get_if<send_quarantined>(&decision)) {
        co_await end_quarantined(call, joined(quarantined->segments));
        co_return true;
    }
    auto const* held = std::get_if<send_held>(&decision);
    if (held == nullptr || call.events.count() >= events_past_beginning) co_return false;
    co_await end_held(call, held->retry_after);
    co_return true;
}

// Whether the prompt came under suspicion after the call was allowed, while it waited or connected.
auto call_relay::must_decide_again(relayed_call& call, time_point now) -> bool
{
    if (quarantine_.empty() || !goes_to_engine(call)) return false;
    if (quarantine_.is_quarantined(prompt_of(call), now) && call.trial_segments.empty()) return true;
    if (!call.trial_segments.empty() || call.events.count() >= events_past_beginning) return false;
    return is_tried_one_at_a_time(call);
}

auto call_relay::is_tried_one_at_a_time(relayed_call& call) -> bool
{
    auto const generations = quarantine_.suspicion_of(prompt_of(call));
    return std::any_of(generations.begin(), generations.end(),
                       [](int generation) { return generation >= trial_generation; });
}

// The caller learns at once that no later attempt can succeed either.
auto call_relay::end_quarantined(relayed_call& call, std::string segments) -> asio::awaitable<void>
{
    metrics_registry_.count("calls_quarantined");
    auto why = fail(result_code::prompt_quarantined,
                    "a segment of the prompt has crashed several engines, the request is not sent again: " +
                        segments);
    if (call.response_started)
        co_return co_await end_without_retry(call, result_code::stream_interrupted, why.message,
                                             milliseconds{0});
    co_await reject(call, std::move(why), milliseconds{0});
}

auto call_relay::end_held(relayed_call& call, milliseconds retry_after) -> asio::awaitable<void>
{
    metrics_registry_.count("calls_held");
    co_await end_without_retry(call, result_code::prompt_on_trial,
                               "a segment of the prompt may crash engines and another request is trying it",
                               retry_after);
}

auto call_relay::end_trial(relayed_call& call) -> void
{
    if (call.trial_segments.empty()) return;
    quarantine_.end_trial(call.fields.model, call.trial_segments);
    call.trial_segments.clear();
}

auto call_relay::remember_suspicion(relayed_call& call) -> void
{
    call.past_beginning = false;
    call.events_when_sent = call.events.count();
    call.suspicion_when_sent.clear();
    if (!quarantine_.empty() && goes_to_engine(call))
        call.suspicion_when_sent = quarantine_.suspicion_of(prompt_of(call));
}

// Called with each event, and at the end of a response with a length or end marker: one without may have
// ended with its engine.
auto call_relay::record_prompt_progress(relayed_call& call, bool is_complete) -> void
{
    if (call.past_beginning) return;
    if (!is_complete && call.events.count() < call.events_when_sent + events_past_beginning) return;
    call.past_beginning = true;
    end_trial(call);
    if (quarantine_.empty() || !goes_to_engine(call)) return;
    if (quarantine_.record_progress(prompt_of(call), clock::now()) && on_crash_evidence_)
        on_crash_evidence_();
}

// Called after each send. Returns whether the call has ended.
auto call_relay::end_after_lost_connection(relayed_call& call, endpoint_ptr endpoint,
                                           send_outcome const& outcome) -> asio::awaitable<bool>
{
    if (call.recalled && has_failed(outcome)) {
        co_await end_quarantined(call, joined(prompt_of(call).segments));
        co_return true;
    }
    auto const leaves = endpoint->leaving || endpoint->record.draining;
    auto const is_suspect = may_be_crash(outcome) && goes_to_engine(call) && !leaves && !call.ended_by_stop;
    if (is_suspect && !call.past_beginning) {
        auto suspect = crash_suspect{prompt_of(call), call.suspicion_when_sent};
        co_await record_crash(call.fields.call_id, std::move(suspect), endpoint->record);
    }
    end_trial(call);
    co_return false;
}

// The connection to the endpoint ended within a response. If nothing listens there any more, the endpoint has
// ended too, and the call may be the cause. Other connections of the entry to it end at the same moment;
// those of streams past their beginning wait for nothing.
auto call_relay::record_crash(std::string call_id, crash_suspect suspect, endpoint_record record)
    -> asio::awaitable<void>
{
    if (suspect.prompt.segments.empty()) co_return;
    auto const has_ended = co_await pool_.refuses_connections(
        record.id, record.where, settings_.connect_timeout, settings_.idle_timeout);
    if (!has_ended) co_return;
    metrics_registry_.count("crash_suspects");
    auto const changed =
        quarantine_.record_crash(run_id(record.id, record.started_at_ms), {&suspect, 1}, clock::now());
    log_event(log_level::warning, "crash_suspect",
              {{"call", call_id},
               {"endpoint", record.id},
               {"model", suspect.prompt.model},
               {"segments", joined(suspect.prompt.segments)},
               {"outcome", changed ? "marked" : "known"}});
    if (changed && on_crash_evidence_) on_crash_evidence_();
}

// A call that was sent before its prompt was quarantined leaves its engine before it can crash it.
auto call_relay::recall_if_quarantined(relayed_call& call, time_point now) -> void
{
    if (quarantine_.empty() || call.connection == nullptr || call.past_beginning || !goes_to_engine(call))
        return;
    if (!quarantine_.is_quarantined(prompt_of(call), now)) return;
    call.recalled = true;
    stop_takeover(call, "quarantined");
    call.connection->close();
}

// Logs segments that came into quarantine or left it since the previous call.
auto call_relay::log_quarantine_changes(time_point now) -> void
{
    if (quarantine_.empty() && logged_quarantine_.empty()) return;
    auto quarantined = std::set<std::pair<std::string, std::string>>{};
    for (auto const& each : quarantine_.status(now)) {
        if (each.state != segment_state::quarantined) continue;
        quarantined.emplace(each.model, each.segment);
        if (logged_quarantine_.contains({each.model, each.segment})) continue;
        log_event(log_level::warning, "segment_quarantined",
                  {{"model", each.model},
                   {"segment", each.segment},
                   {"crashes", std::to_string(each.crashes)},
                   {"generation", std::to_string(each.generation)},
                   {"trial_in_ms", std::to_string(each.trial_in.count())}});
    }
    for (auto const& [model, segment] : logged_quarantine_)
        if (!quarantined.contains({model, segment}))
            log_event(log_level::info, "segment_released", {{"model", model}, {"segment", segment}});
    logged_quarantine_ = std::move(quarantined);
    metrics_registry_.set("quarantined_segments", {}, static_cast<double>(logged_quarantine_.size()));
}

} // namespace hibiscuswall
