// Service while the system changes: graceful stops, a failure domain out and back, a store outage, killed
// processes.
#include "support/await_condition.hpp"
#include "support/caller_load.hpp"

#include <csignal>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(a_running_system)
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

    // Requests that the engines or services of a failure domain have started.
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

// Guards against a planned stop that cuts a caller's answer.
TEST(a_running_system, an_entry_stops_without_an_error)
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

// Guards against a leaving endpoint that still gets work or whose requests are cut.
TEST(a_running_system, an_agent_stops_without_an_error)
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
TEST(a_running_system, an_agent_ends_in_order_when_requests_outlast_its_drain)
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

// Guards against new work in a failure domain that is out, and against a dip elsewhere when it returns.
TEST(a_running_system, a_failure_domain_leaves_within_three_seconds_and_returns)
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

// Guards against a store outage that becomes a service outage, and against a refusal "not run" that is false.
TEST(a_running_system, a_store_outage_does_not_stop_the_service)
{
    options.bookings = 2;
    begin_under_load();
    LONGS_EQUAL(200, book("visit-1", "before").status);
    call_json(system->key_value(), "POST", "/v1/fault", {{"unavailable", true}});
    pause(milliseconds{1'500});

    auto const refused = book("visit-2", "during, with a key");
    CHECK_TEXT(refused.status == 503, refused.body.c_str());
    STRCMP_EQUAL("no", std::string{refused.headers.find("X-Ran")}.c_str());
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

// Guards against an answer that looks complete after its agent died, and against a system that does not
// recover.
TEST(a_running_system, a_killed_agent_leads_to_no_wrong_answer)
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

// Guards against a booking that is lost or runs twice when the entry that took it dies.
TEST(a_running_system, a_booking_is_repeated_at_another_entry_after_a_kill)
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
    // In progress at first (409), then the first answer or "outcome unknown".
    auto last = http_response{};
    await_condition(milliseconds{6'000}, [&] {
        last = call(system->entries()[1]->client, request);
        return last.status != 409;
    });
    CHECK_TEXT(last.status == 200 || last.status == 504, last.body.c_str());
    LONGS_EQUAL(1, executions_of("ridge"));
}

// Guards against a new version that interrupts requests or mixes weights within an answer.
TEST(a_running_system, a_rollout_under_load_interrupts_no_request)
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
