// What endpoints say in their responses about the calls that they take, and the calls that are sent to an
// endpoint that limits their rate.
#include "hibiscuswall/serving/call_relay.hpp"
#include "hibiscuswall/serving/endpoint_response_parser.hpp"

#include "hibiscuswall/observe/log.hpp"

namespace hibiscuswall {

// Takes over what the head of a response says about the endpoint itself, for the calls that follow. That it
// names no rate limit counts only if the response is known to be this endpoint's answer to this call.
auto call_relay::record_announcements(relayed_call const& call, tracked_endpoint& endpoint,
                                      time_point sent_at, endpoint_response_parser const& parser,
                                      time_point now) -> void
{
    auto const response = platform::decode_response(parser.status(), parser.headers());
    if (response.endpoint_leaving && !endpoint.leaving) {
        endpoint_table::record_departure(endpoint);
        log_event(log_level::info, "endpoint_leaving",
                  {{"endpoint", endpoint.record.id}, {"source", "response"}});
    }
    auto const rate = platform::decode_rate(parser.headers());
    auto const is_own = response.call_id == call.fields.call_id && response.signed_response;
    if (is_own || !std::holds_alternative<no_rate_limit>(rate))
        endpoints_.record_rate(endpoint, rate, sent_at, now);
    if (std::holds_alternative<unreadable_rate_limit>(rate)) {
        metrics_registry_.count("unreadable_rate_limits");
        log_event(log_level::warning, "endpoint_limit_unreadable",
                  {{"endpoint", endpoint.record.id}, {"call", call.fields.call_id}});
    }
    if (!response.backoff) return;
    endpoint_table::record_backoff(endpoint, *response.backoff, now);
    log_event(log_level::info, "endpoint_backs_off",
              {{"endpoint", endpoint.record.id}, {"for_ms", std::to_string(response.backoff->count())}});
}

// Checked where the request is written, which every send passes: the endpoint may have named a limit while
// the call was connecting.
auto call_relay::may_be_written(tracked_endpoint& endpoint, std::optional<call_permit> permit, time_point now)
    -> bool
{
    auto& share = endpoint.share;
    auto const is_permitted = permit && now < permit->valid_until;
    if (!share.is_limited() || is_permitted || share.take(now)) return true;
    metrics_registry_.count("sends_withheld", {{"reason", "rate_limit"}});
    return false;
}

auto call_relay::priority_of(relayed_call const& call) const -> int
{
    auto const priority = call.account != nullptr ? call.account->priority : std::nullopt;
    return priority.value_or(call.route->priority);
}

// Where all endpoints of a service limit the calls that they take, the more urgent calls are sent first.
auto call_relay::admit_by_priority(relayed_call& call, placement decision, time_point now) -> placement
{
    auto const* found = std::get_if<placed>(&decision);
    if (found == nullptr || found->limited_rate <= 0 || call.send_count > 0) return decision;
    if (!call.is_taken)
        call.is_taken =
            admissions_[call.service->name].take(priority_of(call), found->limited_rate, now, random_);
    if (*call.is_taken) return decision;
    auto rejection = rejected{};
    rejection.reason = rejection_reason::all_endpoints_limited;
    rejection.usable = found->usable;
    rejection.limited_rate = found->limited_rate;
    rejection.accepted_again = time_point::max();
    return rejection;
}

auto call_relay::retry_after(relayed_call const& call, rejected const& rejection, time_point now)
    -> milliseconds
{
    if (rejection.reason != rejection_reason::all_endpoints_limited) return rejection.retry_after;
    auto const min_wait = std::max(rejection.retry_after, settings_.placement.min_retry_after);
    return retry_schedules_[call.service->name].next(rejection.limited_rate, min_wait, now);
}

} // namespace hibiscuswall
