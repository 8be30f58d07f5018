// Choice among endpoints: near before far, never one that is out or leaving, failed ones back by single
// probes.
#include "hibiscuswall/routing/endpoint_router.hpp"
#include "hibiscuswall/routing/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto agent(std::string name, std::string domain, std::string region) -> member
{
    auto host = member{};
    host.name = std::move(name);
    host.failure_domain = std::move(domain);
    host.region = std::move(region);
    host.service = "records";
    host.incarnation = 1;
    return host;
}

} // namespace

TEST_BASE(routing_base)
{
    time_point now{seconds{1'000}};
    random_source random{7};
    routing_settings settings;
    config_view view;
    route_query query;
    std::vector<member> hosts{agent("near-1", "gor-a", "gorenjska"), agent("near-2", "gor-a", "gorenjska"),
                              agent("mid", "gor-b", "gorenjska"), agent("far", "sta-a", "stajerska")};
    endpoint_router router{agent("entry-1", "gor-a", "gorenjska"), settings};

    void setup() override
    {
        query.service = "records";
        router.update(hosts);
    }

    auto choose()->std::string
    {
        auto const chosen = router.choose(query, view, now, random);
        return chosen ? chosen->name : "none";
    }

    auto report(std::string const& host, int in_flight, int limit, std::string state = "ready")->void
    {
        router.on_sent(host, now);
        router.on_report(host, {in_flight, limit, 1, std::move(state), "", result_code::ok}, now);
        router.on_finished(host);
    }

    auto fail_times(std::string const& host, int times)->void
    {
        for (auto i = 0; i < times; ++i) {
            router.on_sent(host, now);
            router.on_failure(host, now);
        }
    }
};

TEST_GROUP_BASE(routing_tiers, routing_base){};

// Guards against calls that cross failure domains while the near ones have room.
TEST(routing_tiers, near_endpoints_come_first_and_far_ones_when_they_are_full)
{
    for (auto i = 0; i < 50; ++i)
        CHECK(choose().starts_with("near"));
    report("near-1", 5, 4);
    report("near-2", 5, 4);
    STRCMP_EQUAL("mid", choose().c_str());
    report("mid", 5, 4);
    STRCMP_EQUAL("far", choose().c_str());
}

// Guards against new work for a failure domain or host that operators took out.
TEST(routing_tiers, nothing_is_chosen_out_of_service)
{
    view.failure_domains["gor-a"].in_service = false;
    view.hosts["mid"].in_service = false;
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("far", choose().c_str());
}

// Guards against new work for a leaving endpoint, learned from the member table or from an answer.
TEST(routing_tiers, a_leaving_endpoint_is_not_chosen)
{
    hosts[0].state = member_state::leaving;
    router.update(hosts);
    report("near-2", 0, 4, "leaving");
    STRCMP_EQUAL("mid", choose().c_str());
}

// Guards against a subset with near endpoints only, which is empty once their failure domain is out.
TEST(routing_tiers, the_subset_is_bounded_stable_and_reaches_other_failure_domains)
{
    for (auto i = 0; i < 200; ++i)
        hosts.push_back(agent("more-" + std::to_string(i), "gor-a", "gorenjska"));
    router.update(hosts);
    auto const first = router.subset_of("records");
    CHECK_EQUAL(64U, first.size());
    CHECK(std::find(first.begin(), first.end(), "far") != first.end());
    std::reverse(hosts.begin(), hosts.end());
    router.update(hosts);
    CHECK(first == router.subset_of("records"));
}

TEST_GROUP_BASE(routing_load, routing_base){};

// Guards against a choice that ignores what this entry has sent since the last answer.
TEST(routing_load, the_less_loaded_of_two_is_taken)
{
    report("near-1", 0, 4);
    report("near-2", 0, 4);
    router.on_sent("near-1", now);
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("near-2", choose().c_str());
}

// Guards against a popular prompt prefix that overloads the endpoint holding it.
TEST(routing_load, a_prefix_stays_with_its_endpoint_until_that_has_more_than_its_share)
{
    report("near-1", 0, 100);
    report("near-2", 0, 100);
    query.prefix = "winter road summary";
    auto const home = choose();
    for (auto i = 0; i < 10; ++i)
        STRCMP_EQUAL(home.c_str(), choose().c_str());
    for (auto i = 0; i < 4; ++i)
        router.on_sent(home, now);
    CHECK(choose() != home);
}

// Guards against an endpoint that counts as full for good because nothing is sent there that could tell
// otherwise.
TEST(routing_load, a_told_load_decays_when_no_answer_renews_it)
{
    report("near-1", 6, 4);
    report("near-2", 6, 4);
    now += settings.report_lifetime;
    CHECK(!choose().starts_with("near"));
    now += settings.report_lifetime;
    CHECK(choose().starts_with("near"));
    report("near-1", 6, 4);
    report("near-2", 6, 4);
    CHECK(!choose().starts_with("near"));
}

// Guards against calls of this entry that are forgotten while they still run.
TEST(routing_load, own_calls_do_not_decay)
{
    hosts.resize(1);
    hosts.push_back(agent("far", "sta-a", "stajerska"));
    router.update(hosts);
    report("near-1", 0, 4);
    for (auto i = 0; i < 4; ++i)
        router.on_sent("near-1", now);
    now += 100 * settings.report_lifetime;
    STRCMP_EQUAL("far", choose().c_str());
}

TEST_GROUP_BASE(routing_ejection, routing_base){void setup() override{routing_base::setup();
hosts.resize(2);
router.update(hosts);
fail_times("near-1", settings.failures_to_eject);
}
}
;

TEST(routing_ejection, an_endpoint_that_fails_repeatedly_is_left_out)
{
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("near-2", choose().c_str());
}

// Guards against a burst of calls on an endpoint that may still be broken.
TEST(routing_ejection, one_probe_at_a_time_brings_it_back)
{
    now += settings.ejection;
    STRCMP_EQUAL("near-1", choose().c_str());
    router.on_sent("near-1", now);
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("near-2", choose().c_str());
    router.on_finished("near-1");
    CHECK(!router.state_of("near-1")->ejected);
}

TEST(routing_ejection, a_failed_probe_doubles_the_ejection)
{
    now += settings.ejection;
    fail_times("near-1", 1);
    now += settings.ejection;
    STRCMP_EQUAL("near-2", choose().c_str());
    now += settings.ejection;
    STRCMP_EQUAL("near-1", choose().c_str());
}

// Guards against a booking that is spent on finding out whether an endpoint works.
TEST(routing_ejection, calls_that_must_not_repeat_are_no_probes)
{
    now += settings.ejection;
    query.may_probe = false;
    STRCMP_EQUAL("near-2", choose().c_str());
}

// Guards against an endpoint that never returns because only calls that must not repeat come.
TEST(routing_ejection, is_due_for_a_probe_once_at_a_time)
{
    LONGS_EQUAL(0, router.endpoints_due_for_probe(now).size());
    now += settings.ejection;
    auto const due = router.endpoints_due_for_probe(now);
    LONGS_EQUAL(1, due.size());
    STRCMP_EQUAL("near-1", due[0].name.c_str());
    router.on_sent("near-1", now);
    LONGS_EQUAL(0, router.endpoints_due_for_probe(now).size());
    router.on_finished("near-1");
    CHECK(!router.state_of("near-1")->ejected);
}

// Guards against a new process that pays for the one before it.
TEST(routing_ejection, a_new_incarnation_starts_clean)
{
    hosts[0].incarnation = 2;
    router.update(hosts);
    CHECK(!router.state_of("near-1")->ejected);
}

TEST_GROUP(retry_budget){};

// Guards against retries that multiply an overload.
TEST(retry_budget, retries_stay_a_tenth_of_the_requests)
{
    auto budget = retry_budget{5.0};
    auto taken = 0;
    for (auto i = 0; i < 1'000; ++i) {
        budget.on_request(0.1);
        taken += budget.try_spend() ? 1 : 0;
    }
    CHECK(taken <= 105);
    CHECK(taken >= 99);
}
