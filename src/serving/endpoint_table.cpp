#include "hibiscuswall/serving/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace hibiscuswall {
namespace {

constexpr auto preferred_part = 0.5;  // of an engine's free places, for the entry that prefers it
constexpr auto failure_weight = 0.15; // of the newest call in the share of failures
constexpr auto failures_to_avoid = 3; // in a row
constexpr auto first_avoid_time = milliseconds{500};
constexpr auto longest_avoid_time = milliseconds{4'000};

} // namespace

auto tracked_endpoint::load() const -> int
{
    if (!news) return in_flight;
    return std::max(in_flight, news->running + news->queued + sent_since_news - ended_since_news);
}

auto tracked_endpoint::room(int limit) const -> int
{
    if (!news) return limit - in_flight;
    return granted - sent_since_news + ended_since_news;
}

auto tracked_endpoint::weights() const -> std::optional<loaded_weights> const&
{
    return news ? news->weights : record.weights;
}

auto endpoint_table::add_or_update(endpoint_record const& record, time_point now) -> void
{
    auto& slot = endpoints_[record.id];
    // Another start under the same id holds nothing of what was known.
    if (slot == nullptr || slot->record.started_at_ms != record.started_at_ms ||
        !(slot->record.where == record.where)) {
        slot = std::make_shared<tracked_endpoint>();
        auto const region = regions_.find(record.failure_domain);
        if (region != regions_.end()) slot->region = region->second;
    }
    slot->record = record;
    slot->lapsed_at.reset();
    if (record.cold_remaining.count() > 0) slot->cold_until = now + record.cold_remaining;
}

auto endpoint_table::remove(std::string_view id, bool store_was_unavailable, time_point now) -> void
{
    auto const found = endpoints_.find(id);
    if (found == endpoints_.end()) return;
    if (!store_was_unavailable) {
        endpoints_.erase(found);
        return;
    }
    if (!found->second->lapsed_at) found->second->lapsed_at = now;
}

auto endpoint_table::replace(std::vector<endpoint_record> const& records, bool store_was_unavailable,
                             time_point now) -> void
{
    auto present = std::set<std::string_view>{};
    for (auto const& record : records) {
        add_or_update(record, now);
        present.insert(record.id);
    }
    auto gone = std::vector<std::string>{};
    for (auto const& [id, endpoint] : endpoints_)
        if (!present.contains(id)) gone.push_back(id);
    for (auto const& id : gone)
        remove(id, store_was_unavailable, now);
}

// Parts of a place are carried over, from a random start: entries do not all take the last free place.
auto endpoint_table::grant(tracked_endpoint& endpoint, load_report const& news) -> void
{
    if (!endpoint.news) endpoint.granted_rest = random_.fraction();
    auto const free = endpoint.record.slots - news.running - news.queued;
    auto const others = std::max(1, news.subscriber_count - 1);
    auto const part = endpoint.preferred ? preferred_part : (1.0 - preferred_part) / others;
    auto const share = free * (news.subscriber_count <= 1 ? 1.0 : part) + endpoint.granted_rest;
    endpoint.granted = static_cast<int>(std::floor(share));
    endpoint.granted_rest = share - std::floor(share);
}

auto endpoint_table::on_load_report(load_report const& news, microseconds round_trip, time_point now) -> void
{
    for (auto const& [id, endpoint] : endpoints_) {
        if (!(endpoint->record.where == news.where)) continue;
        // News of another start at the same address.
        if (endpoint->record.started_at_ms != news.started_at_ms) continue;
        grant(*endpoint, news);
        if (news.paused && !(endpoint->news && endpoint->news->paused)) endpoint->paused_at = now;
        endpoint->news = news;
        endpoint->received_at = now;
        endpoint->round_trip = std::chrono::duration_cast<milliseconds>(round_trip);
        endpoint->sent_since_news = 0;
        endpoint->ended_since_news = 0;
    }
}

auto endpoint_table::remove_lapsed(time_point now) -> void
{
    std::erase_if(endpoints_, [&](auto const& each) {
        auto const& lapsed = each.second->lapsed_at;
        return lapsed && now - *lapsed > settings_.lapse_grace;
    });
}

auto endpoint_table::deal_out() -> void
{
    // By service, region and address: the same order in every entry.
    auto order = std::map<std::tuple<std::string, std::string, address>, tracked_endpoint*>{};
    for (auto const& [id, endpoint] : endpoints_) {
        endpoint->preferred = false;
        if (endpoint->news && !endpoint->news->same_region_entries.empty())
            order[{endpoint->record.service, endpoint->region, endpoint->record.where}] = endpoint.get();
    }
    auto places = std::map<std::pair<std::string, std::string>, std::size_t>{};
    for (auto const& [key, endpoint] : order) {
        auto& place = places[{std::get<0>(key), std::get<1>(key)}];
        auto const& entries = endpoint->news->same_region_entries;
        endpoint->preferred = entries[place++ % entries.size()] == self_;
    }
}

auto endpoint_table::sent(tracked_endpoint& endpoint, time_point now) -> void
{
    ++endpoint.in_flight;
    ++endpoint.sent_since_news;
    endpoint.sends.add(now);
}

auto endpoint_table::ended(tracked_endpoint& endpoint) -> void
{
    --endpoint.in_flight;
    ++endpoint.ended_since_news;
}

auto endpoint_table::succeeded(tracked_endpoint& endpoint) -> void
{
    endpoint.failure_share *= 1.0 - failure_weight;
    endpoint.failures_in_row = 0;
}

auto endpoint_table::failed(tracked_endpoint& endpoint, time_point now) -> void
{
    endpoint.failure_share += failure_weight * (1.0 - endpoint.failure_share);
    ++endpoint.failures_in_row;
    if (endpoint.failures_in_row < failures_to_avoid) return;
    auto const doubled = std::min(endpoint.failures_in_row - failures_to_avoid, 3);
    endpoint.avoid_until = now + std::min(first_avoid_time * (1 << doubled), longest_avoid_time);
}

auto endpoint_table::of_service(std::string_view service) const -> std::vector<endpoint_ptr>
{
    auto found = std::vector<endpoint_ptr>{};
    for (auto const& [id, endpoint] : endpoints_)
        if (endpoint->record.service == service) found.push_back(endpoint);
    return found;
}

} // namespace hibiscuswall
