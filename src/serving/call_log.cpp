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

auto call_relay::record_end(relayed_call const& call, std::string_view outcome, int status,
                            std::string_view reason) -> void
{
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

// The caller's connection ends without a complete response.
auto call_relay::log_incomplete(relayed_call const& call, std::string_view reason) -> void
{
    metrics_registry_.count("incomplete_responses");
    log_event(log_level::warning, "response_incomplete",
              {{"call", call.fields.call_id},
               {"reason", std::string{reason}},
               {"written", progress_text(call.out.progress())},
               {"sends", std::to_string(call.send_count)},
               {"total_ms", milliseconds_text(clock::now() - call.arrived_at)},
               {"config_version", version_text(call.map)},
               {"newest_config_version", version_text(declared_state_.map())}});
}

} // namespace hibiscuswall
