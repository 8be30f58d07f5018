// Assignment of endpoints to entries in small and large fleets. No network.
#include "hibiscuswall/serving/sender_assignment.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto const region_names = std::vector<std::string>{"r0", "r1", "r2", "r3", "r4"};
constexpr auto positions_per_region = 100'000U; // hosts of different regions have distant addresses

} // namespace

TEST_GROUP(sender_assignment)
{
    std::vector<listed_entry> entries;
    std::vector<assignable_endpoint> endpoints;
    assignment_settings settings;

    auto add_entries(int per_region)->void
    {
        for (auto i = 0; i < per_region; ++i)
            for (auto const& region : region_names)
                entries.push_back({region + "-e" + std::to_string(i), region});
    }

    auto add_endpoints(int per_region)->void
    {
        for (auto region = 0U; region < region_names.size(); ++region)
            for (auto i = 0U; i < static_cast<unsigned>(per_region); ++i)
                endpoints.push_back({region_names[region], region * positions_per_region + i});
    }

    auto senders() const { return assign_senders(entries, endpoints, settings); }

    // Endpoints by entry, in its own region or in the others.
    auto endpoints_of_entries(bool own_region) const->std::map<std::string, int>
    {
        auto counts = std::map<std::string, int>{};
        auto regions = std::map<std::string_view, std::string_view>{};
        for (auto const& entry : entries) {
            counts[entry.name] = 0;
            regions[entry.name] = entry.region;
        }
        auto const assigned = senders();
        for (auto i = std::size_t{0}; i < endpoints.size(); ++i)
            for (auto const name : assigned[i])
                if ((regions[name] == endpoints[i].region) == own_region) ++counts[std::string{name}];
        return counts;
    }

    static auto smallest(std::map<std::string, int> const& counts)->int
    {
        return std::min_element(
                   counts.begin(), counts.end(),
                   [](auto const& left, auto const& right) { return left.second < right.second; })
            ->second;
    }

    static auto largest(std::map<std::string, int> const& counts)->int
    {
        return std::max_element(
                   counts.begin(), counts.end(),
                   [](auto const& left, auto const& right) { return left.second < right.second; })
            ->second;
    }
};

TEST(sender_assignment, in_a_small_fleet_every_entry_sends_to_every_endpoint)
{
    add_entries(3);
    add_endpoints(12);
    for (auto const& names : senders())
        CHECK_EQUAL(15U, names.size());
}

// Guards against a number of pairs that grows with the product of entries and endpoints.
TEST(sender_assignment, in_a_large_fleet_an_endpoint_has_few_senders_however_many_entries_there_are)
{
    add_endpoints(31);
    for (auto const per_region : {11, 84, 200}) {
        entries.clear();
        add_entries(per_region);
        for (auto const& names : senders()) {
            CHECK(names.size() >= 8);
            CHECK(names.size() <= 50);
            CHECK_EQUAL(names.size(), std::set<std::string_view>(names.begin(), names.end()).size());
        }
    }
}

// Guards against entries that have no endpoint, or far more than others.
TEST(sender_assignment, in_a_large_fleet_every_entry_gets_about_equally_many_endpoints)
{
    add_entries(11);
    add_endpoints(31);
    auto const own = endpoints_of_entries(true);
    CHECK(smallest(own) >= 11);
    CHECK(largest(own) <= 12);
    auto const other = endpoints_of_entries(false);
    CHECK(smallest(other) >= 8);
    CHECK(largest(other) <= 16);
}

// A plain service has few endpoints.
TEST(sender_assignment, where_endpoints_are_few_every_entry_still_gets_some)
{
    add_entries(11);
    add_endpoints(2);
    CHECK_EQUAL(2, smallest(endpoints_of_entries(true)));
    CHECK(smallest(endpoints_of_entries(false)) >= 1);
    endpoints.resize(1); // a single endpoint in one region
    CHECK_EQUAL(entries.size(), senders().front().size());
}

// Guards against an assignment that changes for everyone whenever one endpoint restarts.
TEST(sender_assignment, an_endpoint_that_goes_does_not_move_the_others)
{
    add_entries(11);
    add_endpoints(31);
    auto const before = senders();
    endpoints.erase(endpoints.begin() + 40);
    auto const after = senders();
    for (auto i = std::size_t{0}; i < after.size(); ++i)
        CHECK(before[i < 40 ? i : i + 1] == after[i]);
}

TEST(sender_assignment, the_order_of_the_lists_does_not_matter)
{
    add_entries(11);
    add_endpoints(31);
    auto const before = senders();
    auto const reversed = std::vector<listed_entry>{entries.rbegin(), entries.rend()};
    CHECK(before == assign_senders(reversed, endpoints, settings));
}

// Guards against a computation that holds up calls while the fleet changes.
TEST(sender_assignment, a_thousand_entries_and_ten_thousand_endpoints_take_a_few_milliseconds)
{
    add_entries(200);
    add_endpoints(2'000);
    auto shortest = std::chrono::steady_clock::duration::max();
    for (auto round = 0; round < 5; ++round) {
        auto const begun = std::chrono::steady_clock::now();
        CHECK_EQUAL(10'000U, senders().size());
        shortest = std::min(shortest, std::chrono::steady_clock::now() - begun);
    }
    CHECK(shortest < std::chrono::milliseconds{5});
}
