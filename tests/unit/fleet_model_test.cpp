// Entries that place calls on the engines that they share, in the model: refusals while slots are free.
#include "models/fleet_model.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;
using namespace hibiscuswall::models;

namespace {

auto fleet_of(std::size_t entries, double calls_per_second) -> fleet_settings
{
    auto settings = fleet_settings{};
    settings.entries = entries;
    settings.engine = small_engine();
    settings.duration = milliseconds{10'000};
    settings.max_calls_per_second = calls_per_second;
    settings.calls_per_second = [=](std::size_t, milliseconds) {
        return calls_per_second / static_cast<double>(entries);
    };
    return settings;
}

} // namespace

TEST_GROUP(fleet_model){};

// Guards against an entry that refuses calls although it alone uses the engines.
TEST(fleet_model, one_entry_fills_the_engines_before_it_refuses)
{
    auto const half = simulate(fleet_of(1, 80));
    CHECK_EQUAL(0U, half.refused);
    CHECK(half.used_share > 0.4);

    auto const twice = simulate(fleet_of(1, 320));
    CHECK(twice.refused_share() > 0.4);
    CHECK(twice.used_share > 0.9);
    CHECK_EQUAL(0U, twice.refused_while_half_free);
}

// Guards against entries that together send more than the engines take: shares of one report add up to the
// free slots at most.
TEST(fleet_model, entries_together_stay_within_the_slots_of_each_engine)
{
    for (auto const entries : {2U, 6U, 16U}) {
        auto const result = simulate(fleet_of(entries, 400));
        CHECK(result.max_running <= small_engine().slots);
        CHECK(result.used_share > 0.7);
    }
}

TEST(fleet_model, few_entries_with_even_demand_refuse_nothing_while_slots_are_free)
{
    for (auto const entries : {2U, 4U, 6U}) {
        auto const result = simulate(fleet_of(entries, 55));
        CHECK_EQUAL(0U, result.refused_while_half_free);
        CHECK(result.first_event_percentile(0.99) < milliseconds{100});
    }
}

TEST(fleet_model, the_same_settings_give_the_same_result)
{
    auto const first = simulate(fleet_of(6, 200));
    auto const second = simulate(fleet_of(6, 200));
    CHECK_EQUAL(first.calls, second.calls);
    CHECK_EQUAL(first.refused, second.refused);
    CHECK(first.first_event == second.first_event);
}
