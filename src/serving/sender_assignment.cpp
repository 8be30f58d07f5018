#include "hibiscuswall/serving/sender_assignment.hpp"

#include <algorithm>
#include <map>

namespace hibiscuswall {
namespace {

struct region_entries {
    std::vector<std::string_view> names; // sorted
    int own_senders = 0;                 // of an endpoint of this region, among these entries
    int other_senders = 0;               // of an endpoint of another region, among these entries
};

using region_map = std::map<std::string_view, region_entries>;

// Senders per endpoint that give each of `entries` at least `min_endpoints` of the `endpoints`, as far as
// there are that many.
auto senders_for(int entries, int endpoints, int min_endpoints, int min_senders) -> int
{
    if (endpoints == 0) return 0;
    auto const needed = (min_endpoints * entries + endpoints - 1) / endpoints;
    return std::min(entries, std::max(min_senders, needed));
}

auto by_region(std::span<listed_entry const> entries) -> region_map
{
    auto regions = region_map{};
    for (auto const& entry : entries)
        regions[entry.region].names.push_back(entry.name);
    for (auto& [region, group] : regions)
        std::sort(group.names.begin(), group.names.end());
    return regions;
}

auto set_sender_counts(region_map& regions, std::span<assignable_endpoint const> endpoints, int min_endpoints,
                       assignment_settings const& settings) -> void
{
    for (auto& [region, group] : regions) {
        auto const is_own = [&own_region = region](auto const& endpoint) {
            return endpoint.region == own_region;
        };
        auto const own = static_cast<int>(std::count_if(endpoints.begin(), endpoints.end(), is_own));
        auto const other = static_cast<int>(endpoints.size()) - own;
        auto const size = static_cast<int>(group.names.size());
        group.own_senders = senders_for(size, own, min_endpoints, settings.own_region_senders);
        group.other_senders = senders_for(size, other, min_endpoints, settings.other_region_senders);
    }
}

auto set_all_as_senders(region_map& regions) -> void
{
    for (auto& [region, group] : regions)
        group.own_senders = group.other_senders = static_cast<int>(group.names.size());
}

// The largest number of senders that an endpoint of any region has.
auto largest_sender_count(region_map const& regions) -> int
{
    auto other = 0;
    auto largest_difference = 0;
    for (auto const& [region, group] : regions) {
        other += group.other_senders;
        largest_difference = std::max(largest_difference, group.own_senders - group.other_senders);
    }
    return other + largest_difference;
}

// Hosts of a failure domain usually have consecutive addresses. Consecutive positions continue where the
// previous one ended, so that the names get equally many endpoints to within a few.
auto add_senders(std::vector<std::string_view>& senders, std::vector<std::string_view> const& names,
                 std::uint32_t position, int count) -> void
{
    auto const first = std::uint64_t{position} * static_cast<std::uint64_t>(count);
    for (auto i = 0; i < count; ++i)
        senders.push_back(names[(first + static_cast<std::uint64_t>(i)) % names.size()]);
}

} // namespace

auto assign_senders(std::span<listed_entry const> entries, std::span<assignable_endpoint const> endpoints,
                    assignment_settings const& settings) -> std::vector<std::vector<std::string_view>>
{
    auto regions = by_region(entries);
    if (static_cast<int>(entries.size()) <= settings.max_complete_entries) {
        set_all_as_senders(regions);
    } else {
        auto min_endpoints = settings.min_endpoints;
        set_sender_counts(regions, endpoints, min_endpoints, settings);
        while (largest_sender_count(regions) > settings.max_senders && min_endpoints > 1)
            set_sender_counts(regions, endpoints, --min_endpoints, settings);
    }
    auto senders = std::vector<std::vector<std::string_view>>(endpoints.size());
    for (auto i = std::size_t{0}; i < endpoints.size(); ++i)
        for (auto const& [region, group] : regions) {
            auto const is_own = endpoints[i].region == region;
            add_senders(senders[i], group.names, endpoints[i].position,
                        is_own ? group.own_senders : group.other_senders);
        }
    return senders;
}

} // namespace hibiscuswall
