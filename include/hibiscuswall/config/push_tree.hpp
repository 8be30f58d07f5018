#pragma once
// Who watches the store and who pushes to whom within a failure domain. Every process computes the same order
// from its member table; differences between tables are repaired by gossip.
//
//   auto order = push_order(self, members, "gor-a");          // names, root first
//   auto role = push_children(order, self.name, fan_out);

#include "hibiscuswall/membership/member.hpp"

#include <span>
#include <string>
#include <vector>

namespace hibiscuswall {

constexpr auto watchers_per_failure_domain = std::size_t{2};

// Live processes (alive or suspect) of a failure domain in rendezvous order; includes self when it is in it.
[[nodiscard]] auto push_order(member const& self, std::span<member const> members,
                              std::string_view failure_domain) -> std::vector<std::string>;

// Whether a name is among the first two.
[[nodiscard]] auto is_watcher(std::span<std::string const> order, std::string_view name) -> bool;

// Names that the process pushes to; empty when it is not in the order.
[[nodiscard]] auto push_children(std::span<std::string const> order, std::string_view name, int fan_out)
    -> std::vector<std::string>;

} // namespace hibiscuswall
