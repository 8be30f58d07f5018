// Choice of endpoints: nearer tiers first, none that is out of service or leaving, and readmission of ejected
// endpoints by single probes.
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

// Guards against calls that cross failure domains while endpoints of the nearer tier have free slots.
TEST(routing_tiers, chooses_farther_tier_only_when_nearer_ones_are_full)
{
    for (auto i = 0; i < 50; ++i)
        CHECK(choose().starts_with("near"));
    report("near-1", 5, 4);
    report("near-2", 5, 4);
    STRCMP_EQUAL("mid", choose().c_str());
    report("mid", 5, 4);
    STRCMP_EQUAL("far", choose().c_str());
}

// Guards against new calls to a failure domain or host that operators took out of service.
TEST(routing_tiers, skips_hosts_and_failure_domains_out_of_service)
{
    view.failure_domains["gor-a"].in_service = false;
    view.hosts["mid"].in_service = false;
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("far", choose().c_str());
}

// Guards against new calls to an endpoint that leaves according to the member table or to a response.
TEST(routing_tiers, skips_leaving_endpoints)
{
    hosts[0].state = member_state::leaving;
    router.update(hosts);
    report("near-2", 0, 4, "leaving");
    STRCMP_EQUAL("mid", choose().c_str());
}

// Guards against a subset with endpoints of one failure domain only, which is empty once that domain is taken
// out of service.
TEST(routing_tiers, subset_is_bounded_stable_and_spans_failure_domains)
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

// Guards against a choice that ignores the calls that this entry sent since the latest response.
TEST(routing_load, chooses_less_loaded_of_two_endpoints)
{
    report("near-1", 0, 4);
    report("near-2", 0, 4);
    router.on_sent("near-1", now);
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("near-2", choose().c_str());
}

// Guards against a frequent prompt prefix that overloads its endpoint.
TEST(routing_load, keeps_endpoint_of_prefix_until_load_exceeds_affinity_bound)
{
    report("near-1", 0, 100);
    report("near-2", 0, 100);
    query.prefix = "winter road summary";
    auto const preferred = choose();
    for (auto i = 0; i < 10; ++i)
        STRCMP_EQUAL(preferred.c_str(), choose().c_str());
    for (auto i = 0; i < 4; ++i)
        router.on_sent(preferred, now);
    CHECK(choose() != preferred);
}

// Guards against an endpoint that counts as full forever: it receives no calls, so no response corrects its
// load.
TEST(routing_load, reported_load_decays_without_new_reports)
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

// Guards against running calls of this entry that no longer count as load.
TEST(routing_load, load_of_own_calls_does_not_decay)
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

TEST(routing_ejection, skips_endpoint_after_consecutive_failures)
{
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("near-2", choose().c_str());
}

// Guards against a burst of calls to an endpoint that may still be failing.
TEST(routing_ejection, readmits_endpoint_after_one_successful_probe)
{
    now += settings.ejection_duration;
    STRCMP_EQUAL("near-1", choose().c_str());
    router.on_sent("near-1", now);
    for (auto i = 0; i < 20; ++i)
        STRCMP_EQUAL("near-2", choose().c_str());
    router.on_finished("near-1");
    CHECK(!router.stats_of("near-1")->ejected);
}

TEST(routing_ejection, doubles_ejection_after_failed_probe)
{
    now += settings.ejection_duration;
    fail_times("near-1", 1);
    now += settings.ejection_duration;
    STRCMP_EQUAL("near-2", choose().c_str());
    now += settings.ejection_duration;
    STRCMP_EQUAL("near-1", choose().c_str());
}

// Guards against a booking that is lost as the probe of a failing endpoint.
TEST(routing_ejection, does_not_probe_with_calls_that_must_not_be_retried)
{
    now += settings.ejection_duration;
    query.may_probe = false;
    STRCMP_EQUAL("near-2", choose().c_str());
}

// Guards against an endpoint that stays ejected because only calls that must not be retried arrive.
TEST(routing_ejection, is_due_for_only_one_probe_at_a_time)
{
    LONGS_EQUAL(0, router.endpoints_due_for_probe(now).size());
    now += settings.ejection_duration;
    auto const due = router.endpoints_due_for_probe(now);
    LONGS_EQUAL(1, due.size());
    STRCMP_EQUAL("near-1", due[0].name.c_str());
    router.on_sent("near-1", now);
    LONGS_EQUAL(0, router.endpoints_due_for_probe(now).size());
    router.on_finished("near-1");
    CHECK(!router.stats_of("near-1")->ejected);
}

// Guards against a restarted process that stays ejected for failures of the previous one.
TEST(routing_ejection, resets_stats_on_new_incarnation)
{
    hosts[0].incarnation = 2;
    router.update(hosts);
    CHECK(!router.stats_of("near-1")->ejected);
}

TEST_GROUP(retry_budget){};

// Guards against retries that amplify an overload.
TEST(retry_budget, limits_retries_to_tenth_of_requests)
{
    auto budget = retry_budget{5.0};
    auto spent = 0;
    for (auto i = 0; i < 1'000; ++i) {
        budget.on_request(0.1);
        spent += budget.try_spend() ? 1 : 0;
    }
    CHECK(spent <= 105);
    CHECK(spent >= 99);
}
