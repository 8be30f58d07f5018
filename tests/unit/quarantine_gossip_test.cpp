// When entries tell each other of suspected segments, and that every entry learns of them. No network,
// simulated time.
#include "hibiscuswall/fleet/quarantine_gossip.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>

using namespace hibiscuswall;

// ---- schedule

TEST_GROUP(quarantine_schedule)
{
    time_point now{seconds{1'000}};
    random_source random{7};
    quarantine_schedule schedule;

    void setup() override { std::ignore = schedule.take_due_round(now); } // the first round is due at once

    // Rounds that are made within the time, checked each millisecond.
    auto rounds_within(milliseconds time)->std::vector<round_reason>
    {
        auto made = std::vector<round_reason>{};
        for (auto const end = now + time; now < end; now += milliseconds{1})
            if (auto const reason = schedule.take_due_round(now)) made.push_back(*reason);
        return made;
    }

    static auto peers(std::size_t count)->std::vector<address>
    {
        auto list = std::vector<address>{};
        for (auto i = std::size_t{0}; i < count; ++i)
            list.push_back({"10.0.0.1", static_cast<unsigned short>(i + 1)});
        return list;
    }

    auto targets(round_reason reason, std::size_t peer_count)->std::size_t
    {
        auto const chosen = schedule.choose_targets(reason, peers(peer_count), random);
        auto const distinct = std::set<address>{chosen.begin(), chosen.end()};
        CHECK_EQUAL(chosen.size(), distinct.size());
        return chosen.size();
    }
};

TEST(quarantine_schedule, a_change_is_sent_at_once)
{
    now += milliseconds{500};
    CHECK_FALSE(schedule.take_due_round(now).has_value());
    schedule.on_change(now);
    CHECK(schedule.next_round() <= now);
    CHECK(schedule.take_due_round(now) == round_reason::change);
    CHECK_FALSE(schedule.take_due_round(now).has_value());
}

TEST(quarantine_schedule, changes_that_follow_closely_share_a_round)
{
    auto changes = 0;
    for (auto const end = now + milliseconds{200}; now < end; now += milliseconds{1}) {
        schedule.on_change(now);
        if (schedule.take_due_round(now)) ++changes;
    }
    CHECK_EQUAL(9, changes); // one each 20 ms, from 20 ms after the first round on
    CHECK(schedule.next_round() - now <= milliseconds{20});
}

TEST(quarantine_schedule, repeats_are_frequent_for_two_seconds_after_a_change)
{
    schedule.on_change(now);
    auto const soon = rounds_within(milliseconds{2'000});
    CHECK_EQUAL(10U, soon.size()); // after 20, 220, ... 1820 ms
    CHECK(soon.front() == round_reason::change);
    CHECK(soon.back() == round_reason::repeat);
    std::ignore = rounds_within(milliseconds{1'000});
    CHECK_EQUAL(5U, rounds_within(milliseconds{5'000}).size());
    schedule.on_new_peer(now);
    CHECK(rounds_within(milliseconds{2'000}).size() >= 9);
}

TEST(quarantine_schedule, a_round_goes_to_all_entries_of_a_small_fleet_and_to_a_few_of_a_large_one)
{
    CHECK_EQUAL(0U, targets(round_reason::change, 0));
    CHECK_EQUAL(1U, targets(round_reason::repeat, 1));
    CHECK_EQUAL(15U, targets(round_reason::change, 15));
    CHECK_EQUAL(3U, targets(round_reason::repeat, 15));
    CHECK_EQUAL(6U, targets(round_reason::change, 16));
    CHECK_EQUAL(2U, targets(round_reason::repeat, 16));
    CHECK_EQUAL(6U, targets(round_reason::change, 150));
}

// ---- a fleet of entries

namespace {

constexpr auto step = milliseconds{5}; // of simulated time; a datagram arrives in the next one

struct simulated_entry {
    listed_entry listed;
    prompt_quarantine quarantine;
    quarantine_gossip gossip;

    simulated_entry(listed_entry self, random_source& random)
        : listed{std::move(self)}, quarantine{{}, listed.name}, gossip{listed.name, quarantine, random}
    {
    }
};

struct sent_datagram {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
};

} // namespace

TEST_GROUP(quarantine_gossip)
{
    time_point now{seconds{1'000}};
    random_source random{7};
    std::vector<std::unique_ptr<simulated_entry>> fleet;
    std::vector<sent_datagram> under_way;
    std::function<bool(sent_datagram const&)> is_lost = [](auto const&) { return false; };
    std::size_t sent = 0;

    auto add_entry()->void
    {
        auto const number = fleet.size() + 1;
        auto self = listed_entry{"e" + std::to_string(number), "north",
                                 address{"10.0.0.1", static_cast<unsigned short>(number)}};
        fleet.push_back(std::make_unique<simulated_entry>(std::move(self), random));
    }

    auto list_entries()->void
    {
        auto listed = std::vector<listed_entry>{};
        for (auto const& entry : fleet)
            listed.push_back(entry->listed);
        for (auto const& entry : fleet)
            entry->gossip.set_entries(listed, now);
    }

    auto start_fleet(std::size_t count)->void
    {
        for (auto i = std::size_t{0}; i < count; ++i)
            add_entry();
        list_entries();
    }

    auto advance()->void
    {
        now += step;
        auto const arriving = std::exchange(under_way, {});
        for (auto const& each : arriving) {
            auto const message = decode_datagram(each.bytes);
            CHECK(message.has_value());
            fleet[each.to]->gossip.merge(std::get<quarantine_records>(*message), now);
        }
        for (auto i = std::size_t{0}; i < fleet.size(); ++i)
            send_round_of(i);
    }

    auto send_round_of(std::size_t number)->void
    {
        auto const round = fleet[number]->gossip.take_due_round(now);
        for (auto const& to : round.targets)
            for (auto const& bytes : round.datagrams) {
                ++sent;
                auto datagram = sent_datagram{number, to.port - std::size_t{1}, bytes};
                if (!is_lost(datagram)) under_way.push_back(std::move(datagram));
            }
    }

    auto run_for(milliseconds time)->void
    {
        for (auto const end = now + time; now < end;)
            advance();
    }

    // Time until the condition holds, at most the bound.
    auto time_until(milliseconds bound, std::function<bool()> const& condition)->milliseconds
    {
        auto const begun = now;
        while (!condition() && now - begun < bound)
            advance();
        CHECK(condition());
        return std::chrono::duration_cast<milliseconds>(now - begun);
    }

    auto observe_crash(std::size_t number, std::string const& segment)->void
    {
        auto const suspects = std::vector<crash_suspect>{{{"m", {segment}}, {}}};
        auto& entry = *fleet[number];
        CHECK(entry.quarantine.record_crash(run_id("i-1", 17), suspects, now));
        entry.gossip.on_change(now);
    }

    static auto state_at(simulated_entry const& entry, std::string const& segment, time_point at)
        ->std::optional<segment_state>
    {
        for (auto const& status : entry.quarantine.status(at))
            if (status.segment == segment) return status.state;
        return std::nullopt;
    }

    auto all_have(std::string const& segment, segment_state state)->bool
    {
        return std::all_of(fleet.begin(), fleet.end(),
                           [&](auto const& each) { return state_at(*each, segment, now) == state; });
    }
};

TEST(quarantine_gossip, entries_without_records_send_nothing)
{
    start_fleet(3);
    run_for(seconds{5});
    CHECK_EQUAL(0U, sent);
}

TEST(quarantine_gossip, a_crash_is_known_to_a_small_fleet_as_soon_as_one_datagram_arrives)
{
    start_fleet(16);
    run_for(seconds{1});
    observe_crash(4, "s-1");
    auto const time = time_until(seconds{1}, [&] { return all_have("s-1", segment_state::suspected); });
    CHECK(time <= 2 * step);
}

TEST(quarantine_gossip, in_a_large_fleet_a_crash_spreads_from_entry_to_entry)
{
    start_fleet(150);
    run_for(seconds{1});
    observe_crash(4, "s-1");
    auto const time = time_until(seconds{3}, [&] { return all_have("s-1", segment_state::suspected); });
    CHECK(time <= milliseconds{1'000});
}

// Guards against evidence that stops at the entry that observed it.
TEST(quarantine_gossip, entries_that_do_not_reach_each_other_learn_through_a_third)
{
    start_fleet(3);
    is_lost = [](auto const& each) { return each.from + each.to == 1; }; // between the first two
    run_for(seconds{1});
    observe_crash(0, "s-1");
    auto const time = time_until(seconds{1}, [&] { return all_have("s-1", segment_state::suspected); });
    CHECK(time <= milliseconds{50});
}

TEST(quarantine_gossip, with_half_of_the_datagrams_lost_every_entry_learns_and_clears)
{
    start_fleet(16);
    is_lost = [this](auto const&) { return random.fraction() < 0.5; };
    observe_crash(0, "s-1");
    time_until(seconds{3}, [&] { return all_have("s-1", segment_state::suspected); });
    CHECK(fleet[5]->quarantine.clear("m", "s-1", now));
    fleet[5]->gossip.on_change(now);
    time_until(seconds{3}, [&] { return all_have("s-1", segment_state::cleared); });
}

TEST(quarantine_gossip, an_entry_that_has_just_started_learns_from_repeats)
{
    start_fleet(6);
    observe_crash(0, "s-1");
    run_for(seconds{10});
    add_entry();
    list_entries();
    CHECK(time_until(seconds{3}, [&] { return all_have("s-1", segment_state::suspected); }) <= seconds{1});
    // It ends and starts again under its listed name and address.
    auto const listed = fleet.back()->listed;
    run_for(seconds{5});
    fleet.back() = std::make_unique<simulated_entry>(listed, random);
    time_until(seconds{4}, [&] { return all_have("s-1", segment_state::suspected); });
}

// More records than one round of repeats carries.
TEST(quarantine_gossip, many_records_all_reach_an_entry_that_missed_the_changes)
{
    start_fleet(2);
    is_lost = [](auto const&) { return true; };
    for (auto i = 0; i < 200; ++i)
        observe_crash(0, "segment-with-a-name-of-some-length-" + std::to_string(i));
    run_for(seconds{1});
    is_lost = [](auto const&) { return false; };
    time_until(seconds{10}, [&] { return fleet[1]->quarantine.status(now).size() == 200; });
}

// A change of one record is small however many are known.
TEST(quarantine_gossip, a_change_carries_only_what_changed)
{
    start_fleet(2);
    for (auto i = 0; i < 200; ++i)
        observe_crash(0, "segment-with-a-name-of-some-length-" + std::to_string(i));
    run_for(milliseconds{100});
    observe_crash(0, "s-1");
    sent = 0;
    now += milliseconds{20};
    send_round_of(0);
    CHECK_EQUAL(1U, sent);
}

TEST(quarantine_gossip, entries_without_a_peer_address_are_left_out)
{
    add_entry();
    auto const others = std::vector<listed_entry>{fleet[0]->listed, {"e2", "north"}};
    fleet[0]->gossip.set_entries(others, now);
    observe_crash(0, "s-1");
    CHECK(fleet[0]->gossip.take_due_round(now).targets.empty());
}
