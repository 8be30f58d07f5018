#include "hibiscuswall/config/push_tree.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>

namespace hibiscuswall {

auto push_order(member const& self, std::span<member const> members, std::string_view failure_domain)
    -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    if (self.failure_domain == failure_domain) names.push_back(self.name);
    for (auto const& peer : members) {
        auto const live = peer.state == member_state::alive || peer.state == member_state::suspect;
        if (live && peer.failure_domain == failure_domain) names.push_back(peer.name);
    }
    return rendezvous_rank("config/" + std::string{failure_domain}, names);
}

auto is_watcher(std::span<std::string const> order, std::string_view name) -> bool
{
    auto const first = order.first(std::min(order.size(), watchers_per_failure_domain));
    return std::find(first.begin(), first.end(), name) != first.end();
}

auto push_children(std::span<std::string const> order, std::string_view name, int fan_out)
    -> std::vector<std::string>
{
    auto const self = std::find(order.begin(), order.end(), name);
    if (self == order.end()) return {};
    auto const width = static_cast<std::size_t>(fan_out);
    auto const first = static_cast<std::size_t>(self - order.begin()) * width + 1;
    auto children = std::vector<std::string>{};
    for (auto at = first; at < std::min(first + width, order.size()); ++at)
        children.push_back(order[at]);
    return children;
}

} // namespace hibiscuswall
