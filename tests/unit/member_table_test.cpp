// Contradicting reports about members: the most recent state must win, whatever the order of arrival.
#include "hibiscuswall/membership/member_table.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(member_table)
{
    time_point now{seconds{100}};
    membership_settings settings;
    member_table table{settings};
    int changes = 0;

    static auto report(std::uint64_t incarnation, member_state state)->member
    {
        auto made = member{};
        made.name = "host-1";
        made.incarnation = incarnation;
        made.state = state;
        return made;
    }
    auto state()->member_state { return table.find("host-1")->state; }

    void setup() override
    {
        table.subscribe([this](member const&) { ++changes; });
        table.merge(report(10, member_state::alive), now);
    }
};

// Guards against new calls to a host that is leaving.
TEST(member_table, leaving_overrides_alive_of_same_incarnation)
{
    CHECK(table.merge(report(10, member_state::leaving), now));
    CHECK(!table.merge(report(10, member_state::alive), now));
    table.probe_succeeded(report(10, member_state::alive), now);
    CHECK(state() == member_state::leaving);
    CHECK_EQUAL(2, changes);
}

TEST(member_table, higher_incarnation_overrides_any_state)
{
    table.merge(report(10, member_state::dead), now);
    CHECK(!table.merge(report(9, member_state::alive), now));
    CHECK(table.merge(report(11, member_state::alive), now));
    CHECK(state() == member_state::alive);
}

TEST(member_table, becomes_suspect_after_three_missed_probes_then_dead_then_removed)
{
    table.probe_missed("host-1", now);
    table.probe_missed("host-1", now);
    CHECK(state() == member_state::alive);
    CHECK_EQUAL(1U, table.members_with_missed_probes().size());
    table.probe_missed("host-1", now);
    CHECK(state() == member_state::suspect);
    table.expire(now + milliseconds{4'900});
    CHECK(state() == member_state::suspect);
    table.expire(now + seconds{5});
    CHECK(state() == member_state::dead);
    table.expire(now + seconds{66});
    CHECK(table.find("host-1") == nullptr);
}

TEST(member_table, successful_probe_ends_suspicion)
{
    for (auto i = 0; i < 3; ++i)
        table.probe_missed("host-1", now);
    table.probe_succeeded(report(10, member_state::alive), now);
    CHECK(state() == member_state::alive);
    CHECK(table.members_with_missed_probes().empty());
}

// Guards against a live process that stays suspect or dead because of a false report, such as one that was
// paused.
TEST(member_table, false_report_about_self_is_refuted)
{
    auto const self = report(10, member_state::alive);
    CHECK_EQUAL(11U, refuting_incarnation(self, report(10, member_state::suspect)));
    CHECK_EQUAL(13U, refuting_incarnation(self, report(12, member_state::dead)));
    CHECK_EQUAL(10U, refuting_incarnation(self, report(9, member_state::dead)));
    CHECK_EQUAL(10U, refuting_incarnation(self, report(10, member_state::alive)));
}

// Guards against a restarted process that is taken out of service because the host list is delayed.
TEST(member_table, stale_leaving_in_host_list_does_not_count_again)
{
    auto listed = std::vector<member>{report(0, member_state::leaving)};
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::leaving);
    table.merge(report(11, member_state::alive), now); // the process restarted
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::alive);
    listed[0].state = member_state::alive;
    table.merge_host_list(listed, now);
    listed[0].state = member_state::leaving;
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::leaving);
}

// Guards against an exchange that grows with the number of hosts, and against updates that are never sent.
TEST(member_table, updates_are_bounded_with_newest_first)
{
    for (auto i = 0; i < 100; ++i) {
        auto peer = report(1, member_state::alive);
        peer.name = "peer-" + std::to_string(i);
        table.merge(peer, now);
    }
    for (auto i = 0; i < 100; ++i)
        CHECK_EQUAL(4U, table.updates(4).size());
    table.merge(report(10, member_state::leaving), now);
    STRCMP_EQUAL("host-1", table.updates(4).front().name.c_str());
}

// Guards against exchanges that repeat unchanged members, whose size grows with the number of hosts.
TEST(member_table, updates_end_when_nothing_changes)
{
    for (auto i = 0; i < 8; ++i)
        CHECK_EQUAL(1U, table.updates(4).size());
    CHECK(table.updates(4).empty());
    CHECK(!table.has_pending_updates());
    table.merge(report(10, member_state::suspect), now);
    CHECK(table.has_pending_updates());
    CHECK_EQUAL(1U, table.updates(4).size());
}

// Guards against a starting process that sends the complete host list as updates.
TEST(member_table, hosts_from_list_are_no_updates)
{
    for (auto i = 0; i < 8; ++i)
        table.updates(4);
    auto listed = std::vector<member>{report(0, member_state::alive)};
    listed[0].name = "peer-1";
    table.merge_host_list(listed, now);
    CHECK(table.updates(4).empty());
    auto own_report = report(5, member_state::alive);
    own_report.name = "peer-1";
    table.merge(own_report, now);
    CHECK(table.updates(4).empty());
    own_report.state = member_state::leaving;
    table.merge(own_report, now);
    CHECK_EQUAL(1U, table.updates(4).size());
}

// Guards against a process that reads the host list late and applies the "leaving" of an earlier incarnation
// to the next one.
TEST(member_table, reported_leaving_counts_as_listed_leaving)
{
    auto const listed = std::vector<member>{report(0, member_state::leaving)};
    table.merge(report(10, member_state::leaving), now);
    table.merge(report(11, member_state::alive), now);
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::alive);
}

// Guards against tables that stay different: equal digests end the repair, so they must mean equal tables.
TEST(member_table, digests_are_equal_for_equal_tables)
{
    auto const named = [](char const* name) {
        auto made = report(10, member_state::alive);
        made.name = name;
        return made;
    };
    auto first = member_table{settings};
    auto second = member_table{settings};
    first.merge(named("b"), now);
    first.merge(named("c"), now);
    second.merge(named("c"), now);
    CHECK(first.digest(named("a")) != second.digest(named("b")));
    second.merge(named("a"), now);
    CHECK(first.digest(named("a")) == second.digest(named("b")));
    first.probe_missed("c", now);
    first.probe_missed("c", now);
    first.probe_missed("c", now);
    CHECK(first.find("c")->state == member_state::suspect);
    CHECK(first.digest(named("a")) == second.digest(named("b"))); // suspect and alive count as the same state
    auto leaving = named("c");
    leaving.state = member_state::leaving;
    first.merge(leaving, now);
    CHECK(first.digest(named("a")) != second.digest(named("b")));
}

TEST(member_table, rotation_returns_every_member_in_turn)
{
    auto seen = std::set<std::string>{};
    for (auto i = 0; i < 9; ++i) {
        auto peer = report(1, member_state::alive);
        peer.name = "peer-" + std::to_string(i);
        table.merge(peer, now);
    }
    for (auto i = 0; i < 5; ++i)
        for (auto const& item : table.next_in_rotation(2))
            seen.insert(item.name);
    CHECK_EQUAL(10U, seen.size());
    CHECK_EQUAL(10U, table.next_in_rotation(100).size());
}

TEST(member_table, finds_live_and_dead_members_by_index)
{
    auto peer = report(1, member_state::alive);
    peer.name = "peer";
    table.merge(peer, now);
    table.merge(report(10, member_state::dead), now);
    STRCMP_EQUAL("peer", table.nth(0, false)->name.c_str());
    STRCMP_EQUAL("host-1", table.nth(0, true)->name.c_str());
    CHECK(table.nth(1, false) == nullptr);
    auto const counts = table.counts("");
    CHECK_EQUAL(1U, counts.alive);
    CHECK_EQUAL(1U, counts.live);
    CHECK_EQUAL(1U, counts.dead);
    CHECK_EQUAL(1U, counts.in_failure_domain);
}
