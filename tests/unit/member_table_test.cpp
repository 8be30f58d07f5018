// Contradicting reports about members: the newer truth must win, whatever the order of arrival.
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

// Guards against new work for a host that is leaving.
TEST(member_table, leaving_wins_over_alive_of_the_same_incarnation)
{
    CHECK(table.merge(report(10, member_state::leaving), now));
    CHECK(!table.merge(report(10, member_state::alive), now));
    table.probe_answered(report(10, member_state::alive), now);
    CHECK(state() == member_state::leaving);
    CHECK_EQUAL(2, changes);
}

TEST(member_table, a_higher_incarnation_wins_over_everything)
{
    table.merge(report(10, member_state::dead), now);
    CHECK(!table.merge(report(9, member_state::alive), now));
    CHECK(table.merge(report(11, member_state::alive), now));
    CHECK(state() == member_state::alive);
}

TEST(member_table, three_missed_probes_make_suspect_and_time_makes_dead)
{
    table.probe_missed("host-1", now);
    table.probe_missed("host-1", now);
    CHECK(state() == member_state::alive);
    CHECK_EQUAL(1U, table.doubtful().size());
    table.probe_missed("host-1", now);
    CHECK(state() == member_state::suspect);
    table.expire(now + milliseconds{4'900});
    CHECK(state() == member_state::suspect);
    table.expire(now + seconds{5});
    CHECK(state() == member_state::dead);
    table.expire(now + seconds{66});
    CHECK(table.find("host-1") == nullptr);
}

TEST(member_table, an_answer_ends_the_suspicion)
{
    for (auto i = 0; i < 3; ++i)
        table.probe_missed("host-1", now);
    table.probe_answered(report(10, member_state::alive), now);
    CHECK(state() == member_state::alive);
    CHECK(table.doubtful().empty());
}

// Guards against a live process that stays suspect or dead by rumour, such as one that was paused.
TEST(member_table, a_rumour_about_oneself_is_refuted)
{
    auto const self = report(10, member_state::alive);
    CHECK_EQUAL(11U, refuting_incarnation(self, report(10, member_state::suspect)));
    CHECK_EQUAL(13U, refuting_incarnation(self, report(12, member_state::dead)));
    CHECK_EQUAL(10U, refuting_incarnation(self, report(9, member_state::dead)));
    CHECK_EQUAL(10U, refuting_incarnation(self, report(10, member_state::alive)));
}

// Guards against the host list's lag taking a restarted process out of service.
TEST(member_table, an_old_word_of_the_host_list_does_not_count_again)
{
    auto listed = std::vector<member>{report(0, member_state::leaving)};
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::leaving);
    table.merge(report(11, member_state::alive), now); // started anew
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::alive);
    listed[0].state = member_state::alive;
    table.merge_host_list(listed, now);
    listed[0].state = member_state::leaving;
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::leaving);
}

// Guards against an exchange that grows with the fleet, and against news that is starved.
TEST(member_table, passes_on_a_bounded_number_with_the_newest_first)
{
    for (auto i = 0; i < 100; ++i) {
        auto peer = report(1, member_state::alive);
        peer.name = "peer-" + std::to_string(i);
        table.merge(peer, now);
    }
    for (auto i = 0; i < 100; ++i)
        CHECK_EQUAL(4U, table.news(4).size());
    table.merge(report(10, member_state::leaving), now);
    STRCMP_EQUAL("host-1", table.news(4).front().name.c_str());
}

// Guards against exchanges that repeat unchanged members, whose bytes grow with the fleet.
TEST(member_table, a_quiet_table_has_no_news)
{
    for (auto i = 0; i < 8; ++i)
        CHECK_EQUAL(1U, table.news(4).size());
    CHECK(table.news(4).empty());
    CHECK(!table.has_fresh_news());
    table.merge(report(10, member_state::suspect), now);
    CHECK(table.has_fresh_news());
    CHECK_EQUAL(1U, table.news(4).size());
}

// Guards against a starting process that passes on the whole host list as news.
TEST(member_table, hosts_of_the_list_are_no_news)
{
    for (auto i = 0; i < 8; ++i)
        table.news(4);
    auto listed = std::vector<member>{report(0, member_state::alive)};
    listed[0].name = "peer-1";
    table.merge_host_list(listed, now);
    CHECK(table.news(4).empty());
    auto own_word = report(5, member_state::alive);
    own_word.name = "peer-1";
    table.merge(own_word, now);
    CHECK(table.news(4).empty());
    own_word.state = member_state::leaving;
    table.merge(own_word, now);
    CHECK_EQUAL(1U, table.news(4).size());
}

// Guards against a late reader of the host list that holds an earlier life's "leaving" against the next one.
TEST(member_table, a_rumour_of_leaving_counts_as_the_list_s_word)
{
    auto const listed = std::vector<member>{report(0, member_state::leaving)};
    table.merge(report(10, member_state::leaving), now);
    table.merge(report(11, member_state::alive), now);
    table.merge_host_list(listed, now);
    CHECK(state() == member_state::alive);
}

// Guards against tables that differ for good: equal digests end the repair.
TEST(member_table, equal_tables_have_equal_digests)
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
    CHECK(first.digest(named("a")) == second.digest(named("b"))); // a suspicion is no difference
    auto leaving = named("c");
    leaving.state = member_state::leaving;
    first.merge(leaving, now);
    CHECK(first.digest(named("a")) != second.digest(named("b")));
}

TEST(member_table, refresh_reaches_every_member_in_turn)
{
    auto seen = std::set<std::string>{};
    for (auto i = 0; i < 9; ++i) {
        auto peer = report(1, member_state::alive);
        peer.name = "peer-" + std::to_string(i);
        table.merge(peer, now);
    }
    for (auto i = 0; i < 5; ++i)
        for (auto const& item : table.refresh(2))
            seen.insert(item.name);
    CHECK_EQUAL(10U, seen.size());
    CHECK_EQUAL(10U, table.refresh(100).size());
}

TEST(member_table, picks_live_and_dead_members_by_index)
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
