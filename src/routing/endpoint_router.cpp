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

// Half of the subset comes from the failure domain and a quarter from the rest of the region, as far as they
// have that many: a subset without far endpoints would be empty once the failure domain is out.
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
    auto spare = std::vector<member const*>{};
    std::size_t taken[3] = {};
    std::size_t const quota[3] = {(size + 1) / 2, size / 4, size / 4};
    for (auto const* host : list) {
        auto const tier = tier_of(self, *host);
        auto const within = taken[tier]++ < quota[tier];
        (within ? chosen : spare).push_back(host);
    }
    for (auto const* host : spare)
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
        auto& state = states_[name];
        if (host.incarnation <= state.incarnation) continue;
        // A new process: what was learned about the one before it no longer holds.
        auto const own = state.own_in_flight;
        state = endpoint_stats{};
        state.own_in_flight = state.own_at_answer = own;
        state.incarnation = host.incarnation;
    }
    std::erase_if(states_, [&](auto const& entry) {
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
    auto found = std::vector<candidate>{};
    auto probes = std::vector<candidate>{};
    for (auto const& [name, host] : hosts_) {
        if (!admissible(host, query, view)) continue;
        auto const state = states_.find(name);
        if (state == states_.end()) continue;
        auto const& known = state->second;
        if (known.leaving || now < known.paused_until) continue;
        if (!query.weights_version.empty() && !known.weights_version.empty() &&
            known.weights_version != query.weights_version)
            continue;
        if (known.ejected) {
            if (query.may_probe && !known.probing && now >= known.ejected_until)
                probes.push_back({&host, &known, tier_of(self_, host)});
            continue;
        }
        found.push_back({&host, &known, tier_of(self_, host)});
    }
    // A due probe takes this call: without it an ejected endpoint would never return.
    return probes.empty() ? found : std::vector{probes.front()};
}

auto endpoint_router::by_affinity(std::span<candidate const> tier, std::string_view prefix,
                                  time_point now) const -> candidate const*
{
    auto const lifetime = settings_.report_lifetime;
    auto total = 1.0; // the call itself
    for (auto const& item : tier)
        total += item.state->expected_in_flight(now, lifetime);
    auto const bound = std::ceil(settings_.affinity_bound * total / static_cast<double>(tier.size()));
    auto const key = prefix.substr(0, settings_.prefix_bytes);
    candidate const* best = nullptr;
    auto best_weight = std::uint64_t{0};
    for (auto const& item : tier) {
        if (item.state->expected_in_flight(now, lifetime) + 1 > bound) continue;
        auto const weight = rendezvous_weight(key, item.host->name);
        if (best != nullptr && weight <= best_weight) continue;
        best = &item;
        best_weight = weight;
    }
    return best;
}

auto endpoint_router::by_two_choices(std::span<candidate const> tier, time_point now,
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
    return item.state->load(now, settings_.report_lifetime, settings_.assumed_limit);
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
        auto open = std::vector<candidate>{};
        std::copy_if(all.begin(), all.end(), std::back_inserter(open),
                     [&](candidate const& item) { return item.tier == tier && load(item, now) < 1.0; });
        if (open.empty()) continue;
        if (!query.prefix.empty())
            if (auto const* chosen = by_affinity(open, query.prefix, now)) return *chosen->host;
        return *by_two_choices(open, now, random).host;
    }
    // All are full: the agents' queues decide who waits and who is shed.
    return *by_two_choices(all, now, random).host;
}

auto endpoint_router::endpoints_due_for_probe(time_point now) const -> std::vector<member>
{
    auto due = std::vector<member>{};
    for (auto const& [name, host] : hosts_) {
        auto const state = states_.find(name);
        if (state == states_.end()) continue;
        auto const& known = state->second;
        if (known.ejected && !known.probing && now >= known.ejected_until) due.push_back(host);
    }
    return due;
}

auto endpoint_router::on_sent(std::string_view host, time_point now) -> void
{
    auto const found = states_.find(host);
    if (found == states_.end()) return;
    ++found->second.own_in_flight;
    if (found->second.ejected && now >= found->second.ejected_until) found->second.probing = true;
}

auto endpoint_router::on_report(std::string_view host, endpoint_report const& report, time_point now) -> void
{
    auto const found = states_.find(host);
    if (found == states_.end()) return;
    auto& state = found->second;
    if (report.incarnation < state.incarnation) return; // a late answer of a process that is gone
    state.incarnation = report.incarnation;
    state.in_flight = report.in_flight;
    state.told_at = now;
    state.own_at_answer = state.own_in_flight;
    state.limit = report.limit;
    if (!report.weights_version.empty()) state.weights_version = report.weights_version;
    state.leaving = report.endpoint_state == "leaving" || report.endpoint_state == "gone";
    auto const pauses = report.rejection_code == result_code::endpoint_draining ||
                        report.rejection_code == result_code::endpoint_cold ||
                        report.rejection_code == result_code::failure_domain_out ||
                        report.rejection_code == result_code::shutting_down;
    if (pauses) state.paused_until = now + settings_.rejection_pause;
}

auto endpoint_router::on_finished(std::string_view host) -> void
{
    auto const found = states_.find(host);
    if (found == states_.end()) return;
    auto& state = found->second;
    state.own_in_flight = std::max(0, state.own_in_flight - 1);
    state.failures = 0;
    state.ejected = state.probing = false;
}

auto endpoint_router::on_failure(std::string_view host, time_point now) -> void
{
    auto const found = states_.find(host);
    if (found == states_.end()) return;
    auto& state = found->second;
    state.own_in_flight = std::max(0, state.own_in_flight - 1);
    ++state.failures;
    if (state.ejected ? state.probing : state.failures >= settings_.failures_to_eject) eject(state, now);
}

auto endpoint_router::eject(endpoint_stats& state, time_point now) -> void
{
    auto const longer = state.ejected ? state.ejection * 2 : settings_.ejection;
    state.ejection = std::min(longer, settings_.ejection_limit);
    state.ejected = true;
    state.probing = false;
    state.ejected_until = now + state.ejection;
}

auto endpoint_router::on_cancelled(std::string_view host) -> void
{
    auto const found = states_.find(host);
    if (found == states_.end()) return;
    found->second.own_in_flight = std::max(0, found->second.own_in_flight - 1);
    found->second.probing = false;
}

auto endpoint_router::incarnation(member const& host) const -> std::uint64_t
{
    auto const found = states_.find(host.name);
    return found == states_.end() ? host.incarnation : std::max(host.incarnation, found->second.incarnation);
}

auto endpoint_router::state_of(std::string_view host) const -> endpoint_stats const*
{
    auto const found = states_.find(host);
    return found == states_.end() ? nullptr : &found->second;
}

auto endpoint_router::subset_of(std::string_view service) const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [name, host] : hosts_)
        if (host.service == service) names.push_back(name);
    return names;
}

} // namespace hibiscuswall
