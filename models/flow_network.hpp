#pragma once
// Flows that share links, as the model of a network. No sockets, no clock.
//
//   auto network = flow_network{};
//   auto const up = network.add_link(950'000);             // bytes per second
//   auto const down = network.add_link(950'000);
//   auto const id = network.open({up, down}, 32'768);      // bytes to carry
//   for (auto const ended : network.advance(0.005)) ...    // seconds; the flows that have carried all
//
// The flows of a link get equal shares of its rate; what a flow cannot use, since another of its links is
// narrower, is shared again among the others (approximately max-min fair). A flow over a link without a rate
// stands, and takes no share of its other links.

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace hibiscuswall::models {

class flow_network {
public:
    using link_id = std::size_t;
    using flow_id = std::size_t;

    // ---- links, with their rates in bytes per second; 0: cut
    auto add_link(double rate) -> link_id;
    auto set_rate(link_id link, double rate) -> void { links_[link].rate = rate; }
    [[nodiscard]] auto carried(link_id link) const -> double { return links_[link].carried; } // bytes so far

    // ---- flows
    auto open(std::vector<link_id> links, double bytes) -> flow_id;
    auto close(flow_id flow) -> void { flows_.erase(flow); }
    [[nodiscard]] auto remaining(flow_id flow) const -> double { return flows_.at(flow).remaining; } // bytes

    // Carries bytes for this many seconds. Returns the flows that ended, which are closed.
    auto advance(double seconds) -> std::vector<flow_id>;

private:
    struct link_state {
        double rate = 0;
        double carried = 0;
        double free = 0;       // of the rate, while shares are computed
        std::size_t flows = 0; // that can use it
    };
    struct flow_state {
        std::vector<link_id> links;
        double remaining = 0;
        double rate = 0;
    };

    [[nodiscard]] auto is_standing(flow_state const& flow) const -> bool;
    [[nodiscard]] auto is_full(flow_state const& flow) const -> bool;
    auto share_rates() -> void;
    auto add_shares(std::span<flow_state* const> growing) -> void;

    std::vector<link_state> links_;
    std::map<flow_id, flow_state> flows_;
    flow_id next_flow_ = 0;
};

} // namespace hibiscuswall::models
