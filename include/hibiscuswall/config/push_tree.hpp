#pragma once
// Decides which processes of a failure domain watch the store and which peers each process pushes to. Every
// process computes the order from its own member table; gossip repairs what is missed while tables differ.
//
//   auto order = push_order(self, members, "gor-a");          // names, root first
//   auto children = push_children(order, self.name, fan_out);

#include "hibiscuswall/membership/member.hpp"

#include <span>
#include <string>
#include <vector>

namespace hibiscuswall {

constexpr auto watchers_per_failure_domain = std::size_t{2};

// Processes of a failure domain that are alive or suspect, in rendezvous order. Includes self if it belongs
// to the failure domain.
[[nodiscard]] auto push_order(member const& self, std::span<member const> members,
                              std::string_view failure_domain) -> std::vector<std::string>;

// Whether the process is among the first watchers_per_failure_domain of the order.
[[nodiscard]] auto is_watcher(std::span<std::string const> order, std::string_view name) -> bool;

// Names of the processes that the named process pushes to; empty if it is not in the order.
[[nodiscard]] auto push_children(std::span<std::string const> order, std::string_view name, int fan_out)
    -> std::vector<std::string>;

} // namespace hibiscuswall
