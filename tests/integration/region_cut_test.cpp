// A region that loses its links to the other regions, the store and the host list, with real processes.
#include "support/caller_load.hpp"

#include <csignal>
#include <thread>

#include "support/fault_injection_fixture.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto in_force_bound = milliseconds{4'000};

} // namespace

TEST_GROUP_BASE(a_region_cut_off, faulty_system)
{
    std::map<std::string, std::uint64_t> highest; // revision by host

    void setup() override
    {
        options.entries = 3;
        options.engines = 3;
        // Confirmations reach every process within about 0.7 s.
        auto const settings = nlohmann::json{{"config", {{"watch_wait_ms", 300}}},
                                             {"membership", {{"exchange_interval_ms", 200}}}};
        options.entry_settings = settings;
        // A call that the cut overtook moves on well before the bounds that are checked here (default 20 s).
        options.entry_settings["calls"] = {{"answer_timeout_ms", 800}};
        options.agent_settings = settings;
    }

    auto inside()->deployment_host& { return *system->find("entry-1"); } // in stajerska, sta-a

    // Looks at every process; none may show a lower revision than before.
    auto all_at(std::uint64_t revision)->bool
    {
        auto whole = true;
        for (auto const& host : system->hosts()) {
            auto const seen = revision_at(host);
            CHECK_TEXT(seen == 0 || seen >= highest[host.name], host.name.c_str());
            highest[host.name] = std::max(highest[host.name], seen);
            whole = whole && seen >= revision;
        }
        return whole;
    }

    static auto revision_of(http_response const& accepted)->std::uint64_t
    {
        CHECK_TEXT(accepted.status == 200, accepted.body.c_str());
        return nlohmann::json::parse(accepted.body)["revision"].get<std::uint64_t>();
    }

    static auto refused_as(deployment_host const& entry, std::string const& name)->bool
    {
        auto const answer = call_completion(entry.client, "key-drustvo", "snow", "refused", 4);
        return answer.status == 503 && answer.body.find(name) != std::string::npos &&
               answer.headers.find("X-Ran") == "no";
    }
};

// Guards against a region that stops serving its callers when it is cut off, and against one that keeps an
// old configuration, or takes an older one, once the links are back.
TEST(a_region_cut_off, serves_its_callers_and_takes_the_newest_configuration_afterwards)
{
    begin();
    load = std::make_unique<caller_load>(*system, 3, 20);
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->whole() >= 6; }));
    system->cut_region("stajerska");

    auto const cut_at = clock::now();
    auto served = 0;
    auto slowest = milliseconds{0};
    CHECK_TEXT(await_condition(milliseconds{15'000},
                               [&] {
                                   auto const asked = clock::now();
                                   auto const text = draft(inside(), "cut " + std::to_string(served), 10);
                                   auto const took =
                                       std::chrono::duration_cast<milliseconds>(clock::now() - asked);
                                   slowest = std::max(slowest, took);
                                   served += text.empty() ? 0 : 1;
                                   return served >= 20;
                               }),
               ("drafts inside: " + std::to_string(served)).c_str());
    auto const took = std::chrono::duration_cast<milliseconds>(clock::now() - cut_at);
    UT_PRINT(("20 drafts inside took " + std::to_string(took.count()) + " ms, slowest " +
              std::to_string(slowest.count()) + " ms")
                 .c_str());

    auto const revision = revision_of(system->set_failure_domain("pri-a", false));
    CHECK(await_condition(in_force_bound, [&] {
        return revision_at(*system->find("entry-2")) >= revision &&
               revision_at(*system->find("drafting-2")) >= revision;
    }));
    auto const status = call_json(system->entries()[0]->control, "GET", "/v1/status");
    STRCMP_EQUAL(R"(["sta-a"])", status["unconfirmed_failure_domains"].dump().c_str());
    CHECK(revision_at(inside()) < revision);
    CHECK(!all_at(revision));

    system->heal_links();
    auto const healed_at = clock::now();
    CHECK_TEXT(await_condition(in_force_bound, [&] { return all_at(revision); }), "in force after the cut");
    auto const late = std::chrono::duration_cast<milliseconds>(clock::now() - healed_at);
    UT_PRINT(("in force " + std::to_string(late.count()) + " ms after the cut").c_str());
    auto const newest = revision_of(system->set_failure_domain("pri-a", true));
    CHECK(await_condition(in_force_bound, [&] { return all_at(newest); }));
    auto const counts = load->stop();
    UT_PRINT(describe_problems(counts).c_str());
    LONGS_EQUAL(0, counts.wrong);
}

// Guards against work in a failure domain that operators take out while it is cut off, under a policy that
// bounds the age of an unconfirmed configuration.
TEST(a_region_cut_off, stops_new_work_after_max_unconfirmed_and_stays_out_when_taken_out)
{
    begin();
    if (!unprotected("max_unconfirmed")) set_policy(2'000);
    CHECK(await_condition(milliseconds{5'000}, [&] { return !draft(inside(), "before", 4).empty(); }));
    system->cut_region("stajerska");
    auto const revision = revision_of(system->set_failure_domain("sta-a", false));
    CHECK_TEXT(await_condition(milliseconds{3'500},
                               [&] { return refused_as(inside(), "configuration_unconfirmed"); }),
               "the entry inside still takes work");

    auto const at_bound = started_in("sta-a");
    auto const status = call_json(system->entries()[0]->control, "GET", "/v1/status");
    STRCMP_EQUAL(R"(["sta-a"])", status["unconfirmed_failure_domains"].dump().c_str());
    for (auto i = 0; i < 10; ++i) { // others serve, and send nothing into the region
        CHECK(!draft(*system->entries()[0], "outside " + std::to_string(i), 4).empty());
        CHECK(draft(inside(), "inside " + std::to_string(i), 4).empty());
    }
    LONGS_EQUAL(at_bound, started_in("sta-a"));

    system->heal_links();
    CHECK_TEXT(await_condition(in_force_bound, [&] { return all_at(revision); }), "in force after the cut");
    CHECK_TEXT(await_condition(milliseconds{10'000}, [&] { return !draft(inside(), "after", 4).empty(); }),
               "the entry inside serves again, by the other regions' endpoints");
    LONGS_EQUAL(at_bound, started_in("sta-a"));
}

// Guards against work sent over a half-open link: the entries of one region cannot reach another, which in
// turn is taken out of service, while its own links to the store work.
TEST(a_region_cut_off, one_way_from_another_is_taken_out_within_the_bound)
{
    begin();
    auto const& entry = *system->entries()[0];
    for (auto const& host : system->hosts()) // gorenjska cannot reach stajerska
        if (host.failure_domain == "sta-a") system->fault_link(host.name, "127.0.10.", {{"stall", true}});
    load = std::make_unique<caller_load>(*system, 3, 20);
    CHECK(await_condition(milliseconds{15'000}, [&] { return load->whole() >= 6; }));
    auto const revision = revision_of(system->set_failure_domain("sta-a", false));
    auto const accepted_at = clock::now();
    CHECK_TEXT(await_condition(in_force_bound, [&] { return all_at(revision); }), "in force");
    std::this_thread::sleep_until(accepted_at + seconds{3}); // the promise's bound
    auto const at_bound = started_in("sta-a");
    auto const status = call_json(entry.control, "GET", "/v1/status");
    STRCMP_EQUAL(R"(["sta-a"])", status["unconfirmed_failure_domains"].dump().c_str());
    auto const before = load->whole();
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->whole() >= before + 20; }));
    LONGS_EQUAL(at_bound, started_in("sta-a"));
    LONGS_EQUAL(0, load->stop().wrong);
}

// Guards against processes that were paused while their failure domain was taken out, and take work on before
// they have heard of it.
TEST(a_region_cut_off, paused_processes_take_no_work_in_a_failure_domain_that_left_meanwhile)
{
    begin();
    auto& agent = *system->find("drafting-1");
    inside().daemon.send_signal(SIGSTOP);
    agent.daemon.send_signal(SIGSTOP);
    system->cut_region("stajerska"); // nothing tells them when they continue
    auto const revision = revision_of(system->set_failure_domain("sta-a", false));
    CHECK(await_condition(in_force_bound,
                          [&] { return revision_at(*system->find("drafting-2")) >= revision; }));
    std::this_thread::sleep_for(milliseconds{1'200}); // past the threshold of a pause
    auto const before = started_in("sta-a");
    auto callers = std::vector<std::thread>{}; // their requests wait in the paused entry's listener
    for (auto i = 0; i < 4; ++i)
        callers.emplace_back([&, i] {
            call_completion(inside().client, "key-drustvo", "snow", "paused " + std::to_string(i), 4);
        });
    std::this_thread::sleep_for(milliseconds{100});
    inside().daemon.send_signal(SIGCONT);
    agent.daemon.send_signal(SIGCONT);
    for (auto& caller : callers)
        caller.join();
    LONGS_EQUAL(before, started_in("sta-a"));
    system->heal_links();
    CHECK(await_condition(in_force_bound, [&] { return all_at(revision); }));
    LONGS_EQUAL(before, started_in("sta-a"));
}
