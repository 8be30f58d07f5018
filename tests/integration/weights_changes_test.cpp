// Weights while versions, agents, engines and sources change, with real agents and a slow source.
#include "support/await_condition.hpp"
#include "support/caller_load.hpp"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(weights_while_the_system_changes)
{
    static constexpr auto copy = std::size_t{1'000'000};
    static constexpr auto chunk = std::size_t{16 * 1024};
    static constexpr auto regions = std::size_t{3};
    static constexpr auto bound = milliseconds{20'000};

    deployment_options options;
    std::unique_ptr<deployment> system;
    std::unique_ptr<caller_load> load;

    void setup() override
    {
        options.engines = 6; // two in each region
        options.model_bytes = copy;
        options.chunk_bytes = chunk;
    }
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

    auto set_sources(nlohmann::json const& fault)->void
    {
        call_json(system->store(), "POST", "/v1/fault", fault);
        call_json(system->origin(), "POST", "/v1/fault", fault);
    }

    auto drawn()->std::size_t
    {
        return call_json(system->store(), "GET", "/v1/stats")["bytes_sent"].get<std::size_t>() +
               call_json(system->origin(), "GET", "/v1/stats")["bytes_sent"].get<std::size_t>();
    }

    // An empty object while the agent does not answer.
    auto status_of(std::string const& name)->nlohmann::json
    {
        auto const question = nlohmann::json{{"jsonrpc", "2.0"},
                                             {"id", 1},
                                             {"method", "weights.status"},
                                             {"params", nlohmann::json::object()}};
        auto const answer = call_json(system->find(name)->control, "POST", "/rpc", question);
        return answer.is_object() ? answer.value("result", nlohmann::json::object())
                                  : nlohmann::json::object();
    }

    // The record of a version on a host; an empty object when there is none.
    auto record_of(std::string const& name, std::string const& version)->nlohmann::json
    {
        for (auto const& item : status_of(name).value("versions", nlohmann::json::array()))
            if (item["version"] == "snow/" + version) return item;
        return nlohmann::json::object();
    }

    auto await_held(std::string const& name, std::string const& version, int chunks)->bool
    {
        return await_condition(bound,
                               [&] { return record_of(name, version).value("chunks_held", 0) >= chunks; });
    }

    auto await_active(std::string const& version)->bool
    {
        return await_condition(bound, [&] {
            auto const agents = system->agents();
            return std::all_of(agents.begin(), agents.end(), [&](auto const* agent) {
                return status_of(agent->name).value("active", "") == "snow/" + version;
            });
        });
    }

    // Loads that an engine finished.
    auto loads_of(deployment_host const& agent)->int
    {
        return call_json(agent.endpoint, "GET", "/v1/records")["loads"].get<int>();
    }

    auto expect_no_error()->void
    {
        auto const counts = load->stop();
        CHECK_TEXT(counts.failed == 0 && counts.wrong == 0, describe_problems(counts).c_str());
    }
};

// Guards against a transfer that goes on after its version was replaced, and against fetching chunks of equal
// digest a second time.
TEST(weights_while_the_system_changes, a_version_changed_in_the_middle_keeps_the_chunks_it_shares)
{
    begin();
    // v3 differs from v2 in its last two chunks.
    auto const shared = static_cast<int>(copy / chunk) - 1;
    for (auto const& where : {system->store(), system->origin()})
        call_json(where, "PUT", "/v1/models/snow/v3",
                  {{"size", copy}, {"seed", 3}, {"shared_seed", 2}, {"shared_chunks", shared}});
    set_sources({{"rate", 300'000.0}});
    auto const before = drawn();
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_held("drafting-0", "v2", 30));
    LONGS_EQUAL(200, system->set_version("v3").status);
    set_sources({{"rate", 0.0}});
    CHECK(await_active("v3"));

    // Chunks in flight at the change may come twice: at most one draw and six fetches on each host.
    CHECK(drawn() - before < regions * (copy + 10 * chunk));
    for (auto const* agent : system->agents()) {
        LONGS_EQUAL(2, loads_of(*agent)); // v1 and v3
        CHECK(record_of(agent->name, "v2").empty());
    }
}

// Guards against a host that ends on an older declaration, and against two versions in one answer.
TEST(weights_while_the_system_changes, of_versions_declared_in_quick_succession_the_last_one_serves)
{
    begin();
    load = std::make_unique<caller_load>(*system, 4, 20);
    for (auto const* version : {"v2", "v1", "v2"})
        LONGS_EQUAL(200, system->set_version(version).status);
    CHECK(await_active("v2"));
    std::this_thread::sleep_for(milliseconds{500});
    CHECK(await_active("v2"));
    for (auto const* agent : system->agents()) {
        auto const records = call_json(agent->endpoint, "GET", "/v1/records");
        LONGS_EQUAL(0, records["loads_while_running"].get<int>());
        LONGS_EQUAL(0, records["violations"].get<int>());
    }
    expect_no_error();
}

// Guards against a restarted host that draws a whole copy although its region holds most of it, and against a
// transfer that waits for it.
TEST(weights_while_the_system_changes, an_agent_restarted_with_nothing_gets_its_chunks_from_its_region)
{
    begin();
    set_sources({{"rate", 300'000.0}});
    auto const before = drawn();
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_held("drafting-3", "v2", 30));
    auto& agent = *system->find("drafting-3");
    agent.daemon.kill();
    system->restart_daemon(agent);
    CHECK(await_active("v2"));
    // Lost with the agent: at most the half that it had drawn itself.
    CHECK(drawn() - before < regions * copy + copy / 2 + regions * 4 * chunk);
}

// Guards against a rollout that one restarted engine stops.
TEST(weights_while_the_system_changes, an_engine_restarted_during_a_load_loads_again)
{
    options.engine_arguments.insert(options.engine_arguments.end(), {"--load-ms", "800"});
    begin();
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_condition(bound,
                          [&] { return record_of("drafting-0", "v2").value("state", "") == "loading"; }));
    std::this_thread::sleep_for(milliseconds{200});
    call_json(system->find("drafting-0")->endpoint, "POST", "/v1/fault", {{"restart", true}});
    CHECK(await_active("v2"));
}

// Guards against a new version that hangs on a dead or bad weight store although the origin works, and
// against a service that stops when neither works.
TEST(weights_while_the_system_changes, without_store_or_origin_the_old_version_serves_until_one_returns)
{
    begin();
    load = std::make_unique<caller_load>(*system, 4, 20);
    set_sources({{"unavailable", true}});
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_condition(bound, [&] { return record_of("drafting-0", "v2").contains("reason"); }));
    STRCMP_EQUAL("snow/v1", status_of("drafting-0").value("active", "").c_str());
    // The store answers again, but every chunk it sends is bad.
    call_json(system->store(), "POST", "/v1/fault", {{"corrupt_blobs", 1'000'000}});
    std::this_thread::sleep_for(milliseconds{1'000});
    call_json(system->origin(), "POST", "/v1/fault", nlohmann::json::object());
    CHECK(await_active("v2"));
    expect_no_error();
}

// Guards against a returning failure domain that overruns the sources and against a dip in the others.
TEST(weights_while_the_system_changes, a_failure_domain_that_returns_at_once_draws_about_one_copy)
{
    begin();
    auto returning = std::vector<deployment_host*>{system->find("drafting-0"), system->find("drafting-3")};
    for (auto* agent : returning)
        agent->daemon.kill();
    std::this_thread::sleep_for(milliseconds{1'000});
    load = std::make_unique<caller_load>(*system, 4, 20);
    // At full speed one host draws what the other has not announced yet, up to half a copy more.
    set_sources({{"rate", 500'000.0}});
    auto const before = drawn();
    for (auto* agent : returning)
        system->restart_daemon(*agent);
    CHECK(await_active("v1"));
    auto const copies = std::to_string(drawn() - before) + " bytes drawn";
    UT_PRINT(copies.c_str());
    CHECK_TEXT(drawn() - before <= copy + copy / 10, copies.c_str()); // 1.1 copies for a region that draws
    std::this_thread::sleep_for(milliseconds{500});
    expect_no_error();
}
