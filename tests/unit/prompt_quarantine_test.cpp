// Which prompt segments one entry suspects and quarantines. Time is made up.
#include "support/quarantine_entry_base.hpp"

#include "hibiscuswall/core/sha256.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

// ---- suspicion

TEST_GROUP_BASE(prompt_suspicion, quarantine_entry_base){};

// Guards against engines that crash again and again by calls with the same segment.
TEST(prompt_suspicion, a_segment_that_crashes_three_engines_in_turn_is_quarantined)
{
    auto const call = call_with({"bad"});
    CHECK(is<send_allowed>(decide(call)));
    crash(entry, call);
    CHECK(is<send_allowed>(decide(call)));
    crash(entry, call);
    CHECK(is_tried(call));
    crash(entry, call);
    CHECK(is_rejected(call));
    CHECK(entry.is_quarantined(call, now));
    CHECK(entry.is_quarantined(call_with({"other", "bad"}), now));
    CHECK_FALSE(entry.is_quarantined({"other model", {"bad"}}, now));
}

// Guards against coincidence: nine engines that end at once for another reason are nine crashes at once.
TEST(prompt_suspicion, a_segment_in_nine_crashes_at_once_is_only_suspected)
{
    auto const suspects =
        std::vector<crash_suspect>{{call_with({"a", "b"}), {}}, {call_with({"b", "c"}), {}}};
    for (auto run = 1U; run <= 9; ++run)
        CHECK(entry.record_crash(run, suspects, now));
    for (auto const* const segment : {"a", "b", "c"})
        CHECK_EQUAL(1, status_of(segment).generation);
    CHECK(is<send_allowed>(decide(call_with({"a", "b", "c"}))));
}

// Guards against a generation that rises with calls that were sent before anything was known.
TEST(prompt_suspicion, a_call_sent_before_suspicion_that_crashes_later_does_not_raise_the_generation)
{
    auto const early = crash_suspect{call_with({"bad"}), entry.suspicion_of(call_with({"bad"}))};
    crash(entry, call_with({"bad"}));
    for (auto i = 0; i < 5; ++i)
        entry.record_crash(++last_run, {&early, 1}, now);
    CHECK_EQUAL(1, status_of("bad").generation);
}

// Guards against an old suspicion that counts after the segment was cleared.
TEST(prompt_suspicion, a_call_sent_under_a_suspicion_that_was_cleared_since_starts_at_generation_1)
{
    crash_times(2, call_with({"s"}));
    auto const sent = crash_suspect{call_with({"s"}), entry.suspicion_of(call_with({"s"}))};
    CHECK(entry.record_progress(call_with({"s"}), now));
    entry.record_crash(++last_run, {&sent, 1}, now);
    CHECK_EQUAL(1, status_of("s").generation);
}

// Guards against one crash that counts several times.
TEST(prompt_suspicion, several_calls_of_one_run_make_one_mark_of_the_highest_generation)
{
    crash_times(1, call_with({"s"}));
    auto const suspects = std::vector<crash_suspect>{
        {call_with({"s", "s"}), {0, 0}}, {call_with({"s"}), {1}}, {call_with({"s"}), {0}}};
    CHECK(entry.record_crash(77, suspects, now));
    CHECK_FALSE(entry.record_crash(77, suspects, now));
    CHECK_EQUAL(2, status_of("s").generation);
    CHECK_EQUAL(2, status_of("s").crashes);
}

// Guards against one crash that raises itself because its evidence arrives in parts.
TEST(prompt_suspicion, a_mark_does_not_raise_the_generation_of_a_mark_of_the_same_run)
{
    auto const first = crash_suspect{call_with({"s"}), {}};
    auto const second = crash_suspect{call_with({"s"}), {1}};
    entry.record_crash(7, {&first, 1}, now);
    CHECK_FALSE(entry.record_crash(7, {&second, 1}, now));
    CHECK_EQUAL(1, status_of("s").generation);
}

// Guards against segments that most calls share becoming suspect by being in every crash.
TEST(prompt_suspicion, a_segment_that_other_calls_share_is_cleared_by_the_next_response)
{
    for (auto i = 0; i < 10; ++i) {
        crash(entry, call_with({"shared", "bad"}));
        entry.record_progress(call_with({"shared"}), now);
    }
    CHECK(state_of("shared") == segment_state::cleared);
    CHECK(is<send_allowed>(decide(call_with({"shared"}))));
    CHECK(is_rejected(call_with({"shared", "bad"})));
}

// Guards against a crash that is reported again and undoes what a response has shown.
TEST(prompt_suspicion, a_cleared_mark_stays_cleared_when_the_same_crash_is_recorded_again)
{
    crash(entry, call_with({"s"}));
    CHECK(entry.record_progress(call_with({"s"}), now));
    CHECK_FALSE(entry.record_progress(call_with({"s"}), now));
    auto const again = crash_suspect{call_with({"s"}), {}};
    CHECK_FALSE(entry.record_crash(last_run, {&again, 1}, now));
    CHECK_EQUAL(0, status_of("s").generation);
}

// Guards against suspicion that outlives its cause.
TEST(prompt_suspicion, marks_below_the_quarantine_generation_expire)
{
    crash_times(2, call_with({"s"}));
    now += settings.suspicion_lifetime;
    entry.remove_expired(now);
    CHECK(entry.empty());
    CHECK(is<send_allowed>(decide(call_with({"s"}))));
}

// Guards against long ids that fill the memory, or that are cut so that two callers' ids become one.
TEST(prompt_suspicion, a_long_segment_id_is_replaced_by_its_digest)
{
    auto const prefix = std::string(100, 'x');
    auto const call = shared_prompt{"model", {prefix + "1"}};
    crash_times(3, call);
    CHECK(is_rejected(call));
    CHECK(is<send_allowed>(decide({"model", {prefix + "2"}})));
    CHECK(state_of(sha256(prefix + "1")) == segment_state::quarantined);
    CHECK(entry.clear("model", prefix + "1", now));
    CHECK(is<send_allowed>(decide(call)));
}

// Guards against two crashes of one endpoint, or of two, that are taken for one.
TEST(prompt_suspicion, a_run_is_identified_by_endpoint_and_start)
{
    CHECK(run_id("endpoint-1", 1'000) == run_id("endpoint-1", 1'000));
    CHECK(run_id("endpoint-1", 1'000) != run_id("endpoint-1", 2'000));
    CHECK(run_id("endpoint-1", 1'000) != run_id("endpoint-11", 1'000));
    CHECK(run_id("endpoint-1", 1'000) != run_id("endpoint-11", 0));
}

// ---- which segment of a call is meant

TEST_GROUP_BASE(prompt_quarantine_groups, quarantine_entry_base){};

// Guards against a caller that gets another caller's segment rejected by sending it with a crashing one.
TEST(prompt_quarantine_groups, a_segment_always_sent_with_a_crashing_one_is_tried_alone_and_cleared)
{
    crash_times(3, call_with({"bad", "victim"}));
    CHECK(is_rejected(call_with({"bad", "victim"})));
    CHECK(is_tried(call_with({"victim"})));
    CHECK(is_tried(call_with({"victim", "other"})));
    entry.record_progress(call_with({"victim"}), now);
    CHECK(is<send_allowed>(decide(call_with({"victim"}))));
    CHECK(is_rejected(call_with({"bad"})));
}

// Guards against a crashing segment that is kept out of quarantine by what was sent with it.
TEST(prompt_quarantine_groups, the_segment_of_a_group_that_crashes_alone_is_quarantined_and_explains_the_rest)
{
    crash_times(3, call_with({"bad", "victim"}));
    CHECK(is_tried(call_with({"bad"})));
    crash(entry, call_with({"bad"}));
    CHECK(is_rejected(call_with({"bad"})));
    CHECK(state_of("victim") == segment_state::explained);
    CHECK(is_tried(call_with({"victim"})));
}

// Guards against a sound segment that is rejected because it was in several of the crashes.
TEST(prompt_quarantine_groups, a_segment_that_was_in_some_of_the_crashes_is_explained)
{
    crash(entry, call_with({"bad"}));
    crash_times(3, call_with({"bad", "sound"}));
    CHECK(state_of("sound") == segment_state::explained);
    CHECK(is_tried(call_with({"sound"})));
    CHECK(is_rejected(call_with({"bad"})));
}

// Guards against evidence that expires in part, after which a crashing segment and a sound one look alike.
TEST(prompt_quarantine_groups, a_quarantined_segment_keeps_its_marks_of_lower_generations)
{
    auto const sent_early = crash_suspect{call_with({"bad"}), {}};
    crash(entry, call_with({"bad", "sound"}));
    entry.record_crash(++last_run, {&sent_early, 1}, now);
    crash_times(2, call_with({"bad", "sound"}));
    now += settings.suspicion_lifetime;
    entry.remove_expired(now);
    CHECK(state_of("sound") == segment_state::explained);
    CHECK(is_rejected(call_with({"bad"})));
}

// Guards against a sound segment that is rejected because the crashing one was on trial less often.
TEST(prompt_quarantine_groups, a_segment_is_explained_by_one_of_a_lower_generation_in_more_crashes)
{
    for (auto run = 1U; run <= 4; ++run) {
        auto const generation = static_cast<int>(run) - 1;
        auto const suspects = std::vector<crash_suspect>{{call_with({"bad"}), {}}, // sent early
                                                         {call_with({"sound"}), {generation}}};
        entry.record_crash(run, std::span{suspects}.first(run == 1 ? 1 : 2), now);
    }
    CHECK_EQUAL(1, status_of("bad").generation);
    CHECK(state_of("sound") == segment_state::explained);
}

// Guards against a sound segment that is rejected because two others crashed the engines in turn.
TEST(prompt_quarantine_groups, a_segment_whose_crashes_two_others_explain_together_is_tried)
{
    crash_times(2, call_with({"bad 1"}));
    crash_times(2, call_with({"bad 2"}));
    crash(entry, call_with({"bad 1", "sound"}));
    crash(entry, call_with({"bad 2", "sound"}));
    crash(entry, call_with({"bad 1", "sound"}));
    CHECK(is_rejected(call_with({"bad 1"})));
    CHECK(is_rejected(call_with({"bad 2"})));
    CHECK(state_of("sound") == segment_state::explained);
    CHECK(is_tried(call_with({"sound"})));
}

// Guards against a sound segment that is rejected because another engine ended during its trial.
TEST(prompt_quarantine_groups, a_segment_with_a_single_crash_that_no_other_explains_is_tried)
{
    crash(entry, call_with({"bad"}));
    crash_times(2, call_with({"bad", "sound"}));
    crash(entry, call_with({"sound"})); // on trial; the engine ended for another reason
    crash(entry, call_with({"bad"}));
    CHECK_EQUAL(3, status_of("sound").generation);
    CHECK(is_tried(call_with({"sound"})));
    CHECK(is_rejected(call_with({"bad"})));
}

// Guards against a second crashing segment that hides behind the first.
TEST(prompt_quarantine_groups, an_explained_segment_that_crashes_two_engines_by_itself_is_quarantined)
{
    crash_times(2, call_with({"bad 1"}));
    crash_times(3, call_with({"bad 1", "bad 2"}));
    CHECK(is_tried(call_with({"bad 2"})));
    crash(entry, call_with({"bad 2"}));
    CHECK(is_tried(call_with({"bad 2"})));
    crash(entry, call_with({"bad 2"}));
    CHECK(is_rejected(call_with({"bad 1"})));
    CHECK(is_rejected(call_with({"bad 2"})));
}

// Guards against two crashing segments that explain each other for ever.
TEST(prompt_quarantine_groups, two_segments_first_seen_together_are_both_quarantined_after_two_crashes_each)
{
    crash_times(3, call_with({"bad 1", "bad 2"}));
    auto trials = 0;
    for (auto i = 0; i < 10; ++i)
        for (auto const* const segment : {"bad 1", "bad 2"}) {
            if (!is_tried(call_with({segment}))) continue;
            crash(entry, call_with({segment}));
            ++trials;
        }
    CHECK_EQUAL(4, trials);
    CHECK(is_rejected(call_with({"bad 1"})));
    CHECK(is_rejected(call_with({"bad 2"})));
}

// Guards against work that grows with the length of a call's list of segments.
TEST(prompt_quarantine_groups, only_the_first_segments_of_a_call_are_looked_at)
{
    crash_times(3, call_with({"bad"}));
    auto long_call = shared_prompt{"model", std::vector<std::string>(settings.max_call_segments, "filler")};
    long_call.segments.emplace_back("bad");
    CHECK(is<send_allowed>(decide(long_call)));
    long_call.segments[settings.max_call_segments - 1] = "bad";
    CHECK(is_rejected(long_call));
}
