#include "models/flow_network.hpp"

#include <algorithm>
#include <limits>

namespace hibiscuswall::models {
namespace {

constexpr auto share_rounds = 4;        // in which unused shares are given to other flows
constexpr auto min_share = 0.01;        // of a link's rate: a link with less left counts as full
constexpr auto negligible_bytes = 1e-6; // left by rounding

} // namespace

auto flow_network::add_link(double rate) -> link_id
{
    links_.push_back({rate});
    return links_.size() - 1;
}

auto flow_network::open(std::vector<link_id> links, double bytes) -> flow_id
{
    flows_[next_flow_] = {std::move(links), bytes, 0};
    return next_flow_++;
}

auto flow_network::is_standing(flow_state const& flow) const -> bool
{
    return std::any_of(flow.links.begin(), flow.links.end(),
                       [this](auto link) { return links_[link].rate <= 0; });
}

auto flow_network::is_full(flow_state const& flow) const -> bool
{
    return std::any_of(flow.links.begin(), flow.links.end(),
                       [this](auto link) { return links_[link].free < min_share * links_[link].rate; });
}

auto flow_network::share_rates() -> void
{
    for (auto& link : links_)
        link.free = link.rate;
    auto growing = std::vector<flow_state*>{};
    for (auto& [id, flow] : flows_) {
        flow.rate = 0;
        if (!is_standing(flow)) growing.push_back(&flow);
    }
    for (auto round = 0; round < share_rounds && !growing.empty(); ++round) {
        add_shares(growing);
        std::erase_if(growing, [this](flow_state const* flow) { return is_full(*flow); });
    }
}

// Gives each of the flows an equal share of what is free on its narrowest link.
auto flow_network::add_shares(std::span<flow_state* const> growing) -> void
{
    for (auto& link : links_)
        link.flows = 0;
    for (auto const* flow : growing)
        for (auto const link : flow->links)
            ++links_[link].flows;
    auto shares = std::vector<double>{};
    for (auto const* flow : growing) {
        auto share = std::numeric_limits<double>::max();
        for (auto const link : flow->links)
            share = std::min(share, links_[link].free / static_cast<double>(links_[link].flows));
        shares.push_back(share);
    }
    for (auto i = std::size_t{0}; i < growing.size(); ++i) {
        growing[i]->rate += shares[i];
        for (auto const link : growing[i]->links)
            links_[link].free = std::max(0.0, links_[link].free - shares[i]);
    }
}

auto flow_network::advance(double seconds) -> std::vector<flow_id>
{
    share_rates();
    auto ended = std::vector<flow_id>{};
    for (auto& [id, flow] : flows_) {
        auto const bytes = std::min(flow.remaining, flow.rate * seconds);
        flow.remaining -= bytes;
        for (auto const link : flow.links)
            links_[link].carried += bytes;
        if (flow.remaining < negligible_bytes) ended.push_back(id);
    }
    for (auto const id : ended)
        flows_.erase(id);
    return ended;
}

} // namespace hibiscuswall::models
