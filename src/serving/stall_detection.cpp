#include "hibiscuswall/serving/stall_detection.hpp"

namespace hibiscuswall {

auto should_move(relayed_call const& call, stall_settings const& settings, time_point now) -> bool
{
    if (call.connection == nullptr || call.endpoint == nullptr || !call.is_stream()) return false;
    if (!call.may_run_after(call.run_count + 1)) return false;
    auto const& endpoint = *call.endpoint;
    return endpoint.news && endpoint.news->paused && now - endpoint.paused_at > settings.move_delay;
}

auto has_stalled(relayed_call const& call, stall_settings const& settings, time_point now) -> bool
{
    if (call.connection == nullptr || call.endpoint == nullptr || call.waits_for_caller) return false;
    // The current send counts as a run once it is closed as stalled, and another run must still be allowed.
    if (!call.may_run_after(call.run_count + 1)) return false;
    auto const stalled_for = now - std::max(call.sent_at, call.last_progress_at);
    if (!call.is_stream()) return stalled_for > settings.plain_response_timeout;
    auto const& endpoint = *call.endpoint;
    auto const is_unreachable = endpoint.news && now - endpoint.received_at > settings.load_report_lifetime;
    if (is_unreachable) return stalled_for > settings.unreachable_engine_timeout;
    auto const has_begun = call.last_progress_at > call.sent_at;
    return stalled_for > (has_begun ? settings.event_gap_timeout : settings.first_event_timeout);
}

} // namespace hibiscuswall
