// The rate limit that an endpoint names: how it is read, until when it holds, what a sender may send, and
// what callers get. No network, made-up time.
#include "hibiscuswall/admission/admission_controller.hpp"
#include "hibiscuswall/core/rate_knowledge.hpp"
#include "hibiscuswall/serving/priority_admission.hpp"
#include "hibiscuswall/serving/rate_share.hpp"
#include "hibiscuswall/serving/retry_schedule.hpp"
#include "platform/call_headers.hpp"

#include "support/arrival_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto headers_with(std::initializer_list<char const*> limits) -> http_headers
{
    auto headers = http_headers{};
    for (auto const* limit : limits)
        headers.add("server-limit", limit);
    return headers;
}

auto reads_as(std::initializer_list<char const*> limits, double expected) -> bool
{
    auto const stated = platform::decode_rate(headers_with(limits));
    auto const* limit = std::get_if<rate_limit>(&stated);
    return limit != nullptr && limit->calls_per_second == expected;
}

auto is_unreadable(std::initializer_list<char const*> limits) -> bool
{
    return std::holds_alternative<unreadable_rate_limit>(platform::decode_rate(headers_with(limits)));
}

} // namespace

// ---- reading

TEST_GROUP(rate_limit_header){};

// Guards against a limit that is taken for another one, or for none, because of an odd value.
TEST(rate_limit_header, numbers_are_read_and_of_several_the_lowest_counts)
{
    CHECK(reads_as({"1.9"}, 1.9));
    CHECK(reads_as({"0"}, 0));
    CHECK(reads_as({" 20 "}, 20));
    CHECK(reads_as({"1e300"}, 100'000));
    CHECK(reads_as({"3", "2.5"}, 2.5));
    CHECK(reads_as({"2, 4"}, 2));
    CHECK(std::holds_alternative<no_rate_limit>(platform::decode_rate({})));
    for (auto const* odd : {"", "abc", "-1", "nan", "inf", "2 a second", "1,9,x", "0x10"})
        CHECK(is_unreadable({odd}));
    CHECK(is_unreadable({"2", "abc"}));
}

// ---- until when it holds

TEST_GROUP(rate_limit_knowledge)
{
    time_point now{seconds{1'000}};
    rate_knowledge known;

    auto at(int ms) const->time_point { return now + milliseconds{ms}; }
    auto name(double limit, int requested_ms, int received_ms)->void
    {
        known.on_response(rate_limit{limit}, at(requested_ms), at(received_ms));
    }
    auto name_none(int requested_ms, int received_ms)->void
    {
        known.on_response(no_rate_limit{}, at(requested_ms), at(received_ms));
    }
};

// Guards against a limit that ends by a response to a request from before it was named, such as the head of a
// stream that is seconds old.
TEST(rate_limit_knowledge, a_limit_ends_only_by_a_response_to_a_later_request)
{
    CHECK(!known.limit());
    name(2, 0, 50);
    CHECK(known.limit() == 2.0);
    name_none(20, 3'000);
    CHECK(known.limit() == 2.0);
    name_none(60, 100);
    CHECK(!known.limit());
    name(2, 0, 200); // arrives late: it may be older, but it may also be newer
    CHECK(known.limit() == 2.0);
}

TEST(rate_limit_knowledge, a_lower_limit_counts_at_once_and_a_higher_one_from_a_later_request_on)
{
    name(2, 0, 50);
    name(4, 20, 60);
    CHECK(known.limit() == 2.0);
    name(1, 20, 70);
    CHECK(known.limit() == 1.0);
    name(4, 80, 90);
    CHECK(known.limit() == 4.0);
    known.on_response(unreadable_rate_limit{}, at(100), at(110));
    CHECK(known.limit() == 4.0);
}

// Guards against processes that disagree for ever because datagrams cross, and against a limit that ends by
// the time that a datagram was on its way.
TEST(rate_limit_knowledge, processes_that_merge_what_they_know_agree)
{
    auto other = rate_knowledge{};
    name(2, 0, 50);
    other.on_response(rate_limit{3}, at(100), at(150));
    auto mine = known;
    mine.merge(other);
    other.merge(known);
    CHECK(mine.limit() == 3.0);
    CHECK(other.limit() == 3.0);

    auto ended = rate_knowledge{};
    ended.on_response(no_rate_limit{}, at(1'000), at(1'010));
    auto const told = with_times(with_ages(ended, at(1'010)), at(1'100));
    mine.merge(told);
    CHECK(!mine.limit());
    auto named_meanwhile = rate_knowledge{};
    named_meanwhile.on_response(rate_limit{2}, at(900), at(1'005));
    named_meanwhile.merge(told);
    CHECK(named_meanwhile.limit() == 2.0);
}

// ---- what a sender may send

TEST_GROUP(rate_limit_share)
{
    time_point now{seconds{1'000}};
    rate_share share;

    auto grant(std::int64_t granted, std::int64_t recalled = 0, std::uint64_t run = 7)->void
    {
        share.on_grant({run, granted, recalled, 1.0}, now, now, now);
    }
};

TEST(rate_limit_share, without_a_limit_any_number_and_with_one_only_granted_calls)
{
    CHECK_EQUAL(unlimited_calls, share.available(now));
    CHECK(!share.take(now));
    share.set_limit(2.0, 4, 0.5, now);
    CHECK_EQUAL(0, share.available(now));
    grant(2);
    CHECK_EQUAL(2, share.available(now));
    CHECK(share.take(now).has_value());
    CHECK(share.take(now).has_value());
    CHECK(!share.take(now));
    grant(2); // the same grant again
    CHECK_EQUAL(0, share.available(now));
    grant(5, 4);
    CHECK_EQUAL(1, share.available(now));
    grant(4); // overtaken
    CHECK_EQUAL(1, share.available(now));
    share.set_limit(std::nullopt, 4, 0.5, now);
    CHECK_EQUAL(unlimited_calls, share.available(now));
}

// Guards against a process that stood still and then sends by grants from before.
TEST(rate_limit_share, a_grant_that_is_not_renewed_expires)
{
    share.set_limit(2.0, 4, 0.5, now);
    grant(5);
    now += milliseconds{800};
    CHECK_EQUAL(0, share.available(now));
    share.on_grant({7, 6, 0, 1.0}, now - milliseconds{900}, now - milliseconds{900},
                   now); // it was on its way for too long
    CHECK_EQUAL(0, share.available(now));
    grant(6);
    CHECK_EQUAL(6, share.available(now));
    now += milliseconds{100};
    grant(1, 0, 8); // of another divider, which counts anew
    CHECK_EQUAL(1, share.available(now));
}

// Guards against a process that was restarted, or that learns a limit anew, and takes calls for granted that
// the one before it has sent: it knows nothing of them, and the divider does not know yet that it was
// restarted.
TEST(rate_limit_share, a_grant_from_before_this_process_knew_the_limit_does_not_count)
{
    auto const before = now;
    now += milliseconds{100};
    share.set_limit(2.0, 4, 0.5, now);
    now += milliseconds{10};
    share.on_grant({7, 50, 0, 1.0}, before, now, now); // answers a report of the process before
    CHECK_EQUAL(0, share.available(now));
    share.on_grant({7, 51, 50, 1.0}, now, now, now);
    CHECK_EQUAL(1, share.available(now));
}

// Guards against calls that are sent again by a grant of a divider that the sender left and returned to.
TEST(rate_limit_share, calls_that_were_sent_stay_sent_while_another_divider_grants)
{
    share.set_limit(2, 3, 0, now);
    grant(3, 1);
    CHECK(share.take(now) && share.take(now));
    grant(2, 0, 8);
    CHECK(share.take(now).has_value());
    grant(4, 1);
    LONGS_EQUAL(1, share.available(now));
    auto const returned = share.report("entry-1", now);
    CHECK(returned.ended == 3 && returned.used == 2);
    grant(2, 0, 8);
    LONGS_EQUAL(1, share.available(now));
}

// Guards against an endpoint that nobody may call because nobody divides its limit.
TEST(rate_limit_share, without_a_divider_the_sender_grants_itself_its_part)
{
    share.set_limit(20.0, 4, 0.5, now);
    auto sent = 0;
    for (auto i = 0; i < 100; ++i) {
        now += milliseconds{100};
        if (i < 39) CHECK_EQUAL(0, share.available(now));
        while (share.take(now))
            ++sent;
    }
    // 6 s at 0.7 of a fifth of the limit, and what is left of the second before.
    CHECK(sent >= 15);
    CHECK(sent <= 21);
    CHECK_EQUAL(sent, share.report("e1", now).own_used);
}

// ---- what callers get

TEST_GROUP(rate_limit_rejections){};

// Guards against bookings that are refused while less urgent calls of the same service are sent.
TEST(rate_limit_rejections, the_more_urgent_calls_are_sent_first)
{
    auto now = time_point{seconds{1'000}};
    auto admission = priority_admission{};
    for (auto i = 0; i < 40; ++i) {
        now += milliseconds{50};
        admission.on_call(0, now); // 20 a second
        admission.on_call(3, now);
        admission.on_call(3, now); // 40 a second
    }
    DOUBLES_EQUAL(1.0, admission.fraction(0, 25, now), 0.01);
    DOUBLES_EQUAL(0.125, admission.fraction(3, 25, now), 0.05);
    DOUBLES_EQUAL(0.5, admission.fraction(0, 10, now), 0.06);
    DOUBLES_EQUAL(0.0, admission.fraction(3, 10, now), 0.01);
    DOUBLES_EQUAL(1.0, admission.fraction(3, 100, now), 0.01);
}

// Guards against calls that are taken by chance: over a few seconds far fewer than the endpoint takes, while
// callers are rejected, and then more than it takes.
TEST(rate_limit_rejections, calls_are_taken_evenly_at_the_rate_that_is_granted)
{
    struct arrival_case {
        int urgent_each; // one urgent call for so many other ones; 0: none
        double calls_per_second;
        int taken_in_4_s;
    };
    for (auto const& [urgent_each, rate, expected] :
         {arrival_case{0, 1.5, 6}, arrival_case{0, 3.0, 12}, arrival_case{10, 3.0, 7}}) {
        auto now = time_point{seconds{1'000}};
        auto admission = priority_admission{};
        auto random = random_source{1};
        auto taken = arrival_log{};
        for (auto i = 0; i < 1'250; ++i) { // 12.5 a second for 100 s
            now += milliseconds{80};
            if (urgent_each > 0 && i % urgent_each == 0) admission.on_call(0, now);
            admission.on_call(3, now);
            if (admission.take(3, rate, now, random)) taken.add(now);
        }
        for (auto from = time_point{seconds{1'004}}; from < now - seconds{4}; from += milliseconds{100}) {
            auto const count = taken.count(from, from + seconds{4});
            // The first and the last run may have their calls outside of these 4 s.
            CHECK_TEXT(
                count >= expected - 2 && count <= expected + 2,
                (std::to_string(count) + " calls in 4 s at " + std::to_string(rate) + " a second").c_str());
        }
    }
}

// Guards against rejected callers that all come back at the same time.
TEST(rate_limit_rejections, callers_are_told_to_return_at_the_rate_that_is_taken)
{
    auto const now = time_point{seconds{1'000}};
    auto schedule = retry_schedule{};
    CHECK_EQUAL(300, schedule.next(2.0, milliseconds{300}, now).count());
    CHECK_EQUAL(800, schedule.next(2.0, milliseconds{300}, now).count());
    CHECK_EQUAL(1'300, schedule.next(2.0, milliseconds{300}, now).count());
    for (auto i = 0; i < 100; ++i)
        CHECK(schedule.next(2.0, milliseconds{300}, now) <= milliseconds{10'000});
}

// Guards against a time that no integer holds: on one kind of machine it becomes one in the past, so that
// callers are sent back at once to endpoints that take next to nothing.
TEST(rate_limit_rejections, callers_wait_longest_for_a_sender_that_is_granted_next_to_nothing)
{
    auto const now = time_point{seconds{1'000}};
    for (auto const rate : {1e-9, 1e-12, 1e-300}) {
        auto share = rate_share{};
        share.set_limit(2.0, 6, 0.0, now);
        share.on_grant({1, 0, 0, rate}, now, now, now);
        CHECK(share.next_available_at(now) == now + seconds{10});
        DOUBLES_EQUAL(rate, share.calls_per_second(now), 0);

        auto schedule = retry_schedule{};
        CHECK_EQUAL(300, schedule.next(rate, milliseconds{300}, now).count());
        CHECK_EQUAL(10'000, schedule.next(rate, milliseconds{300}, now).count());
    }
}

// ---- the layout with gates

TEST_GROUP(rate_limit_admission)
{
    time_point now{seconds{1'000}};
    admission_controller control{admission_settings{}};
    std::uint64_t last_id = 0;

    void setup() override
    {
        auto service = service_resource{};
        service.cold_limit = 8;
        service.max_limit = 8;
        service.queue_limit = 16;
        std::ignore = control.configure(service, now);
    }

    auto submit(request_class priority, int timeout_ms)->admission_controller::decisions
    {
        return control.submit({++last_id, "account", 1.0, priority, now + milliseconds{timeout_ms}}, now);
    }

    static auto count(admission_controller::decisions const& decisions, result_code code)->int
    {
        auto sum = 0;
        for (auto const& each : decisions)
            sum += each.code == code ? 1 : 0;
        return sum;
    }
};

// Guards against an agent that passes on as many calls as the endpoint has slots, whatever rate it names, and
// against requests that wait until their deadline behind the limit.
TEST(rate_limit_admission, requests_start_at_the_rate_that_the_endpoint_names_and_others_are_rejected_at_once)
{
    std::ignore = control.set_rate_limit(2.0, now);
    auto started = 0;
    auto rejected = 0;
    auto first_s = 0;
    for (auto i = 0; i < 400; ++i) { // 20 s, 20 requests a second
        now += milliseconds{50};
        auto const decisions = submit(request_class::drafting, 1'000);
        for (auto const& each : decisions)
            if (each.code == result_code::ok)
                std::ignore = control.finish(each.id, {completion_outcome::succeeded, milliseconds{20}}, now);
        started += count(decisions, result_code::ok);
        rejected += count(decisions, result_code::queue_full);
        CHECK_EQUAL(0, count(decisions, result_code::deadline_exceeded));
        if (i == 19) first_s = started;
    }
    CHECK(first_s <= 7);  // the store of a second and three more
    CHECK(started >= 38); // 20 s at 2 a second
    CHECK(started <= 46);
    CHECK(rejected >= 350);
    for (auto const& each : submit(request_class::drafting, 100))
        CHECK(each.retry_after >= milliseconds{50});
}

TEST(rate_limit_admission, a_booking_starts_before_drafts_that_wait)
{
    std::ignore = control.set_rate_limit(1.0, now);
    for (auto i = 0; i < 4; ++i) // the store
        CHECK_EQUAL(1, count(submit(request_class::drafting, 3'000), result_code::ok));
    CHECK(submit(request_class::drafting, 3'000).empty());
    CHECK(submit(request_class::booking, 3'000).empty());
    now += milliseconds{1'000};
    auto const decisions = control.resume(now);
    CHECK_EQUAL(1U, decisions.size());
    CHECK_EQUAL(last_id, decisions.front().id);
    CHECK(control.resumes_at(now) > now);
    std::ignore = control.set_rate_limit(std::nullopt, now);
    CHECK_EQUAL(0U, control.waiting());
}

// Guards against a burst after the limit becomes known, on top of what was sent just before.
TEST(rate_limit_admission, requests_from_before_the_limit_was_known_count)
{
    for (auto i = 0; i < 40; ++i) {
        now += milliseconds{25};
        for (auto const& each : submit(request_class::booking, 3'000))
            std::ignore = control.finish(each.id, {completion_outcome::succeeded, milliseconds{20}}, now);
    }
    std::ignore = control.set_rate_limit(2.0, now);
    CHECK_EQUAL(1, count(submit(request_class::booking, 500), result_code::queue_full));
    now += milliseconds{5'000};
    CHECK_EQUAL(1, count(submit(request_class::booking, 500), result_code::ok));
}
