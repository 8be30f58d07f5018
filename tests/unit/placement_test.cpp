// Endpoint selection, waiting and rejection under normal load and overload. No network, simulated time.
#include "hibiscuswall/serving/placement.hpp"
#include "hibiscuswall/serving/wait_queue.hpp"
#include "hibiscuswall/serving/window_retry_budget.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto slots = 16;

auto engine_service() -> service_definition
{
    auto service = service_definition{};
    service.name = "drafts";
    service.max_cold_rate = 36;
    service.engine = engine_profile{};
    service.engine->model = "m";
    service.engine->slots = slots;
    service.engine->layers = 16;
    service.engine->step_ms = 6.73;
    service.engine->steps_per_pass = 6;
    service.engine->prompt_tokens_per_ms = 30.6;
    return service;
}

auto record(int number, std::string domain) -> endpoint_record
{
    auto made = endpoint_record{};
    made.id = "i-" + std::to_string(number);
    made.service = "drafts";
    made.where = {"10.0.0." + std::to_string(number), 80};
    made.failure_domain = std::move(domain);
    made.slots = slots;
    made.weights = loaded_weights{"m", 1, 0, 16};
    return made;
}

} // namespace

TEST_BASE(placement_base)
{
    time_point now{seconds{1'000}};
    random_source random{7};
    service_definition service = engine_service();
    placement_settings settings;
    failure_domain_set out;
    endpoint_table table{{}, {{"north-a", "north"}, {"south-a", "south"}}, "entry-1", random};
    std::set<std::string> tried_endpoints;
    int prompt = 1'000;
    std::uint64_t min_version = 0;
    std::vector<std::string> regions;

    void setup() override
    {
        settings.cold_multiplier = 1.5;
        settings.cold_reserve = 5;
    }

    auto add(int count, std::string const& domain = "north-a")->void
    {
        for (auto i = 0; i < count; ++i)
            table.add_or_update(record(static_cast<int>(table.all().size()) + 1, domain), now);
    }

    auto receive_report(int number, int running, int queued = 0,
                        std::vector<std::string> entries = {"entry-1", "entry-2"})
        ->void
    {
        auto report = load_report{};
        report.where = {"10.0.0." + std::to_string(number), 80};
        report.running = running;
        report.queued = queued;
        report.weights = loaded_weights{"m", 1, 0, 16};
        report.subscriber_count = static_cast<int>(entries.size());
        report.same_region_entries = std::move(entries);
        table.on_load_report(report, microseconds{2'000}, now);
        table.assign_preferred_entries();
    }

    auto place_call()->placement
    {
        auto call = placement_call{};
        call.service = service.name;
        call.definition = &service;
        call.route_regions = regions;
        call.tried_endpoints = &tried_endpoints;
        call.min_version = min_version;
        call.prompt_tokens = prompt;
        call.region = "north";
        auto const endpoints = table.endpoints_of_service("drafts");
        return place(call, endpoints, out, settings, now, random);
    }

    // Places a call and counts it at the endpoint. Returns the endpoint's id, or "none" if the call is
    // rejected.
    auto send()->std::string
    {
        auto const decision = place_call();
        if (!std::holds_alternative<placed>(decision)) return "none";
        auto& endpoint = *std::get<placed>(decision).endpoint;
        endpoint_table::record_send(endpoint, now);
        endpoint.unprocessed_prompt_tokens += prompt;
        return endpoint.record.id;
    }

    auto state(std::string const& id)->tracked_endpoint& { return *table.all().at(id); }
};

// ---- which endpoints may serve

TEST_GROUP_BASE(placement_allowed, placement_base){};

// Guards against calls to an endpoint that is draining, in an evacuated failure domain or in a region that is
// not allowed.
TEST(placement_allowed, draining_evacuated_and_out_of_region_endpoints_get_no_calls)
{
    add(1);
    STRCMP_EQUAL("i-1", send().c_str());
    out.insert("north-a");
    STRCMP_EQUAL("none", send().c_str());
    out.clear();
    regions = {"south"};
    STRCMP_EQUAL("none", send().c_str());
    regions.clear();
    auto leaving = record(1, "north-a");
    leaving.draining = true;
    table.add_or_update(leaving, now);
    STRCMP_EQUAL("none", send().c_str());
}

// An endpoint that is leaving says so in its responses, often before its record changes. Guards against calls
// that still reach it, also after its record was lost in an outage of the store and written again.
TEST(placement_allowed, an_endpoint_that_announced_its_departure_gets_no_calls_until_it_has_restarted)
{
    add(2);
    endpoint_table::record_departure(state("i-1"));
    for (auto i = 0; i < 4; ++i, now += seconds{1})
        STRCMP_EQUAL("i-2", send().c_str());
    // Its record is written again unchanged.
    table.add_or_update(record(1, "north-a"), now);
    CHECK(!state("i-1").accepts_calls(now));
    // Its record is lost and comes back.
    table.remove("i-1", false, now);
    table.add_or_update(record(1, "north-a"), now + seconds{2});
    CHECK(!state("i-1").accepts_calls(now));
    // It starts again under the same id.
    auto restarted = record(1, "north-a");
    restarted.started_at_ms = 77;
    table.add_or_update(restarted, now + seconds{3});
    CHECK(state("i-1").accepts_calls(now));
}

// A store that was restored from a copy lists an endpoint as it was before it announced its departure. Guards
// against calls that reach it.
TEST(placement_allowed, an_endpoint_that_drained_before_its_record_was_restored_gets_no_calls)
{
    add(2);
    auto leaving = record(1, "north-a");
    leaving.draining = true;
    table.add_or_update(leaving, now);
    table.add_or_update(record(1, "north-a"), now);
    STRCMP_EQUAL("i-2", send().c_str());
    // It has left: its run is remembered, another run under the same id is not.
    table.remove("i-1", false, now);
    CHECK(table.has_removed(leaving));
    leaving.started_at_ms = 77;
    CHECK_FALSE(table.has_removed(leaving));
}

TEST(placement_allowed, an_endpoint_whose_agent_reports_its_departure_gets_no_calls)
{
    add(2);
    auto report = load_report{};
    report.where = {"10.0.0.1", 80};
    report.weights = loaded_weights{"m", 1, 0, 16};
    report.subscriber_count = 1;
    report.leaving = true;
    table.on_load_report(report, microseconds{2'000}, now);
    for (auto i = 0; i < 4; ++i, now += seconds{1})
        STRCMP_EQUAL("i-2", send().c_str());
}

// Guards against a call that was assigned to an endpoint and is sent after the endpoint has left.
TEST(placement_allowed, an_endpoint_without_a_record_accepts_no_calls)
{
    add(1);
    auto const assigned = table.all().at("i-1");
    CHECK(assigned->accepts_calls(now));
    table.remove("i-1", false, now);
    CHECK(!assigned->accepts_calls(now));
}

// An overloaded endpoint may reject a call and ask for a pause. Guards against calls sent to it during the
// pause, and against callers that wait for nothing while all endpoints have asked for one.
TEST(placement_allowed, endpoints_that_asked_for_a_pause_get_no_calls_until_it_ends)
{
    add(2);
    endpoint_table::record_backoff(state("i-1"), milliseconds{1'500}, now);
    STRCMP_EQUAL("i-2", send().c_str());
    STRCMP_EQUAL("i-2", send().c_str());
    endpoint_table::record_backoff(state("i-2"), milliseconds{700}, now);
    auto const decision = place_call();
    auto const& rejection = std::get<rejected>(decision);
    CHECK(rejection.reason == rejection_reason::all_endpoints_back_off);
    // Callers return once the first endpoint accepts calls again, spread over some time.
    CHECK(rejection.retry_after >= milliseconds{700});
    CHECK(rejection.retry_after <= milliseconds{700} + settings.max_retry_after);
    now += milliseconds{700};
    STRCMP_EQUAL("i-2", send().c_str());
    now += milliseconds{800};
    CHECK(state("i-1").accepts_calls(now));
}

// A shorter request must not end an earlier, longer one.
TEST(placement_allowed, a_pause_is_never_shortened_by_a_later_request)
{
    add(1);
    endpoint_table::record_backoff(state("i-1"), milliseconds{2'000}, now);
    endpoint_table::record_backoff(state("i-1"), milliseconds{100}, now);
    CHECK(!state("i-1").accepts_calls(now + milliseconds{1'900}));
}

// Guards against a call that starts on an outdated weights version or on an engine with some of the layers
// only.
TEST(placement_allowed, an_engine_without_complete_weights_of_an_allowed_version_gets_no_calls)
{
    add(1);
    min_version = 2;
    STRCMP_EQUAL("none", send().c_str());
    min_version = 0;
    auto partial = record(1, "north-a");
    partial.weights->end_layer = 8;
    table.add_or_update(partial, now);
    STRCMP_EQUAL("none", send().c_str());
    partial.weights.reset();
    table.add_or_update(partial, now);
    STRCMP_EQUAL("none", send().c_str());
}

TEST(placement_allowed, an_engine_that_changes_its_weights_gets_no_calls)
{
    add(1);
    receive_report(1, 3);
    auto report = *state("i-1").news;
    report.paused = true;
    table.on_load_report(report, microseconds{0}, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against calls that arrive seconds late at a host whose link is saturated.
TEST(placement_allowed, a_host_with_a_long_round_trip_gets_no_calls)
{
    add(1);
    receive_report(1, 0);
    table.on_load_report(*state("i-1").news, microseconds{400'000}, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against an endpoint that fails every call and still gets its share of calls.
TEST(placement_allowed, a_failing_endpoint_is_probed_by_one_call_at_a_time)
{
    add(1);
    for (auto i = 0; i < 3; ++i)
        endpoint_table::record_failure(state("i-1"), now);
    STRCMP_EQUAL("none", send().c_str());
    now += seconds{1};
    STRCMP_EQUAL("i-1", send().c_str());
    STRCMP_EQUAL("none", send().c_str());
    endpoint_table::record_success(state("i-1"));
    STRCMP_EQUAL("i-1", send().c_str());
}

// ---- records that appear and disappear

TEST_GROUP_BASE(placement_records, placement_base){};

TEST(placement_records, a_removed_record_is_no_longer_used_immediately_after_removal)
{
    add(1);
    table.remove("i-1", false, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against an empty pool because leases expired while the store was unavailable.
TEST(placement_records, a_record_lost_in_a_store_outage_is_kept_for_the_grace_period)
{
    service.max_cold_rate = 0;
    add(2);
    table.replace({}, true, now);
    CHECK(send() != "none");
    now += milliseconds{1'500};
    table.add_or_update(record(1, "north-a"), now);
    now += milliseconds{1'000};
    table.remove_expired(now);
    tried_endpoints.clear();
    for (auto i = 0; i < 8; ++i)
        STRCMP_EQUAL("i-1", send().c_str());
}

// Guards against an endpoint that really left just after the store became available again, and that still
// gets calls after 2 s.
TEST(placement_records, a_lost_record_that_is_not_written_again_is_removed_within_two_seconds)
{
    add(1);
    table.remove("i-1", true, now);
    now += milliseconds{1'600};
    table.remove_expired(now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against state of an endpoint that is applied to its next run under the same id.
TEST(placement_records, a_restart_under_the_same_id_is_a_new_endpoint)
{
    add(1);
    for (auto i = 0; i < 3; ++i)
        endpoint_table::record_failure(state("i-1"), now);
    auto again = record(1, "north-a");
    again.started_at_ms = 99;
    table.add_or_update(again, now);
    CHECK_EQUAL(0, state("i-1").failures_in_row);
    receive_report(1, 5); // report about the previous run
    CHECK_FALSE(state("i-1").news.has_value());
}

// ---- normal load: free slots at every endpoint

TEST_GROUP_BASE(placement_with_free_slots, placement_base){};

// More free slots than calls. The time to the first event then depends on the prompts that an engine has to
// process, so calls that arrive together must not go to one engine.
TEST(placement_with_free_slots, calls_that_arrive_together_go_to_different_engines)
{
    add(8);
    for (auto i = 1; i <= 8; ++i)
        receive_report(i, 4);
    auto used = std::set<std::string>{};
    for (auto i = 0; i < 4; ++i)
        used.insert(send());
    CHECK_EQUAL(4U, used.size());
}

// Several entries have the same view of the engines. Each sends to its preferred engines first.
TEST(placement_with_free_slots, entries_prefer_different_engines)
{
    auto other = endpoint_table{{}, {{"north-a", "north"}}, "entry-2", random};
    add(8);
    for (auto i = 1; i <= 8; ++i) {
        other.add_or_update(record(i, "north-a"), now);
        receive_report(i, 4);
        other.on_load_report(*state("i-" + std::to_string(i)).news, microseconds{0}, now);
    }
    other.assign_preferred_entries();
    auto preferred = 0;
    for (auto const& [id, endpoint] : table.all()) {
        preferred += endpoint->preferred ? 1 : 0;
        CHECK(endpoint->preferred != other.all().at(id)->preferred);
    }
    CHECK_EQUAL(4, preferred);
    CHECK(state(send()).preferred);
}

TEST(placement_with_free_slots, calls_stay_in_the_region_while_its_engines_have_no_unread_prompts)
{
    add(2, "north-a");
    add(2, "south-a");
    for (auto i = 1; i <= 4; ++i)
        receive_report(i, 4, 0, {"entry-1"});
    for (auto i = 0; i < 2; ++i) {
        auto& endpoint = state(send());
        STRCMP_EQUAL("north", endpoint.region.c_str());
        endpoint.unprocessed_prompt_tokens = 0;
    }
}

TEST(placement_with_free_slots, a_longer_prompt_has_a_later_first_event)
{
    add(1);
    auto const shorter = first_event_ms(state("i-1"), *service.engine, 500);
    auto const longer = first_event_ms(state("i-1"), *service.engine, 3'800);
    CHECK(longer > shorter + 3'300 / 30.6);
}

// ---- overload

TEST_GROUP_BASE(placement_overload, placement_base){};

// Entries see the same free slots in load reports that are 100 ms old. Together they must not use more slots
// than are free.
TEST(placement_overload, entries_share_the_free_slots_of_an_engine)
{
    auto const entries = std::vector<std::string>{"e1", "e2", "e3", "e4", "e5", "e6"};
    auto taken = 0;
    auto rounds = 0;
    for (; rounds < 200; ++rounds) {
        for (auto const& name : entries) {
            auto each = endpoint_table{{}, {{"north-a", "north"}}, name, random};
            each.add_or_update(record(1, "north-a"), now);
            auto report = load_report{};
            report.where = {"10.0.0.1", 80};
            report.running = slots - 2;
            report.weights = loaded_weights{"m", 1, 0, 16};
            report.subscriber_count = 6;
            report.same_region_entries = entries;
            each.on_load_report(report, microseconds{0}, now);
            each.assign_preferred_entries();
            each.on_load_report(report, microseconds{0}, now);
            taken += std::max(0, each.all().at("i-1")->free_slots(slots));
        }
    }
    auto const mean = static_cast<double>(taken) / rounds;
    CHECK(mean <= 2.6);
    CHECK(mean >= 1.4);
}

// Every engine is full. Calls are rejected with Retry-After values that are spread over an interval.
TEST(placement_overload, a_full_pool_rejects_calls_with_spread_retry_times)
{
    add(3);
    for (auto i = 1; i <= 3; ++i)
        receive_report(i, slots, 2);
    auto retry_times = std::set<long long>{};
    for (auto i = 0; i < 50; ++i) {
        auto const decision = place_call();
        auto const& rejection = std::get<rejected>(decision);
        CHECK(rejection_reason::all_endpoints_full == rejection.reason);
        CHECK_EQUAL(3, rejection.usable);
        CHECK(rejection.retry_after >= settings.min_retry_after &&
              rejection.retry_after <= settings.max_retry_after);
        retry_times.insert(rejection.retry_after.count());
    }
    CHECK(retry_times.size() > 20);
}

// Steady overload. A slot freed by a call of this entry is used again at once, without a new load report.
TEST(placement_overload, a_slot_freed_by_a_call_of_this_entry_is_used_again_without_a_new_report)
{
    add(1);
    receive_report(1, slots - 1, 0, {"entry-1"});
    STRCMP_EQUAL("i-1", send().c_str());
    STRCMP_EQUAL("none", send().c_str());
    endpoint_table::record_end(state("i-1"));
    STRCMP_EQUAL("i-1", send().c_str());
}

// ---- limits across all entries

TEST_GROUP_BASE(placement_limits, placement_base){};

// An engine becomes cold and all entries see it empty. In any second all of them together stay within
// 36 * 1.5 + 5 calls, even if none of them knows the others.
TEST(placement_limits, all_entries_together_stay_within_the_cold_limit)
{
    auto sum = 0;
    auto const entries = tracked_endpoint{}.sender_count; // assumed while they are unknown
    for (auto entry = 0; entry < entries; ++entry) {
        auto each = endpoint_table{{}, {}, "e" + std::to_string(entry), random};
        auto cold = record(1, "north-a");
        cold.cold_remaining = seconds{3};
        each.add_or_update(cold, now);
        auto& endpoint = *each.all().at("i-1");
        for (auto i = 0; i < 100; ++i) {
            if (!within_cold_limit(endpoint, service, settings, now + milliseconds{10 * i})) continue;
            endpoint.recent_sends.add(now + milliseconds{10 * i});
            ++sum;
        }
    }
    CHECK(sum <= 59);
    CHECK(sum >= 30);
}

// Guards against a share of the cold limit that is below one call for every entry, so that none may ever
// send, and against shares that together exceed the limit.
TEST(placement_limits, in_a_large_fleet_a_cold_endpoint_still_gets_calls_within_its_limit)
{
    service.max_cold_rate = 14; // 26 calls a second in total
    for (auto const per_region : {11, 140}) {
        auto entries = std::vector<listed_entry>{};
        for (auto i = 0; i < per_region; ++i)
            for (auto const* region : {"north", "south", "east"})
                entries.push_back({std::string{region} + std::to_string(i), region});
        auto sum = 0;
        auto senders = 0;
        for (auto const& entry : entries) {
            auto each = endpoint_table{{}, {{"north-a", "north"}, {"south-a", "south"}}, entry.name, random};
            each.set_entries(entries, 0);
            for (auto number = 1; number <= 40; ++number) {
                auto cold = record(number, number % 2 == 0 ? "north-a" : "south-a");
                cold.cold_remaining = seconds{3};
                each.add_or_update(cold, now);
            }
            each.update_assignment(now);
            auto& endpoint = *each.all().at("i-7");
            if (!endpoint.assigned) continue;
            ++senders;
            for (auto i = 0; i < 100; ++i) {
                auto const at = now + milliseconds{10 * i};
                if (!within_cold_limit(endpoint, service, settings, at)) continue;
                endpoint.recent_sends.add(at);
                ++sum;
            }
        }
        CHECK(sum <= 26);
        CHECK(sum >= 13);
        CHECK(senders <= 24);
    }
}

TEST(placement_limits, all_entries_together_stay_within_the_retry_budget)
{
    auto limits = window_retry_budget_settings{};
    limits.ratio = 0.2;
    limits.reserve = 106;
    auto retries = 0;
    auto calls = 0;
    for (auto entry = 0; entry < limits.entries; ++entry) {
        auto budget = window_retry_budget{limits};
        for (auto i = 0; i < 1'000; ++i) {
            auto const at = now + milliseconds{10 * i};
            if (i % 20 == 0) {
                budget.on_call(at);
                ++calls;
            }
            retries += budget.try_spend(at) ? 1 : 0;
        }
    }
    CHECK(retries <= 0.2 * calls + 106);
    CHECK(retries >= 0.1 * calls);
}

TEST(placement_limits, retries_of_one_window_do_not_count_in_the_next)
{
    auto limits = window_retry_budget_settings{};
    limits.reserve = 16 * 5;
    auto budget = window_retry_budget{limits};
    auto count = [&](time_point at) {
        auto taken = 0;
        while (budget.try_spend(at))
            ++taken;
        return taken;
    };
    CHECK_EQUAL(5, count(now));
    CHECK_EQUAL(0, count(now + seconds{9}));
    CHECK_EQUAL(5, count(now + seconds{12}));
}

// ---- waiting at the entry

TEST_GROUP_BASE(call_waiting, placement_base)
{
    wait_settings limits;
    call_route route;

    void setup() override { route.target_latency = milliseconds{400}; }
};

// All slots are in use for a moment. A call waits only as long as its first event can still arrive in time.
TEST(call_waiting, a_longer_prompt_waits_less_and_one_that_cannot_meet_its_target_does_not_wait)
{
    CHECK_EQUAL(limits.max_wait.count(), wait_limit(route, service, 1'000, limits).count());
    auto const long_prompt = wait_limit(route, service, 6'000, limits);
    CHECK(long_prompt < limits.max_wait && long_prompt.count() > 0);
    CHECK_EQUAL(0, wait_limit(route, service, 12'000, limits).count());
}

TEST(call_waiting, calls_are_ordered_by_priority_then_by_arrival)
{
    auto queue = wait_queue{3};
    auto first = waiter{1, now, 0};
    auto second = waiter{1, now, 0};
    auto urgent = waiter{0, now, 0};
    CHECK(queue.add(first) && queue.add(second) && queue.add(urgent));
    auto fourth = waiter{0, now, 0};
    CHECK_FALSE(queue.add(fourth));
    auto const order = queue.by_priority();
    POINTERS_EQUAL(&urgent, order[0]);
    POINTERS_EQUAL(&first, order[1]);
    POINTERS_EQUAL(&second, order[2]);
    queue.remove(urgent);
    CHECK_EQUAL(2U, queue.size());
}
