// Admission control of an agent: the concurrency limit, the fair queue, and both combined, with simulated
// time.
#include "hibiscuswall/admission/admission_controller.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto start = time_point{seconds{1'000}};

auto request(std::uint64_t id, std::string account, request_class priority, double weight = 1.0,
             seconds until = seconds{60}) -> admission_request
{
    return {id, std::move(account), weight, priority, start + until};
}

auto started(admission_controller::decisions const& decisions) -> std::vector<std::uint64_t>
{
    auto ids = std::vector<std::uint64_t>{};
    for (auto const& event : decisions)
        if (event.code == result_code::ok) ids.push_back(event.id);
    return ids;
}

auto rejected(admission_controller::decisions const& decisions, result_code code)
    -> std::vector<std::uint64_t>
{
    auto ids = std::vector<std::uint64_t>{};
    for (auto const& event : decisions)
        if (event.code == code) ids.push_back(event.id);
    return ids;
}

} // namespace

// ---- concurrency limit

TEST_GROUP(concurrency_limit)
{
    concurrency_limit limit{{}, 2, 16};
    time_point now = start;

    auto succeed(int count, microseconds latency)->bool
    {
        auto was_reset = false;
        for (auto i = 0; i < count; ++i) {
            now += milliseconds{10};
            auto const running = static_cast<std::size_t>(limit.value());
            was_reset = limit.succeeded(request_class::status, latency, running, now) || was_reset;
        }
        return was_reset;
    }
};

TEST(concurrency_limit, starts_at_cold_limit_and_grows_to_max_limit)
{
    CHECK_EQUAL(2, limit.value());
    succeed(2, milliseconds{10});
    CHECK_EQUAL(2, limit.value()); // the limit grows by one only after about as many completions as its value
    succeed(500, milliseconds{10});
    CHECK_EQUAL(16, limit.value());
}

// Guards against a limit that grows while it is unused and then admits a burst.
TEST(concurrency_limit, does_not_grow_while_unused)
{
    for (auto i = 0; i < 500; ++i)
        limit.succeeded(request_class::status, milliseconds{10}, 0, now += milliseconds{10});
    CHECK_EQUAL(2, limit.value());
}

// Guards against several decreases for one burst of failures.
TEST(concurrency_limit, decreases_once_for_simultaneous_failures)
{
    succeed(500, milliseconds{10});
    for (auto i = 0; i < 10; ++i)
        limit.overloaded(now);
    CHECK_EQUAL(11, limit.value());
    limit.overloaded(now + seconds{1});
    CHECK_EQUAL(7, limit.value());
    for (auto i = 2; i < 50; ++i)
        limit.overloaded(now + seconds{i});
    CHECK_EQUAL(2, limit.value()); // never below the cold limit
}

// Guards against a queue inside the endpoint that grows with the limit.
TEST(concurrency_limit, decreases_when_latency_rises_above_minimum)
{
    succeed(500, milliseconds{100});
    succeed(40, milliseconds{400});
    CHECK(limit.value() < 16);
}

// Guards against full load on an endpoint that became cold without reporting it.
TEST(concurrency_limit, resets_to_cold_limit_after_consecutive_latency_jumps)
{
    succeed(500, milliseconds{10});
    CHECK_FALSE(succeed(2, milliseconds{200}));
    CHECK_TRUE(succeed(1, milliseconds{200}));
    CHECK_EQUAL(2, limit.value());
}

// Guards against a reset of the limit because of one slow response.
TEST(concurrency_limit, keeps_limit_after_single_slow_response)
{
    succeed(500, milliseconds{10});
    for (auto i = 0; i < 10; ++i) {
        CHECK_FALSE(succeed(1, milliseconds{120}));
        succeed(20, milliseconds{10});
    }
    CHECK(limit.value() > 2);
}

// Guards against drafts that count as overload because status requests take less time.
TEST(concurrency_limit, tracks_minimum_latency_per_class)
{
    succeed(500, milliseconds{1});
    for (auto i = 0; i < 100; ++i)
        limit.succeeded(request_class::drafting, milliseconds{300}, 16, now += milliseconds{10});
    CHECK_EQUAL(16, limit.value());
}

TEST(concurrency_limit, does_not_grow_while_growth_is_held)
{
    limit.hold_growth(true);
    succeed(500, milliseconds{10});
    CHECK_EQUAL(2, limit.value());
}

// ---- fair queue

TEST_GROUP(fair_queue)
{
    fair_queue queue{{8, 7, 6}};
    std::uint64_t next_id = 1;

    auto push(std::string const& account, request_class priority, double weight = 1.0)
        ->std::vector<std::uint64_t>
    {
        return queue.push(request(next_id++, account, priority, weight));
    }
};

TEST(fair_queue, pops_higher_classes_first)
{
    push("a", request_class::drafting);
    push("a", request_class::status);
    push("a", request_class::booking);
    CHECK_EQUAL(3U, queue.pop(request_class::drafting)->id);
    CHECK_EQUAL(2U, queue.pop(request_class::drafting)->id);
    CHECK_EQUAL(1U, queue.pop(request_class::drafting)->id);
    CHECK_FALSE(queue.pop(request_class::drafting).has_value());
}

TEST(fair_queue, does_not_pop_classes_below_min_class)
{
    push("a", request_class::drafting);
    CHECK_FALSE(queue.pop(request_class::status).has_value());
    CHECK_EQUAL(1U, queue.size());
}

// Guards against a large account that fills the queue first and therefore is served first.
TEST(fair_queue, serves_small_account_before_queued_requests_of_large_one)
{
    for (auto i = 0; i < 5; ++i)
        push("large", request_class::drafting);
    push("small", request_class::drafting);
    queue.pop(request_class::drafting);
    STRCMP_EQUAL("small", queue.pop(request_class::drafting)->account.c_str());
}

// Guards against unfair order with a single slot (cold endpoint): no account has a request in flight then, so
// the number in flight cannot decide.
TEST(fair_queue, shares_single_slot_by_account_weight)
{
    auto served = std::map<std::string, int>{};
    for (auto i = 0; i < 300; ++i) {
        while (queue.size() < 4)
            push(queue.size() % 2 == 0 ? "one" : "three", request_class::drafting,
                 queue.size() % 2 == 0 ? 1.0 : 3.0);
        push("one", request_class::drafting, 1.0);
        push("three", request_class::drafting, 3.0);
        auto const next = queue.pop(request_class::drafting);
        ++served[next->account];
        queue.finished(next->account);
    }
    auto const ratio = static_cast<double>(served["three"]) / served["one"];
    DOUBLES_EQUAL(3.0, ratio, 0.2);
}

// Guards against an account that earns credit while idle and then delays all others.
TEST(fair_queue, gives_no_credit_for_idle_time)
{
    for (auto i = 0; i < 50; ++i) {
        push("busy", request_class::drafting);
        queue.pop(request_class::drafting);
        queue.finished("busy");
    }
    for (auto i = 0; i < 3; ++i) {
        push("back", request_class::drafting);
        push("busy", request_class::drafting);
    }
    auto first_four = std::map<std::string, int>{};
    for (auto i = 0; i < 4; ++i) {
        auto const next = queue.pop(request_class::drafting);
        ++first_four[next->account];
        queue.finished(next->account);
    }
    CHECK_EQUAL(2, first_four["busy"]);
    CHECK_EQUAL(2, first_four["back"]);
}

TEST_GROUP_BASE(full_queue, TEST_GROUP_CppUTestGroupfair_queue){
    void setup() override{for (auto i = 0; i < 4; ++i) push("large", request_class::drafting); // 1 to 4
push("small", request_class::drafting);                                                        // 5
push("small", request_class::drafting);                                                        // 6
}
}
;

TEST(full_queue, sheds_newest_request_of_most_loaded_account)
{
    CHECK(push("small", request_class::drafting) == std::vector<std::uint64_t>{4});
    CHECK(push("large", request_class::drafting) == std::vector<std::uint64_t>{8});
}

// Guards against a queue full of drafts that cannot take a booking.
TEST(full_queue, accepts_higher_classes_when_full_of_drafts)
{
    CHECK(push("office", request_class::booking).empty());
    CHECK(push("office", request_class::status).empty());
    CHECK_EQUAL(8U, queue.size());
}

TEST(full_queue, sheds_lowest_class_for_booking)
{
    push("office", request_class::booking);
    push("office", request_class::booking);
    CHECK(push("office", request_class::booking) == std::vector<std::uint64_t>{4});
    CHECK_EQUAL(3U, queue.size(request_class::booking));
}

// Guards against shedding a request to admit one of a lower class.
TEST(full_queue, sheds_new_draft_when_full_of_bookings)
{
    queue.clear();
    for (auto i = 0; i < 8; ++i)
        push("office", request_class::booking);
    auto const shed = push("large", request_class::drafting);
    CHECK(shed == std::vector<std::uint64_t>{next_id - 1});
    CHECK_EQUAL(8U, queue.size(request_class::booking));
}

// ---- admission controller

TEST_GROUP(admission)
{
    admission_controller control{{}};
    time_point now = start;
    std::uint64_t next_id = 1;

    void setup() override
    {
        auto service = service_resource{};
        service.cold_limit = 2;
        service.max_limit = 16;
        service.queue_limit = 12;
        control.configure(service, now);
    }

    auto submit(std::string const& account, request_class priority, double weight = 1.0)
        ->admission_controller::decisions
    {
        return control.submit(request(next_id++, account, priority, weight), now);
    }

    // Runs enough bookings for the limit to reach its maximum; none is running or waiting afterwards.
    auto warm_up()->void
    {
        auto running = std::set<std::uint64_t>{};
        auto const take = [&](admission_controller::decisions const& decisions) {
            for (auto const id : started(decisions))
                running.insert(id);
        };
        for (auto i = 0; i < 600; ++i) {
            while (control.waiting() < 2)
                take(submit("warm", request_class::booking));
            auto const id = *running.begin();
            running.erase(running.begin());
            take(control.finish(id, {completion_outcome::succeeded, milliseconds{10}},
                                now += milliseconds{1}));
        }
        control.reject_waiting(result_code::queue_full);
        for (auto const id : running)
            control.finish(id, {}, now);
    }
};

// Guards against many entries that together exceed the limit because each one assumes free slots: only the
// agent sees the requests of all entries.
TEST(admission, never_exceeds_limit_with_many_entries)
{
    auto running = std::set<std::uint64_t>{};
    for (auto i = 0; i < 2'000; ++i) {
        now += milliseconds{1};
        auto decisions = submit("entry-" + std::to_string(i % 20), request_class::status);
        for (auto const id : started(decisions))
            running.insert(id);
        CHECK(running.size() <= static_cast<std::size_t>(control.limit()));
        if (i % 2 == 0 && !running.empty()) {
            auto const id = *running.begin();
            running.erase(running.begin());
            for (auto const next :
                 started(control.finish(id, {completion_outcome::succeeded, milliseconds{20}}, now)))
                running.insert(next);
        }
        CHECK(running.size() <= static_cast<std::size_t>(control.limit()));
        CHECK_EQUAL(running.size(), control.in_flight());
    }
}

// Guards against new requests at an endpoint that became cold while more than its cold limit were running.
TEST(admission, starts_nothing_after_reset_until_fewer_than_cold_limit_run)
{
    warm_up();
    CHECK_EQUAL(16, control.limit());
    auto running = std::vector<std::uint64_t>{};
    for (auto i = 0; i < 10; ++i)
        for (auto const id : started(submit("a", request_class::booking)))
            running.push_back(id);
    CHECK_EQUAL(10U, running.size());
    control.reset_to_cold();
    CHECK(started(submit("a", request_class::booking)).empty());
    for (auto i = 0U; i < 8; ++i)
        CHECK(started(control.finish(running[i], {}, now)).empty());
    CHECK_EQUAL(1U, started(control.finish(running[8], {}, now)).size());
}

// Guards against drafts that occupy all slots, so that a status request has to wait for one of them.
TEST(admission, leaves_slots_free_for_higher_classes_under_drafts)
{
    warm_up();
    auto drafts = std::size_t{0};
    for (auto i = 0; i < 20; ++i)
        drafts += started(submit("a", request_class::drafting)).size();
    CHECK_EQUAL(12U, drafts);
    CHECK_EQUAL(1U, started(submit("road-office", request_class::status)).size());
    CHECK_EQUAL(1U, started(submit("office", request_class::booking)).size());
}

// Guards against a limit that stops growing at 2.5 when only drafts arrive, which halved the goodput of an
// endpoint.
TEST(admission, grows_limit_with_drafts_alone)
{
    auto running = started(submit("a", request_class::drafting));
    for (auto i = 0; i < 2'000; ++i) {
        now += milliseconds{5};
        while (control.waiting() < 2)
            for (auto const id : started(submit("a", request_class::drafting)))
                running.push_back(id);
        auto const id = running.front();
        running.erase(running.begin());
        for (auto const next :
             started(control.finish(id, {completion_outcome::succeeded, milliseconds{20}}, now)))
            running.push_back(next);
    }
    CHECK_EQUAL(16, control.limit());
}

TEST(admission, starts_lowest_class_at_cold_limit)
{
    CHECK_EQUAL(1U, started(submit("a", request_class::drafting)).size());
}

// Guards against running requests whose caller has given up.
TEST(admission, rejects_requests_past_their_deadline)
{
    auto const first = started(submit("a", request_class::booking));
    submit("a", request_class::booking);
    control.submit(request(100, "a", request_class::booking, 1.0, seconds{1}), now);
    now += seconds{2};
    auto const decisions = control.finish(first.front(), {}, now);
    CHECK(rejected(decisions, result_code::deadline_exceeded) == std::vector<std::uint64_t>{100});
    CHECK(rejected(control.submit(request(101, "a", request_class::booking, 1.0, seconds{1}), now),
                   result_code::deadline_exceeded) == std::vector<std::uint64_t>{101});
}

TEST(admission, shed_request_carries_retry_after)
{
    for (auto i = 0; i < 40; ++i)
        for (auto const& event : submit("a", request_class::drafting))
            if (event.code == result_code::queue_full) CHECK(event.retry_after > milliseconds{0});
    CHECK_EQUAL(9U, control.waiting());
}

// Guards against a large account that starves small ones under overload.
TEST(admission, shares_slots_fairly_under_overload_by_large_account)
{
    auto done = std::map<std::string, int>{};
    auto running = std::map<std::uint64_t, std::string>{};
    auto const take = [&](admission_controller::decisions const& decisions,
                          std::map<std::uint64_t, std::string>& names) {
        for (auto const id : started(decisions))
            running[id] = names[id];
    };
    auto names = std::map<std::uint64_t, std::string>{};
    for (auto i = 0; i < 4'000; ++i) {
        now += milliseconds{5};
        // The large account sends eight times as many requests as each small one.
        for (auto const* account :
             {"large", "large", "large", "large", "large", "large", "large", "large", "s1", "s2"}) {
            names[next_id] = account;
            take(submit(account, request_class::drafting), names);
        }
        auto const id = running.begin()->first;
        ++done[running.begin()->second];
        running.erase(id);
        take(control.finish(id, {completion_outcome::succeeded, milliseconds{20}}, now), names);
    }
    auto sum = 0.0;
    auto squares = 0.0;
    for (auto const& [account, count] : done) {
        sum += count;
        squares += static_cast<double>(count) * count;
    }
    auto const jain = sum * sum / (3.0 * squares);
    CHECK(jain >= 0.95);
}

// Guards against waiting requests that never get a response when the process stops.
TEST(admission, keeps_running_requests_when_rejecting_waiting_ones)
{
    submit("a", request_class::booking);
    submit("a", request_class::booking);
    submit("a", request_class::booking);
    auto const decisions = control.reject_waiting(result_code::endpoint_draining);
    CHECK(rejected(decisions, result_code::endpoint_draining) == std::vector<std::uint64_t>{3});
    CHECK_EQUAL(2U, control.in_flight());
    CHECK_EQUAL(0U, control.waiting());
}
