// What entries learn from each other's crash marks, in any order of messages, and how much they keep.
#include "support/quarantine_entry_base.hpp"

#include "hibiscuswall/core/random_source.hpp"

#include <algorithm>
#include <chrono>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

using message = std::vector<segment_record>;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr auto slowdown = 20; // of debug builds with sanitizers
#else
constexpr auto slowdown = 1;
#endif

// Entries that exchange records.
struct exchange_base : quarantine_entry_base {
    std::vector<prompt_quarantine> entries;
    random_source random{1};

    auto add_entries(int count) -> void
    {
        for (auto i = 0; i < count; ++i)
            entries.emplace_back(settings, "entry-" + std::to_string(i));
    }

    auto exchange_all() -> void
    {
        for (auto& from : entries)
            for (auto& to : entries)
                exchange(from, to);
    }

    // Everything that is known, as comparable text.
    auto known_to(prompt_quarantine& at) const -> std::string
    {
        auto records = at.records(settings.max_segments, now);
        std::sort(records.begin(), records.end(),
                  [](auto const& left, auto const& right) { return left.segment < right.segment; });
        auto text = std::string{};
        for (auto const& record : records) {
            text += record.segment + ':';
            for (auto const& mark : record.marks)
                text += std::to_string(mark.run) + '/' + std::to_string(mark.generation) +
                        (mark.cleared ? "c/" : "/") +
                        std::to_string(mark.observed_at.time_since_epoch().count()) + ' ';
        }
        return text;
    }

    auto random_record() -> segment_record
    {
        auto record = segment_record{"model", "segment-" + std::to_string(random.below(6)), {}};
        for (auto i = std::size_t{0}; i <= random.below(3); ++i) {
            auto const generation = 1 + static_cast<int>(random.below(4));
            auto const age = milliseconds{random.below(20'000)};
            record.marks.push_back(
                {random.below(settings.max_marks), generation, random.below(4) == 0, now - age});
        }
        return record;
    }

    auto random_messages(int count) -> std::vector<message>
    {
        auto messages = std::vector<message>{};
        for (auto i = 0; i < count; ++i)
            messages.push_back({random_record(), random_record()});
        return messages;
    }

    // Delivers in random order, some messages twice, some not at all.
    auto deliver(std::vector<message> messages, prompt_quarantine& to, double lost_fraction) -> void
    {
        for (auto i = messages.size(); i > 0; --i)
            if (random.fraction() < 0.3) messages.push_back(messages[random.below(i)]);
        std::shuffle(messages.begin(), messages.end(), random.engine());
        for (auto const& each : messages)
            if (random.fraction() >= lost_fraction) to.merge(each, now);
    }
};

} // namespace

TEST_GROUP_BASE(quarantine_exchange, exchange_base){};

// Guards against entries that decide differently for good because messages took different ways.
TEST(quarantine_exchange, messages_doubled_and_in_any_order_lead_to_the_same_marks)
{
    for (auto seed = 1U; seed <= 50; ++seed) {
        random = random_source{seed};
        entries.clear();
        add_entries(4);
        auto const messages = random_messages(40);
        for (auto& each : entries)
            deliver(messages, each, 0);
        for (auto& each : entries)
            CHECK_EQUAL(known_to(entries.front()), known_to(each));
    }
}

// Guards against a lost message that is missing for good although another entry knows of it.
TEST(quarantine_exchange, what_one_entry_lost_it_learns_from_the_others)
{
    for (auto seed = 1U; seed <= 50; ++seed) {
        random = random_source{seed};
        entries.clear();
        add_entries(4);
        auto const messages = random_messages(40);
        for (auto const& each : messages) // each message reaches one entry at least
            entries[random.below(entries.size())].merge(each, now);
        for (auto& each : entries)
            deliver(messages, each, 0.7);
        exchange_all();
        exchange_all();
        entry = prompt_quarantine{settings, "all"};
        for (auto const& each : messages)
            entry.merge(each, now);
        for (auto& each : entries)
            CHECK_EQUAL(known_to(entry), known_to(each));
    }
}

// Guards against entries that tell each other the same news for ever.
TEST(quarantine_exchange, known_records_are_no_news)
{
    for (auto const& each : random_messages(40)) {
        entry.merge(each, now);
        CHECK_FALSE(entry.merge(each, now));
    }
    auto older = message{{"model", "s", {{1, 1, false, now}}}};
    CHECK(entry.merge(older, now));
    older[0].marks[0].observed_at -= milliseconds{5}; // clocks of entries differ a little
    CHECK_FALSE(entry.merge(older, now));
    older[0].marks[0].generation = 2;
    CHECK(entry.merge(older, now));
    older[0].marks[0].cleared = true;
    CHECK(entry.merge(older, now));
}

// Guards against evidence of which every entry sees a part and none enough.
TEST(quarantine_exchange, crashes_seen_by_different_entries_count_together)
{
    add_entries(3);
    for (auto& each : entries) {
        crash(each, call_with({"bad"}));
        exchange_all();
    }
    for (auto& each : entries)
        CHECK(each.is_quarantined(call_with({"bad"}), now));
}

// Guards against evidence that arrives late and marks a segment which was found sound since.
TEST(quarantine_exchange, late_marks_of_a_cleared_crash_stay_cleared)
{
    add_entries(2);
    crash(entries[0], call_with({"s"}));
    auto const late = entries[0].records(settings.max_segments, now);
    exchange(entries[0], entries[1]);
    CHECK(entries[1].record_progress(call_with({"s"}), now));
    CHECK_FALSE(entries[1].merge(late, now));
    exchange(entries[1], entries[0]);
    for (auto const& each : entries)
        CHECK_EQUAL(0, each.suspicion_of(call_with({"s"})).front());
}

// Guards against an entry that sends crashing calls because it has just started.
TEST(quarantine_exchange, an_entry_that_joins_rejects_what_the_others_quarantined)
{
    crash_times(3, call_with({"bad"}));
    auto joined = prompt_quarantine{settings, "entry-9"};
    CHECK(exchange(entry, joined));
    CHECK(is<send_quarantined>(joined.decide(call_with({"bad"}), now)));
}

// Guards against an operator's correction that an old message undoes, long after the crashes.
TEST(quarantine_exchange, clearing_by_hand_reaches_all_entries_and_is_not_undone_by_old_messages)
{
    add_entries(3);
    for (auto i = 0; i < 3; ++i) {
        crash(entries[0], call_with({"s"}));
        exchange_all();
    }
    auto const old = entries[0].records(settings.max_segments, now);
    now += settings.quarantine_time / 2;
    CHECK(entries[1].clear("model", "s", now));
    CHECK_FALSE(entries[1].clear("model", "s", now));
    entries[1].remove_expired(now);
    entries[1].merge(old, now);
    exchange_all();
    for (auto& each : entries) {
        each.remove_expired(now);
        each.merge(old, now);
        CHECK(is<send_allowed>(each.decide(call_with({"s"}), now)));
    }
}

// Guards against records that entries keep alive by telling each other.
TEST(quarantine_exchange, expired_marks_are_not_learned_again)
{
    add_entries(2);
    crash(entries[0], call_with({"s"}));
    auto const old = entries[0].records(settings.max_segments, now);
    now += settings.suspicion_lifetime - milliseconds{1};
    CHECK(entries[1].merge(old, now));
    now += milliseconds{1};
    for (auto& each : entries) {
        each.remove_expired(now);
        CHECK_FALSE(each.merge(old, now));
        CHECK(each.empty());
    }
}

// Guards against a suspicion that lasts longer at entries which learned of the crash late.
TEST(quarantine_exchange, the_earliest_known_time_of_a_crash_counts)
{
    auto const later = message{{"model", "s", {{1, 1, false, now}}}};
    auto const earlier = message{{"model", "s", {{1, 1, false, now - seconds{10}}}}};
    for (auto const& messages : {std::vector{later, earlier}, std::vector{earlier, later}}) {
        entry = prompt_quarantine{settings, "entry-0"};
        for (auto const& each : messages)
            entry.merge(each, now);
        CHECK_EQUAL(10'000, status_of("s").age.count());
    }
}

// Guards against marks that never expire because a peer's clock is ahead, and against absurd generations.
TEST(quarantine_exchange, marks_from_the_future_and_of_huge_generations_are_bounded)
{
    auto const wrong = message{{"model", "s", {{1, 2'000'000'000, false, now + seconds{1'000'000}}}}};
    CHECK(entry.merge(wrong, now));
    CHECK(status_of("s").trial_in <= settings.max_quarantine_time);
    CHECK_EQUAL(0, status_of("s").age.count());
    CHECK(status_of("s").generation <= 64);
}

// Guards against a message with all records each time, and against records that are never sent.
TEST(quarantine_exchange, few_records_are_the_most_suspected_ones_and_the_others_rotate)
{
    crash_times(3, call_with({"bad"}));
    for (auto i = 0; i < 30; ++i)
        crash(entry, {"model", {"segment-" + std::to_string(i)}});
    auto seen = std::set<std::string>{};
    for (auto i = 0; i < 8; ++i) {
        auto const records = entry.records(8, now);
        CHECK_EQUAL(8U, records.size());
        CHECK(records.front().segment == "bad");
        for (auto const& record : records)
            seen.insert(record.segment);
    }
    CHECK_EQUAL(31U, seen.size());
}

// ---- bounds

TEST_GROUP_BASE(quarantine_bounds, exchange_base)
{
    static constexpr auto made_up_per_s = 10'000;

    auto made_up(int number) const->std::string { return "made-up-" + std::to_string(number); }

    // One second of crashes with 16 calls of 25 made-up segments each.
    auto crash_with_made_up_segments(int first)->void
    {
        for (auto i = first; i < first + made_up_per_s;) {
            auto suspects = std::vector<crash_suspect>(16);
            for (auto& suspect : suspects) {
                suspect.prompt.model = "model";
                for (auto n = 0; n < 25; ++n)
                    suspect.prompt.segments.push_back(made_up(i++));
            }
            now += milliseconds{40};
            entry.record_crash(++last_run, suspects, now);
        }
    }

    auto record_count()->std::size_t { return entry.records(1'000'000, now).size(); }
};

// Guards against a caller who has a quarantine forgotten, or fills the memory, with made-up segments.
TEST(quarantine_bounds, made_up_segments_of_crashes_do_not_displace_a_quarantine)
{
    crash_times(3, call_with({"bad"}));
    crash_times(2, call_with({"tried"}));
    crash_with_made_up_segments(0);
    CHECK_EQUAL(settings.max_segments, record_count());
    CHECK(is_rejected(call_with({"bad"})));
    CHECK(is_tried(call_with({"tried"})));
}

// Guards against a faulty peer that fills the memory.
TEST(quarantine_bounds, made_up_records_of_a_peer_are_bounded)
{
    crash_times(3, call_with({"bad"}));
    auto records = message{};
    for (auto i = 0; i < made_up_per_s; ++i)
        records.push_back({"model-" + std::to_string(i % 7), made_up(i), {{1, 1, false, now}}});
    auto long_record = segment_record{"model", std::string(10'000, 'x'), {}};
    for (auto run = 0U; run < 10'000; ++run)
        long_record.marks.push_back({run, 3, false, now});
    records.push_back(long_record);
    entry.merge(records, now);
    auto const kept = entry.records(1'000'000, now);
    CHECK_EQUAL(settings.max_segments, kept.size());
    for (auto const& record : kept) {
        CHECK(record.marks.size() <= settings.max_marks);
        CHECK(record.segment.size() <= 64);
    }
    CHECK(is_rejected(call_with({"bad"})));
}

// Guards against two full entries that tell each other the same news for ever.
TEST(quarantine_bounds, full_entries_come_to_rest)
{
    add_entries(2);
    for (auto i = 0; i < 600; ++i)
        crash(entries[static_cast<std::size_t>(i % 2)], {"model", {made_up(i)}});
    exchange(entries[0], entries[1]);
    exchange(entries[1], entries[0]);
    exchange(entries[0], entries[1]);
    CHECK_FALSE(exchange(entries[1], entries[0]));
    CHECK_FALSE(exchange(entries[0], entries[1]));
}

// Guards against bookkeeping that holds up calls. The shortest of several rounds counts: the machine is
// shared.
TEST(quarantine_bounds, ten_thousand_made_up_segments_a_second_take_a_small_part_of_it)
{
    auto shortest = std::chrono::steady_clock::duration::max();
    for (auto round = 0; round < 3; ++round) {
        auto const begun = std::chrono::steady_clock::now();
        crash_with_made_up_segments(round * made_up_per_s);
        for (auto i = 0; i < made_up_per_s; ++i) {
            auto const call = shared_prompt{"model", {made_up(i)}};
            CHECK(is<send_allowed>(decide(call)));
            entry.record_progress(call, now);
        }
        shortest = std::min(shortest, std::chrono::steady_clock::now() - begun);
    }
    CHECK(shortest < std::chrono::milliseconds{100} * slowdown);
}

// Guards against two full entries that replace records with each other's for ever, because a time that was
// rounded on its way looks newer.
TEST(quarantine_bounds, a_full_entry_replaces_no_record_by_one_of_equal_evidence_from_a_peer)
{
    crash_with_made_up_segments(0);
    CHECK_EQUAL(settings.max_segments, record_count());
    now += milliseconds{5};
    CHECK_FALSE(entry.merge(message{{"model", "other", {{77, 1, false, now}}}}, now));
    CHECK(entry.merge(message{{"model", "other", {{77, 2, false, now}}}}, now));
}
