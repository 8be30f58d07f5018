// Service during graceful stops, changes of failure domains, a store outage, killed processes and a rollout.
#include "support/await_condition.hpp"
#include "support/caller_load.hpp"

#include <csignal>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(running_system)
{
    deployment_options options;
    std::unique_ptr<deployment> system;
    std::unique_ptr<caller_load> load;

    void teardown() override
    {
        load.reset();
        system.reset();
    }

    auto begin()->void
    {
        system = std::make_unique<deployment>(options);
        auto const started = system->start();
        CHECK_TEXT(started, system->problem().c_str());
    }

    auto begin_under_load()->void
    {
        begin();
        load = std::make_unique<caller_load>(*system, 4, 20);
        CHECK(await_condition(milliseconds{10'000}, [&] { return load->complete_count() >= 8; }));
    }

    static auto pause(milliseconds time)->void { std::this_thread::sleep_for(time); }

    auto records_of(std::string const& name)->nlohmann::json
    {
        return call_json(system->find(name)->endpoint, "GET", "/v1/records");
    }

    // Number of requests that the engines or services of a failure domain have started.
    auto started_in(std::string const& domain)->std::size_t
    {
        auto count = std::size_t{0};
        for (auto const* agent : system->agents()) {
            if (agent->failure_domain != domain) continue;
            auto const records = call_json(agent->endpoint, "GET", "/v1/records");
            count += records[agent->service == "drafting" ? "requests" : "records"].size();
        }
        return count;
    }

    auto cold_limit_violations()->int
    {
        auto count = 0;
        for (auto const* agent : system->agents())
            if (agent->service == "drafting") count += records_of(agent->name)["violations"].get<int>();
        return count;
    }

    auto expect_no_error()->void
    {
        auto const counts = load->stop();
        CHECK_TEXT(counts.failed == 0 && counts.wrong == 0, describe_problems(counts).c_str());
    }

    auto book(std::string const& key, std::string const& body)->http_response
    {
        auto request = http_request{"POST", "/v1/services/booking/visits"};
        request.headers.set("Authorization", "Bearer key-guild");
        if (!key.empty()) request.headers.set("Idempotency-Key", key);
        request.body = body;
        return call(system->entries().front()->client, std::move(request));
    }

    auto executions_of(std::string const& body)->int
    {
        auto count = 0;
        for (auto const* agent : system->agents()) {
            if (agent->service != "booking") continue;
            auto const records = records_of(agent->name);
            for (auto const& record : records["records"])
                count += record["body"] == body ? 1 : 0;
        }
        return count;
    }
};

// Guards against a graceful stop that interrupts a caller's response.
TEST(running_system, entry_stopped_under_load_causes_no_error)
{
    begin_under_load();
    auto& entry = *system->entries().front();
    entry.daemon.send_signal(SIGTERM);
    auto const code = entry.daemon.wait(milliseconds{15'000});
    CHECK(code.has_value());
    LONGS_EQUAL(0, *code);
    pause(milliseconds{500});
    expect_no_error();
}

// Guards against a leaving endpoint that still receives work or whose requests are interrupted.
TEST(running_system, agent_stopped_under_load_causes_no_error)
{
    begin_under_load();
    auto& agent = *system->find("drafting-0");
    agent.daemon.send_signal(SIGTERM);
    auto const code = agent.daemon.wait(milliseconds{15'000});
    CHECK(code.has_value());
    LONGS_EQUAL(0, *code);
    pause(milliseconds{1'000});
    expect_no_error();
    auto const records = records_of("drafting-0");
    CHECK(!records["requests"].empty());
    for (auto const& request : records["requests"])
        STRCMP_EQUAL("finished", request["state"].get<std::string>().c_str());
}

// Guards against an agent that crashes when requests outlast its drain timeout.
TEST(running_system, agent_exits_cleanly_when_requests_outlast_its_drain_timeout)
{
    options.engine_arguments = {"--token-ms", "200", "--prefill-ms", "5"};
    options.agent_settings = {{"stop", {{"drain_timeout_ms", 100}}}};
    begin();
    load = std::make_unique<caller_load>(*system, 4, 20);
    auto& agent = *system->find("drafting-0");
    CHECK(
        await_condition(milliseconds{5'000}, [&] { return !records_of("drafting-0")["requests"].empty(); }));
    agent.daemon.send_signal(SIGTERM);
    auto const code = agent.daemon.wait(milliseconds{5'000});
    CHECK(code.has_value());
    LONGS_EQUAL(0, *code);
}

// Guards against new work in a failure domain that is out of service, and against errors or exceeded cold
// limits when it returns.
TEST(running_system, failure_domain_taken_out_gets_no_work_after_three_seconds_until_it_returns)
{
    begin_under_load();
    LONGS_EQUAL(200, system->set_failure_domain("sta-a", false).status);
    pause(milliseconds{3'000});
    auto const at_bound = started_in("sta-a");
    pause(milliseconds{1'500});
    LONGS_EQUAL(at_bound, started_in("sta-a"));
    LONGS_EQUAL(200, system->set_failure_domain("sta-a", true).status);
    CHECK(await_condition(milliseconds{10'000}, [&] { return started_in("sta-a") > at_bound; }));
    expect_no_error();
    LONGS_EQUAL(0, cold_limit_violations());
}

// Guards against a store outage that stops the service, and against a false "not run".
TEST(running_system, store_outage_rejects_calls_with_a_key_and_no_others)
{
    options.bookings = 2;
    begin_under_load();
    LONGS_EQUAL(200, book("visit-1", "before").status);
    call_json(system->key_value(), "POST", "/v1/fault", {{"unavailable", true}});
    pause(milliseconds{1'500});

    auto const rejected = book("visit-2", "during, with a key");
    CHECK_TEXT(rejected.status == 503, rejected.body.c_str());
    STRCMP_EQUAL("no", std::string{rejected.headers.find("X-Ran")}.c_str());
    LONGS_EQUAL(0, executions_of("during, with a key"));
    LONGS_EQUAL(200, book("", "during, without a key").status);
    LONGS_EQUAL(1, executions_of("during, without a key"));

    call_json(system->key_value(), "POST", "/v1/fault", nlohmann::json::object());
    CHECK(await_condition(milliseconds{5'000},
                          [&] { return book("visit-2", "during, with a key").status == 200; }));
    LONGS_EQUAL(1, executions_of("during, with a key"));
    LONGS_EQUAL(200, book("visit-1", "before").status);
    LONGS_EQUAL(1, executions_of("before"));
    expect_no_error();
}

// Guards against a response that appears complete although its agent was killed, and against a system that
// does not recover.
TEST(running_system, killed_agent_causes_no_wrong_response)
{
    begin_under_load();
    auto& agent = *system->find("drafting-1");
    agent.daemon.kill();
    pause(milliseconds{1'500});
    system->restart_daemon(agent);
    CHECK(await_condition(milliseconds{15'000}, [&] {
        return call(agent.control, {"GET", "/readyz"}).status == 200;
    }));
    auto const counts = load->stop();
    LONGS_EQUAL(0, counts.wrong);
    load = std::make_unique<caller_load>(*system, 4, 20);
    pause(milliseconds{1'000});
    expect_no_error();
    LONGS_EQUAL(0, cold_limit_violations());
}

// Guards against a booking that is lost or runs twice when the entry that received it is killed.
TEST(running_system, booking_of_killed_entry_runs_once_when_retried_at_another)
{
    options.bookings = 2;
    options.service_arguments = {"--service-ms", "800"};
    begin();
    auto caller = std::thread{[&] { book("visit-1", "ridge"); }};
    auto const arrived = await_condition(milliseconds{5'000}, [&] { return executions_of("ridge") == 1; });
    system->entries().front()->daemon.kill();
    caller.join();
    CHECK(arrived);

    auto request = http_request{"POST", "/v1/services/booking/visits"};
    request.headers.set("Authorization", "Bearer key-guild");
    request.headers.set("Idempotency-Key", "visit-1");
    request.body = "ridge";
    // In progress at first (409), then the first response or "outcome unknown".
    auto last = http_response{};
    await_condition(milliseconds{6'000}, [&] {
        last = call(system->entries()[1]->client, request);
        return last.status != 409;
    });
    CHECK_TEXT(last.status == 200 || last.status == 504, last.body.c_str());
    LONGS_EQUAL(1, executions_of("ridge"));
}

// Guards against a rollout that interrupts requests or mixes weights within a response.
TEST(running_system, rollout_under_load_interrupts_no_request)
{
    begin_under_load();
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_condition(milliseconds{20'000}, [&] {
        for (auto const* agent : system->agents())
            if (call_json(agent->endpoint, "GET", "/v1/status")["version"] != "v2") return false;
        return true;
    }));
    pause(milliseconds{500});
    expect_no_error();
    LONGS_EQUAL(0, cold_limit_violations());
    for (auto const* agent : system->agents())
        LONGS_EQUAL(0, records_of(agent->name)["loads_while_running"].get<int>());
}
