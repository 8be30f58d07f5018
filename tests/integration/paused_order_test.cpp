// Agents that are paused around a load order and continue after a newer version was declared and loaded,
// beside engines that enforce fencing numbers and engines that ignore them.
#include "support/caller_load.hpp"
#include "support/port_pool.hpp"

#include <fstream>

#include "support/fault_injection_fixture.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(a_paused_order_giver, faulty_system)
{
    process replacement; // of the paused agent, on the same host

    void setup() override
    {
        options.engines = 2;
        options.platform_proxies = false;
        options.link_proxies = false;
        options.model_bytes = 300'000;
        options.cold_limit = 4;
    }

    void teardown() override
    {
        replacement = process{};
        faulty_system::teardown();
    }

    auto declare(std::string const& version)->void
    {
        auto const number = std::stoi(version.substr(1));
        for (auto const& source : {system->store(), system->origin()})
            call_json(source, "PUT", "/v1/models/snow/" + version,
                      {{"size", options.model_bytes}, {"seed", number}});
        LONGS_EQUAL(200, system->set_version(version).status);
    }

    static auto engine_of(deployment_host const& host)->std::string
    {
        auto const status = call_json(host.endpoint, "GET", "/v1/status");
        return status.is_object() ? status["version"].get<std::string>() : std::string{};
    }

    static auto has_ordered(deployment_host const& host, std::string const& version)->bool
    {
        auto const line = call_json(host.control, "GET", "/timeline");
        if (!line.is_object()) return false;
        for (auto const& event : line["events"])
            if (event["event"] == "load_ordered" && event["fields"]["version"] == version) return true;
        return false;
    }

    // The same host's agent anew, with its own listener and a direct way to the engine.
    auto replace(deployment_host const& host)->address
    {
        auto settings = nlohmann::json::parse(std::ifstream{host.settings});
        auto const listen = port_pool::next();
        settings["listen"] = listen.text();
        settings["endpoint"]["address"] = host.endpoint.text();
        auto path = host.settings;
        path.replace_extension("replacement.json");
        std::ofstream{path} << settings.dump();
        replacement = process{
            "hibiscus-agent", {"--settings", path.string(), "--seed", "77"}, path.replace_extension("log")};
        return listen;
    }

    auto entries_know(address const& listen)->bool
    {
        for (auto const* entry : system->entries()) {
            auto const listed = call_json(entry->control, "GET", "/v1/members");
            auto found = false;
            for (auto const& item : listed["members"])
                found = found || item["address"] == listen.text();
            if (!found) return false;
        }
        return true;
    }

    auto expect_only(load_counts const& counts, std::string const& version)->void
    {
        auto const text = std::to_string(counts.whole) + " whole, " + std::to_string(counts.failed) +
                          " failed, " + std::to_string(counts.wrong) + " wrong";
        UT_PRINT(text.c_str());
        CHECK_TEXT(counts.wrong == 0, text.c_str());
        CHECK(counts.whole > 0);
        for (auto const& [seen, count] : counts.versions)
            STRCMP_EQUAL_TEXT(version.c_str(), seen.c_str(), text.c_str());
    }

    // An order for v2 is on its way to the engine while its agent is stopped and replaced; the replacement
    // loads v3; then the agent continues and the order arrives. No answer may come from v2.
    auto deliver_an_old_order(bool enforced)->void
    {
        options.fencing_enforced = enforced;
        options.endpoint_proxies = true;
        begin();
        auto& former = *system->find("drafting-0");
        auto const way = system->proxy("endpoint@drafting-0");
        call_json(way, "POST", "/v1/faults", {{"stall", true}});
        declare("v2");
        CHECK_TEXT(await_condition(milliseconds{15'000}, [&] { return has_ordered(former, "v2"); }),
                   "v2 ordered");
        former.daemon.send_signal(SIGSTOP);
        declare("v3");
        auto const listen = replace(former);
        CHECK_TEXT(await_condition(milliseconds{20'000},
                                   [&] {
                                       return call(listen, {"GET", "/readyz"}).status == 200 &&
                                              engine_of(former) == "v3" &&
                                              engine_of(*system->find("drafting-1")) == "v3";
                                   }),
                   "v3 loaded");
        auto const loads = [&](char const* count) {
            return call_json(former.endpoint, "GET", "/v1/records")[count].get<int>();
        };
        auto const loaded = loads("loads");
        CHECK_TEXT(await_condition(milliseconds{10'000}, [&] { return entries_know(listen); }),
                   "the entries know the replacement");
        load = std::make_unique<caller_load>(*system, 6, 100);
        auto const started = started_in(former.failure_domain);
        CHECK_TEXT(await_condition(milliseconds{10'000},
                                   [&] { return started_in(former.failure_domain) >= started + 6; }),
                   "the replacement gets work");
        former.daemon.send_signal(SIGCONT);
        call(way, {"POST", "/v1/clear"});
        // The engine refuses the order, loads it, or finds its weights already released by the former agent.
        CHECK_TEXT(await_condition(milliseconds{10'000},
                                   [&] {
                                       return loads(enforced ? "fenced_off" : "loads") >
                                                  (enforced ? 0 : loaded) ||
                                              has_event(former, "load_failed");
                                   }),
                   "the old order arrived");
        CHECK_TEXT(await_condition(milliseconds{15'000}, [&] { return engine_of(former) == "v3"; }),
                   "v3 again");
        CHECK_TEXT(await_condition(milliseconds{5'000},
                                   [&] {
                                       return call(listen, {"GET", "/readyz"}).status == 200;
                                   }),
                   "the replacement serves again");
        expect_only(load->stop(), "v3");
    }
};

// Guards against an engine that enforces fencing numbers and still serves an old order's version.
TEST(a_paused_order_giver, is_fenced_off_by_an_engine_that_enforces_numbers) { deliver_an_old_order(true); }

// Guards against answers of an old version, or of two, from an engine that takes any order.
TEST(a_paused_order_giver, does_not_bring_back_its_version_at_an_engine_that_ignores_numbers)
{
    deliver_an_old_order(false);
}

// Guards against an agent that continues within its load order and serves the version that was replaced
// meanwhile.
TEST(a_paused_order_giver, does_not_serve_a_version_that_was_replaced_while_it_loaded)
{
    options.engine_arguments = {"--token-ms", "5", "--prefill-ms", "5", "--load-ms", "700"};
    begin();
    auto& paused = *system->find("drafting-0");
    auto& other = *system->find("drafting-1");
    declare("v2");
    CHECK_TEXT(await_condition(milliseconds{15'000}, [&] { return has_ordered(paused, "v2"); }),
               "v2 ordered");
    paused.daemon.send_signal(SIGSTOP);
    declare("v3");
    CHECK_TEXT(await_condition(milliseconds{15'000}, [&] { return engine_of(other) == "v3"; }),
               "v3 elsewhere");
    load = std::make_unique<caller_load>(*system, 4, 20);
    paused.daemon.send_signal(SIGCONT);
    CHECK_TEXT(await_condition(milliseconds{15'000}, [&] { return engine_of(paused) == "v3"; }), "v3 here");
    auto const before = load->whole();
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->whole() >= before + 20; }));
    expect_only(load->stop(), "v3");
}
