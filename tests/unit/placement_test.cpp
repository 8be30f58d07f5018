// Where calls go, who waits and who is refused, under the loads that decide a day. No network, made-up time.
#include "hibiscuswall/serving/placement.hpp"
#include "hibiscuswall/serving/window_retry_budget.hpp"
#include "hibiscuswall/serving/wait_queue.hpp"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto slots = 16;

auto engine_service() -> service_entry
{
    auto service = service_entry{};
    service.name = "drafts";
    service.cold_rate = 36;
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
    service_entry service = engine_service();
    placement_settings settings;
    domain_set out;
    endpoint_table table{{}, {{"north-a", "north"}, {"south-a", "south"}}, "entry-1", random};
    std::set<std::string> tried;
    int prompt = 1'000;
    std::uint64_t lowest = 0;
    std::vector<std::string> regions;

    void setup() override
    {
        settings.cold_multiplier = 1.5;
        settings.cold_reserve = 5;
    }

    auto add(int count, std::string const& domain = "north-a")->void
    {
        for (auto i = 0; i < count; ++i)
            table.listed(record(static_cast<int>(table.all().size()) + 1, domain), now);
    }

    auto tell(int number, int running, int queued = 0,
              std::vector<std::string> entries = {"entry-1", "entry-2"})
        ->void
    {
        auto news = engine_news{};
        news.where = {"10.0.0." + std::to_string(number), 80};
        news.running = running;
        news.queued = queued;
        news.weights = loaded_weights{"m", 1, 0, 16};
        news.subscribers = static_cast<int>(entries.size());
        news.near_entries = std::move(entries);
        table.heard(news, microseconds{2'000}, now);
        table.deal_out();
    }

    auto decide()->placement
    {
        auto call = placement_call{};
        call.service = service.name;
        call.entry = &service;
        call.route_regions = regions;
        call.tried = &tried;
        call.lowest_version = lowest;
        call.prompt_tokens = prompt;
        call.region = "north";
        auto const endpoints = table.of_service("drafts");
        return place(call, endpoints, out, settings, now, random);
    }

    // Id of the chosen endpoint, which then holds the call; "none" when it is refused.
    auto send()->std::string
    {
        auto const decision = decide();
        if (!std::holds_alternative<placed>(decision)) return "none";
        auto& endpoint = *std::get<placed>(decision).endpoint;
        endpoint_table::sent(endpoint, now);
        endpoint.reading_tokens += prompt;
        return endpoint.record.id;
    }

    auto state(std::string const& id)->endpoint_state& { return *table.all().at(id); }
};

// ---- which endpoints may serve

TEST_GROUP_BASE(placement_allowed, placement_base){};

// Guards against work for an endpoint that leaves, stands in an evacuated domain or in a region that is not
// allowed.
TEST(placement_allowed, leaving_evacuated_and_foreign_endpoints_get_nothing)
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
    table.listed(leaving, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against a request that begins on weights whose time has passed, or on a part of the layers.
TEST(placement_allowed, an_engine_without_the_whole_allowed_weights_gets_nothing)
{
    add(1);
    lowest = 2;
    STRCMP_EQUAL("none", send().c_str());
    lowest = 0;
    auto part = record(1, "north-a");
    part.weights->end_layer = 8;
    table.listed(part, now);
    STRCMP_EQUAL("none", send().c_str());
    part.weights.reset();
    table.listed(part, now);
    STRCMP_EQUAL("none", send().c_str());
}

TEST(placement_allowed, an_engine_that_changes_its_weights_gets_nothing)
{
    add(1);
    tell(1, 3);
    auto news = *state("i-1").news;
    news.paused = true;
    table.heard(news, microseconds{0}, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against calls that arrive seconds late at a host whose link is full.
TEST(placement_allowed, a_host_behind_a_long_round_trip_gets_nothing)
{
    add(1);
    tell(1, 0);
    table.heard(*state("i-1").news, microseconds{400'000}, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against an endpoint that fails every call and still gets its share of them.
TEST(placement_allowed, a_failing_endpoint_is_tried_by_one_call_at_a_time)
{
    add(1);
    for (auto i = 0; i < 3; ++i)
        endpoint_table::failed(state("i-1"), now);
    STRCMP_EQUAL("none", send().c_str());
    now += seconds{1};
    STRCMP_EQUAL("i-1", send().c_str());
    STRCMP_EQUAL("none", send().c_str());
    endpoint_table::succeeded(state("i-1"));
    STRCMP_EQUAL("i-1", send().c_str());
}

// ---- records that come and go

TEST_GROUP_BASE(placement_records, placement_base){};

TEST(placement_records, a_record_that_goes_is_used_no_more_at_once)
{
    add(1);
    table.unlisted("i-1", false, now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against a pool that is empty because its leases ran out while the store was away.
TEST(placement_records, a_record_that_went_with_the_stores_outage_is_kept_for_a_while)
{
    service.cold_rate = 0;
    add(2);
    table.replace({}, true, now);
    CHECK(send() != "none");
    now += milliseconds{1'500};
    table.listed(record(1, "north-a"), now);
    now += milliseconds{1'000};
    table.remove_lapsed(now);
    tried.clear();
    for (auto i = 0; i < 8; ++i)
        STRCMP_EQUAL("i-1", send().c_str());
}

// Guards against an endpoint that really left just after the store's return and still gets calls after 2 s.
TEST(placement_records, a_record_that_does_not_come_back_is_used_no_more_well_within_two_seconds)
{
    add(1);
    table.unlisted("i-1", true, now);
    now += milliseconds{1'600};
    table.remove_lapsed(now);
    STRCMP_EQUAL("none", send().c_str());
}

// Guards against what was known of an endpoint being believed of its next start under the same id.
TEST(placement_records, another_start_under_the_same_id_is_another_endpoint)
{
    add(1);
    for (auto i = 0; i < 3; ++i)
        endpoint_table::failed(state("i-1"), now);
    auto again = record(1, "north-a");
    again.started_at_ms = 99;
    table.listed(again, now);
    CHECK_EQUAL(0, state("i-1").failures_in_row);
    tell(1, 5); // news of the start before
    CHECK_FALSE(state("i-1").news.has_value());
}

// ---- the ordinary load: free places everywhere

TEST_GROUP_BASE(placement_ordinary, placement_base){};

// Pattern: more free places than calls. The time to the first event then depends on what an engine has to
// read: calls that come together must not go to one engine.
TEST(placement_ordinary, calls_that_come_together_go_to_different_engines)
{
    add(8);
    for (auto i = 1; i <= 8; ++i)
        tell(i, 4);
    auto used = std::set<std::string>{};
    for (auto i = 0; i < 4; ++i)
        used.insert(send());
    CHECK_EQUAL(4U, used.size());
}

// Pattern: several entries with the same view of the engines. Each sends to its own engines first.
TEST(placement_ordinary, entries_send_to_different_engines_first)
{
    auto other = endpoint_table{{}, {{"north-a", "north"}}, "entry-2", random};
    add(8);
    for (auto i = 1; i <= 8; ++i) {
        other.listed(record(i, "north-a"), now);
        tell(i, 4);
        other.heard(*state("i-" + std::to_string(i)).news, microseconds{0}, now);
    }
    other.deal_out();
    auto mine = 0;
    for (auto const& [id, endpoint] : table.all()) {
        mine += endpoint->preferred ? 1 : 0;
        CHECK(endpoint->preferred != other.all().at(id)->preferred);
    }
    CHECK_EQUAL(4, mine);
    CHECK(state(send()).preferred);
}

TEST(placement_ordinary, calls_stay_in_the_region_while_its_engines_have_read_what_they_got)
{
    add(2, "north-a");
    add(2, "south-a");
    for (auto i = 1; i <= 4; ++i)
        tell(i, 4, 0, {"entry-1"});
    for (auto i = 0; i < 2; ++i) {
        auto& endpoint = state(send());
        STRCMP_EQUAL("north", endpoint.region.c_str());
        endpoint.reading_tokens = 0;
    }
}

TEST(placement_ordinary, a_longer_prompt_takes_longer_to_its_first_event)
{
    add(1);
    auto const shorter = first_event_ms(state("i-1"), *service.engine, 500);
    auto const longer = first_event_ms(state("i-1"), *service.engine, 3'800);
    CHECK(longer > shorter + 3'300 / 30.6);
}

// ---- overload

TEST_GROUP_BASE(placement_overload, placement_base){};

// Pattern: entries see the same free places in news that are a tenth of a second old. Together they must not
// take more than there are.
TEST(placement_overload, entries_share_the_free_places_of_an_engine)
{
    auto const entries = std::vector<std::string>{"e1", "e2", "e3", "e4", "e5", "e6"};
    auto taken = 0;
    auto rounds = 0;
    for (; rounds < 200; ++rounds) {
        for (auto const& name : entries) {
            auto each = endpoint_table{{}, {{"north-a", "north"}}, name, random};
            each.listed(record(1, "north-a"), now);
            auto news = engine_news{};
            news.where = {"10.0.0.1", 80};
            news.running = slots - 2;
            news.weights = loaded_weights{"m", 1, 0, 16};
            news.subscribers = 6;
            news.near_entries = entries;
            each.heard(news, microseconds{0}, now);
            each.deal_out();
            each.heard(news, microseconds{0}, now);
            taken += std::max(0, each.all().at("i-1")->room(slots));
        }
    }
    auto const mean = static_cast<double>(taken) / rounds;
    CHECK(mean <= 2.6);
    CHECK(mean >= 1.4);
}

// Pattern: every engine is full. A call is refused, with a time to come back that is spread.
TEST(placement_overload, a_full_pool_refuses_with_spread_times)
{
    add(3);
    for (auto i = 1; i <= 3; ++i)
        tell(i, slots, 2);
    auto times = std::set<long long>{};
    for (auto i = 0; i < 50; ++i) {
        auto const decision = decide();
        auto const& refusal = std::get<refused>(decision);
        CHECK(refusal_reason::all_full == refusal.reason);
        CHECK_EQUAL(3, refusal.usable);
        CHECK(refusal.retry_after >= settings.shortest_return &&
              refusal.retry_after <= settings.longest_return);
        times.insert(refusal.retry_after.count());
    }
    CHECK(times.size() > 20);
}

// Pattern: steady overload. A place that this entry's own call leaves is taken again at once, without news.
TEST(placement_overload, a_place_that_an_own_call_leaves_is_used_again)
{
    add(1);
    tell(1, slots - 1, 0, {"entry-1"});
    STRCMP_EQUAL("i-1", send().c_str());
    STRCMP_EQUAL("none", send().c_str());
    endpoint_table::ended(state("i-1"));
    STRCMP_EQUAL("i-1", send().c_str());
}

// ---- limits over all entries

TEST_GROUP_BASE(placement_limits, placement_base){};

// Pattern: an engine turns cold, all entries see it empty. In any second all of them together stay within
// 36 * 1.5 + 5 calls, also when none knows of the others.
TEST(placement_limits, all_entries_together_keep_to_the_cold_limit)
{
    auto sum = 0;
    for (auto entry = 0; entry < settings.most_entries; ++entry) {
        auto each = endpoint_table{{}, {}, "e" + std::to_string(entry), random};
        auto cold = record(1, "north-a");
        cold.cold_left = seconds{3};
        each.listed(cold, now);
        auto& endpoint = *each.all().at("i-1");
        for (auto i = 0; i < 100; ++i) {
            if (!within_cold_limit(endpoint, service, settings, now + milliseconds{10 * i})) continue;
            endpoint.sends.add(now + milliseconds{10 * i});
            ++sum;
        }
    }
    CHECK(sum <= 59);
    CHECK(sum >= 30);
}

TEST(placement_limits, all_entries_together_keep_to_the_budget_of_repeats)
{
    auto limits = repeat_budget_settings{};
    limits.ratio = 0.2;
    limits.reserve = 106;
    auto repeats = 0;
    auto calls = 0;
    for (auto entry = 0; entry < limits.most_entries; ++entry) {
        auto budget = repeat_budget{limits};
        for (auto i = 0; i < 1'000; ++i) {
            auto const at = now + milliseconds{10 * i};
            if (i % 20 == 0) {
                budget.on_call(at);
                ++calls;
            }
            repeats += budget.take(at) ? 1 : 0;
        }
    }
    CHECK(repeats <= 0.2 * calls + 106);
    CHECK(repeats >= 0.1 * calls);
}

TEST(placement_limits, repeats_of_one_window_do_not_bind_the_next)
{
    auto limits = repeat_budget_settings{};
    limits.reserve = 16 * 5;
    auto budget = repeat_budget{limits};
    auto count = [&](time_point at) {
        auto taken = 0;
        while (budget.take(at))
            ++taken;
        return taken;
    };
    CHECK_EQUAL(5, count(now));
    CHECK_EQUAL(0, count(now + seconds{9}));
    CHECK_EQUAL(5, count(now + seconds{12}));
}

// ---- the wait at the entry

TEST_GROUP_BASE(waiting, placement_base)
{
    waiting_settings limits;
    call_route route;

    void setup() override { route.target_latency = milliseconds{400}; }
};

// Pattern: all places taken for a moment. A call waits only as long as its first event can still be in time.
TEST(waiting, a_long_prompt_waits_less_and_a_hopeless_one_not_at_all)
{
    CHECK_EQUAL(limits.longest.count(), wait_limit(route, service, 1'000, limits).count());
    auto const long_prompt = wait_limit(route, service, 6'000, limits);
    CHECK(long_prompt < limits.longest && long_prompt.count() > 0);
    CHECK_EQUAL(0, wait_limit(route, service, 12'000, limits).count());
}

TEST(waiting, the_most_urgent_goes_first_then_who_came_first)
{
    auto room = waiting_room{3};
    auto usual = waiter{1, now, 0};
    auto later = waiter{1, now, 0};
    auto urgent = waiter{0, now, 0};
    CHECK(room.add(usual) && room.add(later) && room.add(urgent));
    auto fourth = waiter{0, now, 0};
    CHECK_FALSE(room.add(fourth));
    auto const order = room.in_order();
    POINTERS_EQUAL(&urgent, order[0]);
    POINTERS_EQUAL(&usual, order[1]);
    POINTERS_EQUAL(&later, order[2]);
    room.remove(urgent);
    CHECK_EQUAL(2U, room.size());
}
