#include "hibiscuswall/serving/placement.hpp"

#include <algorithm>
#include <limits>

namespace hibiscuswall {
namespace {

constexpr auto failures_to_doubt = 3;   // in a row
constexpr auto least_known_entries = 3; // a warm endpoint's limit is shared by at least so many

auto allows(std::span<std::string const> regions, std::string const& region) -> bool
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

auto holds_weights(tracked_endpoint const& endpoint, engine_profile const& engine, std::uint64_t lowest)
    -> bool
{
    auto const& weights = endpoint.weights();
    return weights && weights->version >= lowest && weights->first_layer == 0 &&
           weights->end_layer >= engine.layers;
}

auto may_serve(placement_call const& call, tracked_endpoint const& endpoint,
               failure_domain_set const& out_of_service) -> bool
{
    if (endpoint.record.draining || out_of_service.contains(endpoint.record.failure_domain)) return false;
    if (!allows(call.route_regions, endpoint.region)) return false;
    if (!allows(call.account_regions, endpoint.region)) return false;
    if (call.tried != nullptr && call.tried->contains(endpoint.record.id)) return false;
    if (!call.entry->engine) return true;
    if (endpoint.news && endpoint.news->paused) return false;
    return holds_weights(endpoint, *call.entry->engine, call.min_version);
}

// Whether calls would fail there or arrive late, as far as is known. One call at a time finds out whether
// that is over.
auto is_avoided(tracked_endpoint const& endpoint, placement_settings const& settings, time_point now) -> bool
{
    if (endpoint.avoid_until > now || endpoint.round_trip > settings.longest_round_trip) return true;
    return endpoint.failures_in_row >= failures_to_doubt && endpoint.in_flight > 0;
}

// Lower is better. For engines, the time to the first event counts most; then come the part of the places
// that is taken, failures, and the path.
auto cost(placement_call const& call, tracked_endpoint const& endpoint, placement_settings const& settings,
          time_point now, random_source& random) -> double
{
    auto const taken = (endpoint.load() + random.fraction()) / endpoint.record.slots;
    auto const unheard = endpoint.news && now - endpoint.received_at > settings.news_lifetime ? 0.5 : 0.0;
    auto const path = static_cast<double>(endpoint.round_trip.count()) /
                      static_cast<double>(settings.longest_round_trip.count());
    auto sum = taken + 2.0 * endpoint.failure_share + unheard + path;
    if (endpoint.region != call.region) sum += settings.other_region_cost;
    if (!call.entry->engine) return sum;
    if (!endpoint.preferred) sum += settings.other_entry_cost;
    return sum + first_event_ms(endpoint, *call.entry->engine, call.prompt_tokens) / settings.cost_ms;
}

auto spread(placement_settings const& settings, random_source& random) -> milliseconds
{
    auto const width = settings.longest_return - settings.shortest_return;
    return settings.shortest_return +
           milliseconds{static_cast<long long>(random.fraction() * static_cast<double>(width.count()))};
}

} // namespace

auto first_event_ms(tracked_endpoint const& endpoint, engine_profile const& engine, int prompt_tokens)
    -> double
{
    auto const slowdown = endpoint.news ? std::max(1.0, endpoint.news->slowdown) : 1.0;
    auto const writers = std::max(0, endpoint.load());
    auto const pass_ms = engine.steps_per_pass * (engine.step_ms + engine.step_per_request_ms * writers);
    auto const tokens = static_cast<double>(endpoint.reading_tokens + prompt_tokens);
    auto const passes = 1.0 + tokens / engine.prompt_tokens_per_pass;
    return slowdown * (passes * pass_ms + tokens / engine.prompt_tokens_per_ms);
}

auto load_limit(tracked_endpoint const& endpoint, service_definition const& service,
                placement_settings const& settings) -> int
{
    if (service.engine) return endpoint.record.slots + settings.engine_queue;
    return static_cast<int>(endpoint.record.slots * settings.plain_queue_ratio);
}

auto within_cold_limit(tracked_endpoint& endpoint, service_definition const& service,
                       placement_settings const& settings, time_point now) -> bool
{
    if (service.max_cold_rate <= 0) return true;
    auto const all = service.max_cold_rate * settings.cold_multiplier + settings.cold_reserve;
    auto const known = endpoint.news ? endpoint.news->subscriber_count : settings.most_entries;
    auto const cold = endpoint.cold_until > now;
    auto const sharers = cold ? settings.most_entries : std::max(known, least_known_entries);
    return endpoint.sends.count(now) + 1 <= all / sharers;
}

auto place(placement_call const& call, std::span<endpoint_ptr const> endpoints,
           failure_domain_set const& out_of_service, placement_settings const& settings, time_point now,
           random_source& random) -> placement
{
    auto best = endpoint_ptr{};
    auto best_cost = std::numeric_limits<double>::max();
    auto refusal = refused{};
    auto spare = 0;
    auto slots = 0;
    refusal.least_load = std::numeric_limits<int>::max();
    for (auto const& endpoint : endpoints) {
        if (!may_serve(call, *endpoint, out_of_service)) continue;
        ++refusal.usable;
        refusal.least_load = std::min(refusal.least_load, endpoint->load());
        slots += endpoint->record.slots;
        auto const room = endpoint->room(load_limit(*endpoint, *call.entry, settings));
        if (room <= 0) continue;
        if (is_avoided(*endpoint, settings, now)) continue;
        if (!within_cold_limit(*endpoint, *call.entry, settings, now)) continue;
        spare += room;
        auto const its_cost = cost(call, *endpoint, settings, now, random);
        if (its_cost >= best_cost) continue;
        best = endpoint;
        best_cost = its_cost;
    }
    if (best != nullptr) return placed{best, spare, slots};
    refusal.reason = refusal.usable == 0 ? refusal_reason::no_endpoint : refusal_reason::all_full;
    refusal.retry_after = spread(settings, random);
    return refusal;
}

} // namespace hibiscuswall
