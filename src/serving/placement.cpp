#include "hibiscuswall/serving/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hibiscuswall {
namespace {

// Consecutive failures from which an endpoint gets only one call at a time.
constexpr auto failures_to_probe = 3;

auto allows(std::span<std::string const> regions, std::string const& region) -> bool
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

auto holds_weights(tracked_endpoint const& endpoint, engine_profile const& engine, std::uint64_t min_version)
    -> bool
{
    auto const& weights = endpoint.weights();
    return weights && weights->version >= min_version && weights->first_layer == 0 &&
           weights->end_layer >= engine.layers;
}

// Whether the endpoint may serve the call now or later.
auto is_eligible(placement_call const& call, tracked_endpoint const& endpoint,
                 failure_domain_set const& out_of_service) -> bool
{
    if (!endpoint.listed || endpoint.record.draining || endpoint.leaving) return false;
    if (out_of_service.contains(endpoint.record.failure_domain)) return false;
    if (!allows(call.route_regions, endpoint.region)) return false;
    if (!allows(call.account_regions, endpoint.region)) return false;
    return call.tried_endpoints == nullptr || !call.tried_endpoints->contains(endpoint.record.id);
}

auto may_serve(placement_call const& call, tracked_endpoint const& endpoint,
               failure_domain_set const& out_of_service) -> bool
{
    if (!is_eligible(call, endpoint, out_of_service)) return false;
    if (!call.definition->engine) return true;
    if (endpoint.news && endpoint.news->paused) return false;
    return holds_weights(endpoint, *call.definition->engine, call.min_version);
}

// Whether calls to the endpoint would probably fail or arrive late. After repeated failures, one call at a
// time probes whether the endpoint has recovered.
auto is_avoided(tracked_endpoint const& endpoint, placement_settings const& settings, time_point now) -> bool
{
    if (endpoint.avoid_until > now || endpoint.round_trip > settings.max_round_trip) return true;
    return endpoint.failures_in_row >= failures_to_probe && endpoint.in_flight > 0;
}

// Lower is better. For engines, the time to the first event has the most weight, followed by the fraction of
// slots in use, failures, and the network path.
auto cost(placement_call const& call, tracked_endpoint const& endpoint, placement_settings const& settings,
          time_point now, random_source& random) -> double
{
    auto const used_fraction = (endpoint.load() + random.fraction()) / endpoint.record.slots;
    auto const stale_report_cost =
        endpoint.news && now - endpoint.received_at > settings.load_report_lifetime ? 0.5 : 0.0;
    auto const path = static_cast<double>(endpoint.round_trip.count()) /
                      static_cast<double>(settings.max_round_trip.count());
    auto sum = used_fraction + 2.0 * endpoint.failure_fraction + stale_report_cost + path;
    if (endpoint.region != call.region) sum += settings.other_region_cost;
    if (!call.definition->engine) return sum;
    if (!endpoint.preferred) sum += settings.not_preferred_cost;
    auto const& weights = endpoint.weights();
    if (weights && weights->version < call.preferred_version) sum += settings.older_weights_cost;
    return sum + first_event_ms(endpoint, *call.definition->engine, call.prompt_tokens) /
                     settings.first_event_cost_ms;
}

auto random_retry_after(placement_settings const& settings, random_source& random) -> milliseconds
{
    auto const width = settings.max_retry_after - settings.min_retry_after;
    return settings.min_retry_after +
           milliseconds{static_cast<long long>(random.fraction() * static_cast<double>(width.count()))};
}

// The endpoints that may serve a call.
struct usable_endpoints {
    int count = 0;
    int min_load = std::numeric_limits<int>::max();
    int slots = 0;
    int limited = 0;         // of them, endpoints that take calls at a limited rate
    double limited_rate = 0; // calls per second that this entry may send to those
    int backing_off = 0;
    int out_of_calls = 0; // limited ones to which this entry may send no call now, for no other reason
    time_point accepted_again = time_point::max(); // when the first one that takes none now does

    auto add(tracked_endpoint const& endpoint, time_point now) -> void
    {
        ++count;
        min_load = std::min(min_load, endpoint.load());
        slots += endpoint.record.slots;
        auto const limit = endpoint.rate.limit();
        if (!limit) return;
        // Not more slots are in use than the calls that it takes in a second.
        slots -= std::max(0, endpoint.record.slots - std::max(1, static_cast<int>(std::ceil(*limit))));
        ++limited;
        limited_rate += endpoint.share.calls_per_second(now);
    }
};

// Calls that this entry may send to the endpoint now.
auto free_calls(placement_call const& call, tracked_endpoint& endpoint, placement_settings const& settings,
                usable_endpoints& found, time_point now) -> int
{
    if (now < endpoint.backoff_until) {
        ++found.backing_off;
        found.accepted_again = std::min(found.accepted_again, endpoint.backoff_until);
        return 0;
    }
    auto const free = endpoint.free_slots(load_limit(endpoint, *call.definition, settings));
    if (free <= 0 || is_avoided(endpoint, settings, now)) return 0;
    if (!within_cold_limit(endpoint, *call.definition, settings, now)) return 0;
    if (endpoint.share.is_limited() && call.is_first_search) endpoint.share.record_demand(now);
    auto const available = endpoint.share.available(now);
    if (available > 0) return std::min(free, available);
    ++found.out_of_calls;
    found.accepted_again = std::min(found.accepted_again, endpoint.share.next_available_at(now));
    return 0;
}

auto rejection_for(usable_endpoints const& found, placement_settings const& settings, time_point now,
                   random_source& random) -> rejected
{
    auto rejection = rejected{};
    rejection.usable = found.count;
    rejection.min_load = found.min_load;
    rejection.retry_after = random_retry_after(settings, random);
    if (found.count == 0) return rejection;
    rejection.reason = rejection_reason::all_endpoints_full;
    if (found.backing_off + found.out_of_calls < found.count) return rejection;
    rejection.reason = found.out_of_calls > 0 ? rejection_reason::all_endpoints_limited
                                              : rejection_reason::all_endpoints_back_off;
    rejection.accepted_again = found.accepted_again;
    rejection.limited_rate = found.limited_rate;
    rejection.retry_after += std::chrono::ceil<milliseconds>(found.accepted_again - now);
    return rejection;
}

} // namespace

auto first_event_ms(tracked_endpoint const& endpoint, engine_profile const& engine, int prompt_tokens)
    -> double
{
    auto const slowdown = endpoint.news ? std::max(1.0, endpoint.news->slowdown) : 1.0;
    auto const running = std::max(0, endpoint.load());
    auto const pass_ms = engine.steps_per_pass * (engine.step_ms + engine.step_per_request_ms * running);
    auto const tokens = static_cast<double>(endpoint.unprocessed_prompt_tokens + prompt_tokens);
    auto const passes = 1.0 + tokens / engine.prompt_tokens_per_pass;
    return slowdown * (passes * pass_ms + tokens / engine.prompt_tokens_per_ms);
}

auto load_limit(tracked_endpoint const& endpoint, service_definition const& service,
                placement_settings const& settings) -> int
{
    if (service.engine) return endpoint.record.slots + settings.max_engine_queue;
    return static_cast<int>(endpoint.record.slots * settings.plain_load_ratio);
}

auto within_cold_limit(tracked_endpoint& endpoint, service_definition const& service,
                       placement_settings const& settings, time_point now) -> bool
{
    if (service.max_cold_rate <= 0) return true;
    auto const total_limit = service.max_cold_rate * settings.cold_multiplier + settings.cold_reserve;
    auto const seen = endpoint.news ? endpoint.news->subscriber_count : 0;
    auto const known = std::max(endpoint.sender_count, seen);
    // An entry that has just started may not be known yet.
    auto const sharing_entries = endpoint.cold_until > now ? known + 1 : known;
    return endpoint.recent_sends.count(now) + 1 <= total_limit / sharing_entries;
}

auto may_be_served_later(placement_call const& call, std::span<endpoint_ptr const> endpoints,
                         failure_domain_set const& out_of_service) -> bool
{
    return std::any_of(endpoints.begin(), endpoints.end(), [&](endpoint_ptr const& endpoint) {
        return is_eligible(call, *endpoint, out_of_service);
    });
}

auto place(placement_call const& call, std::span<endpoint_ptr const> endpoints,
           failure_domain_set const& out_of_service, placement_settings const& settings, time_point now,
           random_source& random) -> placement
{
    auto best = placed{};
    auto best_cost = std::numeric_limits<double>::max();
    auto found = usable_endpoints{};
    for (auto const& endpoint : endpoints) {
        if (!may_serve(call, *endpoint, out_of_service)) continue;
        found.add(*endpoint, now);
        auto const free = free_calls(call, *endpoint, settings, found, now);
        if (free <= 0) continue;
        best.free_slots += free;
        auto const endpoint_cost = cost(call, *endpoint, settings, now, random);
        if (endpoint_cost >= best_cost) continue;
        best.endpoint = endpoint;
        best_cost = endpoint_cost;
    }
    best.slots = found.slots;
    best.usable = found.count;
    if (found.limited == found.count) best.limited_rate = found.limited_rate;
    if (best.endpoint != nullptr) return best;
    return rejection_for(found, settings, now, random);
}

} // namespace hibiscuswall
