// Weight transfer and activation while versions, agents, engines and sources change, with real agents and a
// slow source.
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

    auto source_bytes_sent()->std::size_t
    {
        return call_json(system->store(), "GET", "/v1/stats")["bytes_sent"].get<std::size_t>() +
               call_json(system->origin(), "GET", "/v1/stats")["bytes_sent"].get<std::size_t>();
    }

    // An empty object if the agent does not respond.
    auto status_of(std::string const& name)->nlohmann::json
    {
        auto const request = nlohmann::json{{"jsonrpc", "2.0"},
                                            {"id", 1},
                                            {"method", "weights.status"},
                                            {"params", nlohmann::json::object()}};
        auto const response = call_json(system->find(name)->control, "POST", "/rpc", request);
        return response.is_object() ? response.value("result", nlohmann::json::object())
                                    : nlohmann::json::object();
    }

    // The record of a version on a host; an empty object if there is none.
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

    // Number of loads that an engine finished.
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

// Guards against a transfer that continues after its version was replaced, and against fetching chunks of
// equal digest twice.
TEST(weights_while_the_system_changes, version_replaced_during_its_transfer_keeps_the_shared_chunks)
{
    begin();
    // v3 differs from v2 in its last two chunks.
    auto const shared = static_cast<int>(copy / chunk) - 1;
    for (auto const& where : {system->store(), system->origin()})
        call_json(where, "PUT", "/v1/models/snow/v3",
                  {{"size", copy}, {"seed", 3}, {"shared_seed", 2}, {"shared_chunks", shared}});
    set_sources({{"rate", 300'000.0}});
    auto const before = source_bytes_sent();
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_held("drafting-0", "v2", 30));
    LONGS_EQUAL(200, system->set_version("v3").status);
    set_sources({{"rate", 0.0}});
    CHECK(await_active("v3"));

    // Chunks in flight at the change may be fetched twice: at most one source fetch and six peer fetches per
    // host.
    CHECK(source_bytes_sent() - before < regions * (copy + 10 * chunk));
    for (auto const* agent : system->agents()) {
        LONGS_EQUAL(2, loads_of(*agent)); // v1 and v3
        CHECK(record_of(agent->name, "v2").empty());
    }
}

// Guards against a host that ends on an older declaration, and against two versions in one response.
TEST(weights_while_the_system_changes, last_of_several_quick_declarations_serves)
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

// Guards against a restarted host that fetches a complete copy from the source although its region holds most
// of it, and against a transfer that waits for that host.
TEST(weights_while_the_system_changes, agent_restarted_without_chunks_fetches_them_in_its_region)
{
    begin();
    set_sources({{"rate", 300'000.0}});
    auto const before = source_bytes_sent();
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_held("drafting-3", "v2", 30));
    auto& agent = *system->find("drafting-3");
    agent.daemon.kill();
    system->restart_daemon(agent);
    CHECK(await_active("v2"));
    // The agent lost at most the half that it had fetched from the source itself.
    CHECK(source_bytes_sent() - before < regions * copy + copy / 2 + regions * 4 * chunk);
}

// One digit of a chunk's digest is altered in the first manifests that each source sends, so that every host
// has a wrong one. Guards against hosts that ask for ever for a chunk that nobody knows.
TEST(weights_while_the_system_changes, a_manifest_altered_on_its_way_is_asked_for_again)
{
    begin();
    set_sources({{"alter_manifests", options.engines}});
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_active("v2"));
}

// Guards against a rollout that stops because one engine restarted.
TEST(weights_while_the_system_changes, engine_restarted_during_a_load_loads_again)
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

// Guards against a transfer that stays at an unavailable or corrupt weight store although the origin works,
// and against a service that stops if neither works.
TEST(weights_while_the_system_changes, old_version_serves_while_store_and_origin_are_unavailable)
{
    begin();
    load = std::make_unique<caller_load>(*system, 4, 20);
    set_sources({{"unavailable", true}});
    LONGS_EQUAL(200, system->set_version("v2").status);
    CHECK(await_condition(bound, [&] { return record_of("drafting-0", "v2").contains("reason"); }));
    STRCMP_EQUAL("snow/v1", status_of("drafting-0").value("active", "").c_str());
    // The store responds again, but every chunk it sends is corrupt.
    call_json(system->store(), "POST", "/v1/fault", {{"corrupt_blobs", 1'000'000}});
    std::this_thread::sleep_for(milliseconds{1'000});
    call_json(system->origin(), "POST", "/v1/fault", nlohmann::json::object());
    CHECK(await_active("v2"));
    expect_no_error();
}

// Guards against hosts of a failure domain that return at the same time and overload the sources, and against
// failed calls in the other failure domains.
TEST(weights_while_the_system_changes, returning_hosts_together_fetch_at_most_1_1_copies_from_the_sources)
{
    begin();
    auto returning = std::vector<deployment_host*>{system->find("drafting-0"), system->find("drafting-3")};
    for (auto* agent : returning)
        agent->daemon.kill();
    std::this_thread::sleep_for(milliseconds{1'000});
    load = std::make_unique<caller_load>(*system, 4, 20);
    // At full speed, one host fetches chunks that the other has not announced yet, up to half a copy more.
    set_sources({{"rate", 500'000.0}});
    auto const before = source_bytes_sent();
    for (auto* agent : returning)
        system->restart_daemon(*agent);
    CHECK(await_active("v1"));
    auto const copies = std::to_string(source_bytes_sent() - before) + " bytes sent by the sources";
    UT_PRINT(copies.c_str());
    // At most 1.1 copies in total, because only the region of the returning hosts fetches.
    CHECK_TEXT(source_bytes_sent() - before <= copy + copy / 10, copies.c_str());
    std::this_thread::sleep_for(milliseconds{500});
    expect_no_error();
}
