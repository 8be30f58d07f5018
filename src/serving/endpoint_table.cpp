#include "hibiscuswall/serving/endpoint_table.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto preferred_fraction = 0.5; // of an engine's free slots, for its preferred entry
constexpr auto failure_weight = 0.15;    // weight of the newest call in the moving average of failures
constexpr auto failures_to_avoid = 3;    // consecutive failures from which an endpoint is avoided
constexpr auto min_avoid_duration = milliseconds{500};
constexpr auto max_avoid_duration = milliseconds{4'000};

// Neighbouring hosts get neighbouring positions, as do endpoints on neighbouring ports of one host.
auto position_of(address const& where) -> std::uint32_t
{
    auto code = boost::system::error_code{};
    auto const ip = boost::asio::ip::make_address_v4(where.ip, code);
    return (code ? 0 : ip.to_uint()) + where.port;
}

} // namespace

auto tracked_endpoint::load() const -> int
{
    if (!news) return in_flight;
    return std::max(in_flight, news->running + news->queued + sent_since_report - ended_since_report);
}

auto tracked_endpoint::free_slots(int limit) const -> int
{
    if (!news) return limit - in_flight;
    return granted_slots - sent_since_report + ended_since_report;
}

auto tracked_endpoint::weights() const -> std::optional<loaded_weights> const&
{
    return news ? news->weights : record.weights;
}

auto endpoint_table::add_or_update(endpoint_record const& record, time_point now) -> void
{
    auto& tracked = endpoints_[record.id];
    if (tracked == nullptr) tracked = restore_removed(record.id);
    // A restart under the same id is a new endpoint; nothing known about the previous run applies.
    if (tracked == nullptr || tracked->record.started_at_ms != record.started_at_ms ||
        !(tracked->record.where == record.where)) {
        tracked = std::make_shared<tracked_endpoint>();
        // Until the assignment is updated, a new endpoint may be anyone's.
        tracked->assigned = entries_.empty();
        assignment_outdated_ = true;
        auto const region = regions_.find(record.failure_domain);
        if (region != regions_.end()) tracked->region = region->second;
    }
    // An endpoint that leaves does not come back in the same run; a store that was restored may say
    // otherwise.
    auto const was_draining = tracked->record.draining;
    tracked->record = record;
    tracked->record.draining = record.draining || was_draining;
    tracked->listed = true;
    tracked->record_lost_at.reset();
    if (record.cold_remaining.count() > 0) tracked->cold_until = now + record.cold_remaining;
}

auto endpoint_table::remove(std::string_view id, bool store_was_unavailable, time_point now) -> void
{
    auto const found = endpoints_.find(id);
    if (found == endpoints_.end()) return;
    if (!store_was_unavailable) return erase(found, now);
    if (!found->second->record_lost_at) found->second->record_lost_at = now;
}

auto endpoint_table::erase(std::map<std::string, endpoint_ptr, std::less<>>::iterator found, time_point now)
    -> void
{
    assignment_outdated_ = true;
    found->second->listed = false;
    removed_.insert_or_assign(found->first, removed_endpoint{found->second, now});
    endpoints_.erase(found);
}

auto endpoint_table::has_removed(endpoint_record const& record) const -> bool
{
    auto const found = removed_.find(record.id);
    return found != removed_.end() && found->second.endpoint->record.started_at_ms == record.started_at_ms;
}

// Returns null if the endpoint is not remembered.
auto endpoint_table::restore_removed(std::string const& id) -> endpoint_ptr
{
    auto removed = removed_.extract(id);
    assignment_outdated_ = true;
    return removed.empty() ? nullptr : removed.mapped().endpoint;
}

auto endpoint_table::replace(std::vector<endpoint_record> const& records, bool store_was_unavailable,
                             time_point now) -> void
{
    auto present = std::set<std::string_view>{};
    for (auto const& record : records) {
        add_or_update(record, now);
        present.insert(record.id);
    }
    auto missing = std::vector<std::string>{};
    for (auto const& [id, endpoint] : endpoints_)
        if (!present.contains(id)) missing.push_back(id);
    for (auto const& id : missing)
        remove(id, store_was_unavailable, now);
}

// Fractions of a slot are carried over to the next report, starting from a random value, so that entries do
// not all use the last free slot.
auto endpoint_table::update_granted_slots(tracked_endpoint& endpoint, load_report const& report) -> void
{
    if (!endpoint.news) endpoint.carried_fraction = random_.fraction();
    auto const free = endpoint.record.slots - report.running - report.queued;
    auto const others = std::max(1, report.subscriber_count - 1);
    auto const fraction = endpoint.preferred ? preferred_fraction : (1.0 - preferred_fraction) / others;
    auto const share = free * (report.subscriber_count <= 1 ? 1.0 : fraction) + endpoint.carried_fraction;
    endpoint.granted_slots = static_cast<int>(std::floor(share));
    endpoint.carried_fraction = share - std::floor(share);
}

auto endpoint_table::on_load_report(load_report const& report, microseconds round_trip, time_point now)
    -> void
{
    for (auto const& [id, endpoint] : endpoints_) {
        if (!(endpoint->record.where == report.where)) continue;
        // The report is about another run of the endpoint at the same address.
        if (endpoint->record.started_at_ms != report.started_at_ms) continue;
        update_granted_slots(*endpoint, report);
        if (report.leaving) record_departure(*endpoint);
        merge_rate(*endpoint, with_times(report.rate, now), rate_source::engine_report, now);
        if (report.paused && !(endpoint->news && endpoint->news->paused)) endpoint->paused_at = now;
        endpoint->news = report;
        endpoint->received_at = now;
        endpoint->round_trip = std::chrono::duration_cast<milliseconds>(round_trip);
        endpoint->sent_since_report = 0;
        endpoint->ended_since_report = 0;
    }
}

auto endpoint_table::remove_expired(time_point now) -> void
{
    for (auto next = endpoints_.begin(); next != endpoints_.end();) {
        auto const current = next++;
        auto const& lost_at = current->second->record_lost_at;
        if (lost_at && now - *lost_at > settings_.lost_record_grace) erase(current, now);
    }
    std::erase_if(removed_, [&](auto const& each) {
        return now - each.second.removed_at > settings_.removed_endpoint_lifetime;
    });
}

auto endpoint_table::set_entries(std::vector<listed_entry> entries, int departed) -> void
{
    entries_ = std::move(entries);
    departed_entries_ = departed;
    assignment_outdated_ = true;
}

auto endpoint_table::update_assignment(time_point now) -> void
{
    if (entries_.empty() || !std::exchange(assignment_outdated_, false)) return;
    auto services = std::map<std::string_view, std::vector<tracked_endpoint*>>{};
    for (auto const& [id, endpoint] : endpoints_)
        services[endpoint->record.service].push_back(endpoint.get());
    for (auto const& [service, endpoints] : services) {
        auto assignable = std::vector<assignable_endpoint>{};
        for (auto const* endpoint : endpoints)
            assignable.push_back({endpoint->region, position_of(endpoint->record.where)});
        auto const senders = hibiscuswall::assign_senders(entries_, assignable, settings_.assignment);
        for (auto i = std::size_t{0}; i < endpoints.size(); ++i) {
            auto const& names = senders[i];
            endpoints[i]->assigned = std::find(names.begin(), names.end(), self_) != names.end();
            endpoints[i]->sender_count = static_cast<int>(names.size()) + departed_entries_;
            endpoints[i]->senders = {names.begin(), names.end()};
            if (endpoints[i]->rate.limit()) share_rate(*endpoints[i], now);
        }
    }
}

auto endpoint_table::assign_preferred_entries() -> void
{
    // Sorted by service, region and address, so that every entry gets the same order.
    auto order = std::map<std::tuple<std::string, std::string, address>, tracked_endpoint*>{};
    for (auto const& [id, endpoint] : endpoints_) {
        endpoint->preferred = false;
        if (endpoint->news && !endpoint->news->same_region_entries.empty())
            order[{endpoint->record.service, endpoint->region, endpoint->record.where}] = endpoint.get();
    }
    auto next_entries = std::map<std::pair<std::string, std::string>, std::size_t>{};
    for (auto const& [key, endpoint] : order) {
        auto& next_entry = next_entries[{std::get<0>(key), std::get<1>(key)}];
        auto const& entries = endpoint->news->same_region_entries;
        endpoint->preferred = entries[next_entry++ % entries.size()] == self_;
    }
}

auto endpoint_table::record_send(tracked_endpoint& endpoint, time_point now) -> void
{
    ++endpoint.in_flight;
    ++endpoint.sent_since_report;
    endpoint.recent_sends.add(now);
}

auto endpoint_table::record_end(tracked_endpoint& endpoint) -> void
{
    --endpoint.in_flight;
    ++endpoint.ended_since_report;
}

auto endpoint_table::record_success(tracked_endpoint& endpoint) -> void
{
    endpoint.failure_fraction *= 1.0 - failure_weight;
    endpoint.failures_in_row = 0;
}

auto endpoint_table::record_failure(tracked_endpoint& endpoint, time_point now) -> void
{
    endpoint.failure_fraction += failure_weight * (1.0 - endpoint.failure_fraction);
    ++endpoint.failures_in_row;
    if (endpoint.failures_in_row < failures_to_avoid) return;
    auto const doublings = std::min(endpoint.failures_in_row - failures_to_avoid, 3);
    endpoint.avoid_until = now + std::min(min_avoid_duration * (1 << doublings), max_avoid_duration);
}

auto endpoint_table::record_departure(tracked_endpoint& endpoint) -> void { endpoint.leaving = true; }

auto endpoint_table::record_backoff(tracked_endpoint& endpoint, milliseconds duration, time_point now) -> void
{
    endpoint.backoff_until = std::max(endpoint.backoff_until, now + duration);
}

auto endpoint_table::endpoints_of_service(std::string_view service) const -> std::vector<endpoint_ptr>
{
    auto found = std::vector<endpoint_ptr>{};
    for (auto const& [id, endpoint] : endpoints_)
        if (endpoint->assigned && endpoint->record.service == service) found.push_back(endpoint);
    return found;
}

} // namespace hibiscuswall
