#include "hibiscuswall/serving/stall_detection.hpp"

namespace hibiscuswall {

auto is_to_move(relayed_call const& call, silence_settings const& settings, time_point now) -> bool
{
    if (call.link == nullptr || call.endpoint == nullptr || !call.is_stream()) return false;
    if (!call.route->may_repeat() || call.runs + 1 >= call.route->max_attempts) return false;
    auto const& endpoint = *call.endpoint;
    return endpoint.news && endpoint.news->paused && now - endpoint.paused_at > settings.move_after;
}

auto is_silent(relayed_call const& call, silence_settings const& settings, time_point now) -> bool
{
    if (call.link == nullptr || call.endpoint == nullptr) return false;
    // This send counts as a run once it is given up; another one must still be allowed.
    if (!call.route->may_repeat() || call.runs + 1 >= call.route->max_attempts) return false;
    auto const silent_for = now - std::max(call.sent_at, call.last_bytes_at);
    if (!call.is_stream()) return silent_for > settings.plain_answer;
    auto const& endpoint = *call.endpoint;
    auto const lost = endpoint.news && now - endpoint.heard_at > settings.news_lifetime;
    if (lost) return silent_for > settings.lost_engine;
    auto const begun = call.last_bytes_at > call.sent_at;
    return silent_for > (begun ? settings.next_event : settings.first_event);
}

} // namespace hibiscuswall
