#include "hibiscuswall/fleet/informed_peers.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscuswall {
namespace {

constexpr auto max_peers = std::size_t{16};
constexpr auto lifetime = milliseconds{3'500}; // of a report: agents name an entry as long as it subscribes

} // namespace

auto informed_peers::on_reported(address const& peer, std::uint64_t revision, bool is_near, time_point now)
    -> void
{
    newest_ = std::max(newest_, revision);
    auto& known = peers_[peer];
    known.is_near = is_near || (known.is_near && revision <= known.revision);
    known.revision = std::max(known.revision, revision);
    known.reported_at = now;
    if (peers_.size() > max_peers) forget_oldest();
}

auto informed_peers::forget_oldest() -> void
{
    auto const oldest =
        std::min_element(peers_.begin(), peers_.end(), [](auto const& left, auto const& right) {
            return left.second.reported_at < right.second.reported_at;
        });
    peers_.erase(oldest);
}

auto informed_peers::newer_than(std::uint64_t revision, time_point now) const -> std::vector<address>
{
    using ranked_peer = std::pair<address, knowledge>;
    auto ranked = std::vector<ranked_peer>{};
    for (auto const& [peer, known] : peers_)
        if (known.revision > revision && now - known.reported_at < lifetime) ranked.emplace_back(peer, known);
    auto const rank = [](ranked_peer const& each) {
        return std::make_tuple(~each.second.revision, !each.second.is_near);
    };
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    auto found = std::vector<address>{};
    for (auto& [peer, known] : ranked)
        found.push_back(std::move(peer));
    return found;
}

} // namespace hibiscuswall
