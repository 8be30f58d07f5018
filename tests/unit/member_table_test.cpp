// Contradicting reports about members: the newer truth must win, whatever the order of arrival.
#include "hibiscuswall/membership/member_table.hpp"

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
