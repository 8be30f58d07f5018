#include "hibiscuswall/weights/rollout.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

auto precedes(std::string_view version, std::string_view self, std::string const& other) -> bool
{
    auto const own_weight = rendezvous_weight(version, self);
    auto const other_weight = rendezvous_weight(version, other);
    return other_weight > own_weight || (other_weight == own_weight && other < self);
}

// A host that does not respond may be about to switch, so it counts until it is known to be dead.
auto may_load(rollout_peer const& peer) -> bool
{
    return !peer.known || peer.state == version_state::verified || peer.state == version_state::loading;
}

} // namespace

auto decide_rollout(std::string_view version, std::string_view self, std::span<rollout_peer const> others,
                    int batch) -> rollout_decision
{
    if (std::any_of(others.begin(), others.end(), [](auto const& peer) { return peer.load_failed; }))
        return rollout_decision::stop;
    auto const ahead = std::count_if(others.begin(), others.end(), [&](auto const& peer) {
        auto const loads = peer.known && peer.state == version_state::loading;
        return loads || (may_load(peer) && precedes(version, self, peer.name));
    });
    return ahead < batch ? rollout_decision::proceed : rollout_decision::wait;
}

auto keeps_slot(std::string_view version, std::string_view self, std::span<rollout_peer const> others,
                int batch) -> bool
{
    auto const ahead = std::count_if(others.begin(), others.end(), [&](auto const& peer) {
        return may_load(peer) && precedes(version, self, peer.name);
    });
    return ahead < batch;
}

} // namespace hibiscuswall
