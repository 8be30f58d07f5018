// Log lines and metrics of a call's end.
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

namespace hibiscuswall {
namespace {

auto version_text(service_map_ptr const& map) -> std::string
{
    return map == nullptr ? "none" : std::to_string(map->version());
}

auto progress_text(answer_progress progress) -> std::string
{
    switch (progress) {
    case answer_progress::none:
        return "none";
    case answer_progress::begun:
        return "begun";
    case answer_progress::complete:
        return "complete";
    }
    return "unknown";
}

} // namespace

auto call_relay::record_end(relayed_call& call, std::string_view outcome, int status, std::string_view reason)
    -> void
{
    call.end_reason = reason;
    auto const now = clock::now();
    auto const duration = std::chrono::duration<double>(now - call.arrived_at).count();
    auto const service = call.service == nullptr ? std::string_view{"none"} : call.service->name;
    metrics_registry_.count("calls", {{"service", service}, {"outcome", outcome}});
    metrics_registry_.observe("call_seconds", {{"service", service}}, duration);
    auto const has_events = call.first_event_at != time_point{};
    if (has_events)
        metrics_registry_.observe(
            "first_event_seconds", {{"service", service}},
            std::chrono::duration<double>(call.first_event_at - call.arrived_at).count());
    log_event(log_level::info, "call_ended",
              {{"call", call.fields.call_id},
               {"route", call.route == nullptr ? "none" : call.route->name},
               {"account", call.account == nullptr ? "none" : call.account->name},
               {"outcome", std::string{outcome}},
               {"status", std::to_string(status)},
               {"reason", reason.empty() ? "none" : std::string{reason}},
               {"shed", call.shed ? "1" : "0"},
               {"waited_ms", std::to_string(call.wait_duration.count())},
               {"sends", std::to_string(call.send_count)},
               {"runs", std::to_string(call.run_count)},
               {"endpoints", std::to_string(call.tried_endpoints.size())},
               {"last_endpoint", call.tried_endpoints.empty() ? "none" : *call.tried_endpoints.rbegin()},
               {"first_ms", has_events ? milliseconds_text(call.first_event_at - call.arrived_at) : "none"},
               {"longest_gap_ms", milliseconds_text(call.max_event_gap)},
               {"unread_ms", milliseconds_text(call.read_at - call.arrived_at)},
               {"total_ms", milliseconds_text(now - call.arrived_at)},
               {"config_version", version_text(call.map)},
               {"newest_config_version", version_text(declared_state_.map())}});
}

// The caller's connection ends without a complete response. The reason says how the connection ended, the
// cause why the call did.
auto call_relay::log_incomplete(relayed_call const& call, std::string_view reason) -> void
{
    metrics_registry_.count("incomplete_responses");
    log_event(log_level::warning, "response_incomplete",
              {{"call", call.fields.call_id},
               {"reason", std::string{reason}},
               {"cause", call.end_reason.empty() ? "none" : call.end_reason},
               {"written", progress_text(call.out.progress())},
               {"events", std::to_string(call.events.count())},
               {"sends", std::to_string(call.send_count)},
               {"runs", std::to_string(call.run_count)},
               {"total_ms", milliseconds_text(clock::now() - call.arrived_at)},
               {"left_ms", milliseconds_text(call.deadline - clock::now())},
               {"config_version", version_text(call.map)},
               {"newest_config_version", version_text(declared_state_.map())}});
}

// This entry closes the connection to an endpoint that may be sound, so that the call goes on at another one.
auto call_relay::log_moved(relayed_call const& call, std::string_view reason, endpoint_record const& to)
    -> void
{
    log_event(log_level::info, "call_moved",
              {{"call", call.fields.call_id},
               {"reason", std::string{reason}},
               {"from", call.endpoint->record.id},
               {"to", to.id},
               {"events", std::to_string(call.events.count())},
               {"after_ms", milliseconds_text(clock::now() - call.sent_at)},
               {"left_ms", milliseconds_text(call.deadline - clock::now())}});
}

// The stream stays with its endpoint, or has ended.
auto call_relay::log_takeover_stopped(relayed_call const& call, stream_takeover const& takeover,
                                      std::string_view reason) -> void
{
    metrics_registry_.count("takeovers_stopped");
    log_event(log_level::info, "takeover_stopped",
              {{"call", call.fields.call_id},
               {"reason", std::string{reason}},
               {"cause", takeover.from_silent ? "silent" : "weights"},
               {"to", takeover.endpoint->record.id},
               {"asked", takeover.state == takeover_state::asked ? "1" : "0"},
               {"held_bytes", std::to_string(call.held_events.size())},
               {"left_ms", milliseconds_text(call.deadline - clock::now())}});
}

// An endpoint does not take a stream whose caller has received a part of it.
auto call_relay::log_rejected_resume(relayed_call const& call, endpoint_record const& by, int status) -> void
{
    log_event(log_level::warning, "resume_rejected",
              {{"call", call.fields.call_id},
               {"endpoint", by.id},
               {"status", std::to_string(status)},
               {"sends", std::to_string(call.send_count)},
               {"left_ms", milliseconds_text(call.deadline - clock::now())}});
}

} // namespace hibiscuswall
