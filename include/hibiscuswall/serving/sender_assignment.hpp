#pragma once
// Decides which entries send calls to which endpoints of a service. Every entry computes the same assignment
// from the same lists. No network, no clock.
//
//   auto senders = assign_senders(entries, endpoints, settings);
//   senders[0]                                  // names of the entries that send to the first endpoint
//
// In a small fleet every entry sends to every endpoint. In a large one that would cost a stream of load
// reports and a share of each limit for every pair, and a share of less than one call permits no call at all.
// So an endpoint gets a few senders of its own region and at least one of every other region, whose calls
// come here when their own region lacks endpoints. The number of pairs grows with the number of endpoints,
// not with its product with the number of entries.

#include "hibiscuswall/core/address.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct listed_entry {
    std::string name;
    std::string region;
    std::optional<address> peer_address{}; // none in records of earlier builds
};

struct assignment_settings {
    int max_complete_entries = 16; // up to this many entries, every entry sends to every endpoint
    int own_region_senders = 4;    // of an endpoint, among the entries of its region
    int other_region_senders = 1;  // of an endpoint, among the entries of each other region
    // Endpoints that an entry gets at least, in its region and in all others together. Where endpoints are
    // few, they get more senders for it; beyond max_senders, entries get fewer endpoints, but at least one of
    // each.
    int min_endpoints = 3;
    int max_senders = 24;
};

struct assignable_endpoint {
    std::string_view region;
    std::uint32_t position = 0; // from its address; the same at every entry
};

// Assigns the endpoints of one service. Returns for each endpoint the names of its senders, as views into
// `entries`. The senders of an endpoint depend on the entries, on its position, and on the number of
// endpoints in each region, so that an endpoint that comes or goes hardly ever changes those of the others.
[[nodiscard]] auto assign_senders(std::span<listed_entry const> entries,
                                  std::span<assignable_endpoint const> endpoints,
                                  assignment_settings const& settings)
    -> std::vector<std::vector<std::string_view>>;

} // namespace hibiscuswall
