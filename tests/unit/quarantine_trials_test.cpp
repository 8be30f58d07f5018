// Trials of suspected prompt segments: by which entry, when, how many, and what follows. Time is made up.
#include "support/quarantine_entry_base.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto const bad = call_with({"bad"});

// Entries of a fleet in the order in which they may try the segment "bad".
struct trial_base : quarantine_entry_base {
    std::vector<std::string> names{"entry-0", "entry-1", "entry-2"};
    std::vector<prompt_quarantine> ranked;

    trial_base()
    {
        for (auto const& name : rendezvous_rank("model/bad", names))
            ranked.emplace_back(settings, name).set_entries(names);
    }

    // Crashes engines at the first entry; the others learn of each crash at once.
    auto crash_everywhere(int times) -> void
    {
        for (auto i = 0; i < times; ++i) {
            crash(ranked.front(), bad);
            for (auto& other : ranked)
                exchange(ranked.front(), other);
        }
    }

    auto count_tried() -> long
    {
        return std::count_if(ranked.begin(), ranked.end(), [&](auto& at) { return is_tried(at, bad); });
    }

    auto is_rejected_everywhere() -> bool
    {
        return std::all_of(ranked.begin(), ranked.end(),
                           [&](auto& at) { return is<send_quarantined>(at.decide(bad, now)); });
    }
};

} // namespace

// ---- while a segment is suspected

TEST_GROUP_BASE(quarantine_trials, trial_base){};

// Guards against several engines that are lost to one trial.
TEST(quarantine_trials, one_call_at_a_time_is_on_trial_and_others_are_held)
{
    crash_times(2, bad);
    auto const first = decide(bad);
    CHECK(is<send_on_trial>(first));
    auto const second = decide(bad);
    CHECK(is<send_held>(second));
    CHECK_EQUAL(settings.held_retry_after.count(), std::get<send_held>(second).retry_after.count());
    CHECK(std::get<send_held>(second).segment == "bad");
    entry.end_trial("model", std::get<send_on_trial>(first).segments);
    CHECK(is<send_on_trial>(decide(bad)));
}

// Guards against a trial of several segments of which some stay taken.
TEST(quarantine_trials, a_call_with_several_suspected_segments_is_one_trial_of_all_of_them)
{
    auto const both = call_with({"a", "b", "a"});
    crash_times(2, both);
    auto const decision = decide(both);
    CHECK(is<send_on_trial>(decision));
    auto const& segments = std::get<send_on_trial>(decision).segments;
    CHECK(segments == (std::vector<std::string>{"a", "b"}));
    CHECK(is<send_held>(decide(call_with({"a"}))));
    CHECK(is<send_held>(decide(call_with({"b"}))));
    entry.end_trial("model", segments);
    CHECK(is_tried(call_with({"a"})));
    CHECK(is_tried(call_with({"b"})));
}

// Guards against a call that is held or tried although it would be rejected in any case.
TEST(quarantine_trials, quarantined_goes_before_held_and_held_before_trial)
{
    crash_times(2, call_with({"tried"}));
    crash_times(2, call_with({"held"}));
    crash_times(3, bad);
    CHECK(is<send_on_trial>(decide(call_with({"held"}))));
    CHECK(is<send_held>(decide(call_with({"tried", "held"}))));
    CHECK(is<send_quarantined>(decide(call_with({"tried", "held", "bad"}))));
    CHECK(is_tried(call_with({"tried"}))); // the rejected call took no trial
}

// Guards against every entry of the fleet losing an engine to its own trial.
TEST(quarantine_trials, the_entry_of_rank_n_waits_n_times_the_delay)
{
    crash_everywhere(2);
    CHECK(is_tried(ranked[0], bad));
    CHECK(is<send_held>(ranked[1].decide(bad, now)));
    now += settings.trial_rank_delay;
    CHECK(is_tried(ranked[1], bad));
    CHECK(is<send_held>(ranked[2].decide(bad, now)));
    now += settings.trial_rank_delay;
    CHECK(is_tried(ranked[2], bad));
}

// Guards against two entries of rank 0 while a new entry is not listed yet.
TEST(quarantine_trials, an_entry_that_is_not_in_the_list_ranks_last)
{
    crash_everywhere(2);
    auto unlisted = prompt_quarantine{settings, "entry-9"};
    unlisted.set_entries(names);
    exchange(ranked[0], unlisted);
    now += settings.trial_rank_delay * 3 - milliseconds{1};
    CHECK(is<send_held>(unlisted.decide(bad, now)));
    now += milliseconds{1};
    CHECK(is_tried(unlisted, bad));
}

// Guards against a segment that stays suspect at entries which did not see the outcome.
TEST(quarantine_trials, a_trial_that_succeeds_frees_the_segment_at_every_entry)
{
    crash_everywhere(2);
    CHECK(ranked[0].record_progress(bad, now));
    for (auto& other : ranked) {
        exchange(ranked[0], other);
        CHECK(is<send_allowed>(other.decide(bad, now)));
    }
}

// ---- after the quarantine time

TEST_GROUP_BASE(quarantine_time_passed, trial_base){};

// Guards against quarantines that never end, and against a trial at each entry when one does.
TEST(quarantine_time_passed, the_entry_of_rank_0_alone_tries_the_segment_again)
{
    crash_everywhere(3);
    now += settings.quarantine_time - milliseconds{1};
    CHECK(is_rejected_everywhere());
    now += milliseconds{1};
    CHECK(is_tried(ranked[0], bad));
    now += settings.trial_rank_delay * 10;
    CHECK_EQUAL(1, count_tried());
    CHECK(is<send_quarantined>(ranked[1].decide(bad, now)));
}

// Guards against segments of one group whose first entries differ, so that no entry could ever try a call.
TEST(quarantine_time_passed, a_call_with_a_whole_group_is_tried_by_one_entry)
{
    auto const both = call_with({"bad", "companion"});
    for (auto i = 0; i < 3; ++i)
        crash(ranked[0], both);
    now += settings.quarantine_time;
    auto tried = 0;
    for (auto& each : ranked) {
        exchange(ranked[0], each);
        tried += is_tried(each, both) ? 1 : 0;
    }
    CHECK_EQUAL(1, tried);
}

// Guards against engines that are lost again and again, once in each quarantine time.
TEST(quarantine_time_passed, each_crash_on_trial_doubles_the_quarantine_time_up_to_its_maximum)
{
    crash_times(3, bad);
    for (auto const expected : {600, 1'200, 2'400, 3'600, 3'600}) {
        CHECK_EQUAL(seconds{expected}.count() * 1'000, status_of("bad").trial_in.count());
        now += seconds{expected} - milliseconds{1};
        CHECK(is_rejected(bad));
        now += milliseconds{1};
        CHECK(is_tried(bad));
        crash(entry, bad);
    }
}

// Guards against callers that are rejected although new weights no longer crash.
TEST(quarantine_time_passed, other_weights_make_trials_due_within_a_minute)
{
    crash_times(3, bad);
    now += seconds{30};
    entry.on_weights_declared("other model", now);
    now += settings.weights_trial_delay;
    CHECK(is_rejected(bad));
    entry.on_weights_declared("model", now);
    CHECK_EQUAL(settings.weights_trial_delay.count(), status_of("bad").trial_in.count());
    now += settings.weights_trial_delay;
    CHECK(is_tried(bad));
    crash(entry, bad); // the new weights crash, too
    now += settings.weights_trial_delay;
    CHECK(is_rejected(bad));
}

// Guards against other weights that make a quarantine longer.
TEST(quarantine_time_passed, other_weights_do_not_delay_a_trial_that_is_due_earlier)
{
    crash_times(3, bad);
    now += settings.quarantine_time - seconds{10};
    entry.on_weights_declared("model", now);
    now += seconds{10};
    CHECK(is_tried(bad));
}

// Guards against a segment that is forgotten while callers still ask, and one that is never forgotten.
TEST(quarantine_time_passed, a_segment_that_nobody_asks_for_is_forgotten_after_the_lifetime_of_its_trial)
{
    crash_times(3, bad);
    now += settings.quarantine_time + settings.trial_due_lifetime - milliseconds{1};
    entry.remove_expired(now);
    CHECK_EQUAL(3, status_of("bad").generation);
    now += milliseconds{1};
    entry.remove_expired(now);
    CHECK(entry.empty());
}

// Guards against a sound segment that stays quarantined after a trial has shown it.
TEST(quarantine_time_passed, a_trial_that_succeeds_ends_the_quarantine)
{
    crash_times(3, bad);
    now += settings.quarantine_time;
    auto const decision = decide(bad);
    CHECK(is<send_on_trial>(decision));
    CHECK(is<send_held>(decide(bad)));
    CHECK(entry.record_progress(bad, now));
    entry.end_trial("model", std::get<send_on_trial>(decision).segments);
    CHECK(is<send_allowed>(decide(bad)));
    crash(entry, bad);
    CHECK_EQUAL(1, status_of("bad").generation);
}
