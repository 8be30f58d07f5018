#include "hibiscuswall/routing/endpoint_router.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hibiscuswall {
namespace {

auto tier_of(member const& self, member const& host) -> int
{
    if (host.failure_domain == self.failure_domain) return 0;
    return host.region == self.region ? 1 : 2;
}

auto serves_model(config_view const& view, std::string_view model, member const& host) -> bool
{
    return std::any_of(view.servings.begin(), view.servings.end(), [&](auto const& entry) {
        auto const& serving = entry.second;
        auto const& domains = serving.failure_domains;
        return serving.model == model && serving.service == host.service &&
               std::find(domains.begin(), domains.end(), host.failure_domain) != domains.end();
    });
}

// Fills half of the subset from the failure domain of this process and a quarter from the rest of its region,
// as far as these have enough endpoints. A subset without endpoints from elsewhere would be empty once the
// failure domain is taken out of service.
auto select_subset(member const& self, std::vector<member const*> list, std::size_t size)
    -> std::vector<member const*>
{
    std::sort(list.begin(), list.end(), [&](member const* left, member const* right) {
        auto const rank = [&](member const* host) {
            return std::tuple{tier_of(self, *host), ~rendezvous_weight(self.name, host->name),
                              std::string_view{host->name}};
        };
        return rank(left) < rank(right);
    });
    auto chosen = std::vector<member const*>{};
    auto remaining = std::vector<member const*>{};
    std::size_t taken[3] = {};
    std::size_t const quota[3] = {(size + 1) / 2, size / 4, size / 4};
    for (auto const* host : list) {
        auto const tier = tier_of(self, *host);
        auto const within = taken[tier]++ < quota[tier];
        (within ? chosen : remaining).push_back(host);
    }
    for (auto const* host : remaining)
        if (chosen.size() < size) chosen.push_back(host);
    return chosen;
}

} // namespace

endpoint_router::endpoint_router(member self, routing_settings settings)
    : self_{std::move(self)}, settings_{settings}
{
}

auto endpoint_router::update(std::span<member const> members) -> void
{
    auto by_service = std::map<std::string, std::vector<member const*>>{};
    for (auto const& host : members)
        if (host.role == member_role::agent && host.state != member_state::dead &&
            host.state != member_state::leaving)
            by_service[host.service].push_back(&host);

    hosts_.clear();
    for (auto& [service, list] : by_service)
        for (auto const* host : select_subset(self_, std::move(list), settings_.subset))
            hosts_.emplace(host->name, *host);
    for (auto const& [name, host] : hosts_) {
        auto& stats = stats_[name];
        if (host.incarnation <= stats.incarnation) continue;
        // A new incarnation of the agent: statistics of the earlier process no longer hold.
        auto const own = stats.own_in_flight;
        stats = endpoint_stats{};
        stats.own_in_flight = stats.own_in_flight_at_report = own;
        stats.incarnation = host.incarnation;
    }
    std::erase_if(stats_, [&](auto const& entry) {
        return entry.second.own_in_flight == 0 && !hosts_.contains(entry.first);
    });
}

auto endpoint_router::admissible(member const& host, route_query const& query, config_view const& view) const
    -> bool
{
    if (host.state == member_state::leaving || host.state == member_state::dead) return false;
    if (query.excluded.contains(host.name)) return false;
    if (!view.in_service(host.name, host.failure_domain)) return false;
    if (!query.model.empty()) return serves_model(view, query.model, host);
    return host.service == query.service;
}

auto endpoint_router::candidates(route_query const& query, config_view const& view, time_point now) const
    -> std::vector<candidate>
{
    auto available = std::vector<candidate>{};
    auto probes = std::vector<candidate>{};
    for (auto const& [name, host] : hosts_) {
        if (!admissible(host, query, view)) continue;
        auto const found = stats_.find(name);
        if (found == stats_.end()) continue;
        auto const& stats = found->second;
        if (stats.leaving || now < stats.paused_until) continue;
        if (!query.weights_version.empty() && !stats.weights_version.empty() &&
            stats.weights_version != query.weights_version)
            continue;
        if (stats.ejected) {
            if (query.may_probe && !stats.probing && now >= stats.ejected_until)
                probes.push_back({&host, &stats, tier_of(self_, host)});
            continue;
        }
        available.push_back({&host, &stats, tier_of(self_, host)});
    }
    // A due probe takes precedence over all candidates: without it an ejected endpoint would never be
    // readmitted.
    return probes.empty() ? available : std::vector{probes.front()};
}

auto endpoint_router::pick_by_affinity(std::span<candidate const> tier, std::string_view prefix,
                                       time_point now) const -> candidate const*
{
    auto const lifetime = settings_.report_lifetime;
    auto total = 1.0; // counts the call to be placed
    for (auto const& item : tier)
        total += item.stats->expected_in_flight(now, lifetime);
    auto const bound = std::ceil(settings_.affinity_bound * total / static_cast<double>(tier.size()));
    auto const key = prefix.substr(0, settings_.prefix_bytes);
    candidate const* best = nullptr;
    auto best_weight = std::uint64_t{0};
    for (auto const& item : tier) {
        if (item.stats->expected_in_flight(now, lifetime) + 1 > bound) continue;
        auto const weight = rendezvous_weight(key, item.host->name);
        if (best != nullptr && weight <= best_weight) continue;
        best = &item;
        best_weight = weight;
    }
    return best;
}

auto endpoint_router::pick_by_two_choices(std::span<candidate const> tier, time_point now,
                                          random_source& random) const -> candidate const&
{
    auto const first = random.below(tier.size());
    if (tier.size() == 1) return tier[first];
    auto second = random.below(tier.size() - 1);
    if (second >= first) ++second;
    return load(tier[second], now) < load(tier[first], now) ? tier[second] : tier[first];
}

auto endpoint_router::load(candidate const& item, time_point now) const -> double
{
    return item.stats->load(now, settings_.report_lifetime, settings_.assumed_limit);
}

auto endpoint_router::choose(route_query const& query, config_view const& view, time_point now,
                             random_source& random) const -> std::optional<member>
{
    auto const all = candidates(query, view, now);
    if (all.empty()) return std::nullopt;
    if (!query.preferred_host.empty())
        for (auto const& item : all)
            if (item.host->name == query.preferred_host) return *item.host;

    for (auto tier = 0; tier <= 2; ++tier) {
        auto not_full = std::vector<candidate>{};
        std::copy_if(all.begin(), all.end(), std::back_inserter(not_full),
                     [&](candidate const& item) { return item.tier == tier && load(item, now) < 1.0; });
        if (not_full.empty()) continue;
        if (!query.prefix.empty())
            if (auto const* chosen = pick_by_affinity(not_full, query.prefix, now)) return *chosen->host;
        return *pick_by_two_choices(not_full, now, random).host;
    }
    // All endpoints are full: the admission queue of the chosen agent decides whether the call waits or is
    // shed.
    return *pick_by_two_choices(all, now, random).host;
}

auto endpoint_router::endpoints_due_for_probe(time_point now) const -> std::vector<member>
{
    auto due = std::vector<member>{};
    for (auto const& [name, host] : hosts_) {
        auto const found = stats_.find(name);
        if (found == stats_.end()) continue;
        auto const& stats = found->second;
        if (stats.ejected && !stats.probing && now >= stats.ejected_until) due.push_back(host);
    }
    return due;
}

auto endpoint_router::on_sent(std::string_view host, time_point now) -> void
{
    auto const found = stats_.find(host);
    if (found == stats_.end()) return;
    ++found->second.own_in_flight;
    if (found->second.ejected && now >= found->second.ejected_until) found->second.probing = true;
}

auto endpoint_router::on_report(std::string_view host, endpoint_report const& report, time_point now) -> void
{
    auto const found = stats_.find(host);
    if (found == stats_.end()) return;
    auto& stats = found->second;
    if (report.incarnation < stats.incarnation) return; // delayed response of an earlier process
    stats.incarnation = report.incarnation;
    stats.in_flight = report.in_flight;
    stats.reported_at = now;
    stats.own_in_flight_at_report = stats.own_in_flight;
    stats.limit = report.limit;
    if (!report.weights_version.empty()) stats.weights_version = report.weights_version;
    stats.leaving = report.endpoint_state == "leaving" || report.endpoint_state == "gone";
    auto const pauses = report.rejection_code == result_code::endpoint_draining ||
                        report.rejection_code == result_code::endpoint_cold ||
                        report.rejection_code == result_code::failure_domain_out ||
                        report.rejection_code == result_code::shutting_down;
    if (pauses) stats.paused_until = now + settings_.rejection_pause;
}

auto endpoint_router::on_finished(std::string_view host) -> void
{
    auto const found = stats_.find(host);
    if (found == stats_.end()) return;
    auto& stats = found->second;
    stats.own_in_flight = std::max(0, stats.own_in_flight - 1);
    stats.failures = 0;
    stats.ejected = stats.probing = false;
}

auto endpoint_router::on_failure(std::string_view host, time_point now) -> void
{
    auto const found = stats_.find(host);
    if (found == stats_.end()) return;
    auto& stats = found->second;
    stats.own_in_flight = std::max(0, stats.own_in_flight - 1);
    ++stats.failures;
    if (stats.ejected ? stats.probing : stats.failures >= settings_.failures_to_eject) eject(stats, now);
}

auto endpoint_router::eject(endpoint_stats& stats, time_point now) -> void
{
    auto const longer = stats.ejected ? stats.ejection_duration * 2 : settings_.ejection_duration;
    stats.ejection_duration = std::min(longer, settings_.max_ejection_duration);
    stats.ejected = true;
    stats.probing = false;
    stats.ejected_until = now + stats.ejection_duration;
}

auto endpoint_router::on_cancelled(std::string_view host) -> void
{
    auto const found = stats_.find(host);
    if (found == stats_.end()) return;
    found->second.own_in_flight = std::max(0, found->second.own_in_flight - 1);
    found->second.probing = false;
}

auto endpoint_router::incarnation(member const& host) const -> std::uint64_t
{
    auto const found = stats_.find(host.name);
    return found == stats_.end() ? host.incarnation : std::max(host.incarnation, found->second.incarnation);
}

auto endpoint_router::stats_of(std::string_view host) const -> endpoint_stats const*
{
    auto const found = stats_.find(host);
    return found == stats_.end() ? nullptr : &found->second;
}

auto endpoint_router::subset_of(std::string_view service) const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [name, host] : hosts_)
        if (host.service == service) names.push_back(name);
    return names;
}

} // namespace hibiscuswall
