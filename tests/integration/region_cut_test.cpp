// Tests with real processes a region that loses its links to the other regions, the store and the host list.
#include "support/caller_load.hpp"

#include <csignal>
#include <thread>

#include "support/fault_injection_fixture.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto max_convergence_time = milliseconds{4'000};

} // namespace

TEST_GROUP_BASE(region_cut, fault_injection_fixture)
{
    std::map<std::string, std::uint64_t> highest; // revision by host

    void setup() override
    {
        options.entries = 3;
        options.engines = 3;
        // With these intervals, confirmations reach every process within about 0.7 s.
        auto const settings = nlohmann::json{{"config", {{"watch_wait_ms", 300}}},
                                             {"membership", {{"exchange_interval_ms", 200}}}};
        options.entry_settings = settings;
        // answer_timeout_ms (default 20 s) is shortened, so that a call that waits for a response across the
        // cut is retried well before the checked bounds.
        options.entry_settings["calls"] = {{"answer_timeout_ms", 800}};
        options.agent_settings = settings;
    }

    auto entry_in_cut_region()->deployment_host& { return *system->find("entry-1"); } // in stajerska, sta-a

    // Whether every process has at least the revision. Checks that no process shows a lower revision than
    // before.
    auto all_have_revision(std::uint64_t revision)->bool
    {
        auto all_current = true;
        for (auto const& host : system->hosts()) {
            auto const revision_now = revision_at(host);
            CHECK_TEXT(revision_now == 0 || revision_now >= highest[host.name], host.name.c_str());
            highest[host.name] = std::max(highest[host.name], revision_now);
            all_current = all_current && revision_now >= revision;
        }
        return all_current;
    }

    static auto revision_of(http_response const& accepted)->std::uint64_t
    {
        CHECK_TEXT(accepted.status == 200, accepted.body.c_str());
        return nlohmann::json::parse(accepted.body)["revision"].get<std::uint64_t>();
    }

    static auto is_rejected_with(deployment_host const& entry, std::string const& name)->bool
    {
        auto const response = call_completion(entry.client, "key-drustvo", "snow", "refused", 4);
        return response.status == 503 && response.body.find(name) != std::string::npos &&
               response.headers.find("X-Ran") == "no";
    }
};

// Guards against a region that stops serving its callers when it is isolated, and against one that keeps an
// old configuration or adopts an older one after the links are restored.
TEST(region_cut, isolated_region_serves_its_callers_and_gets_the_newest_configuration_afterwards)
{
    begin();
    load = std::make_unique<caller_load>(*system, 3, 20);
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->complete_count() >= 6; }));
    system->cut_region("stajerska");

    auto const cut_at = clock::now();
    auto served = 0;
    auto slowest = milliseconds{0};
    CHECK_TEXT(await_condition(milliseconds{15'000},
                               [&] {
                                   auto const requested_at = clock::now();
                                   auto const text =
                                       draft(entry_in_cut_region(), "cut " + std::to_string(served), 10);
                                   auto const took =
                                       std::chrono::duration_cast<milliseconds>(clock::now() - requested_at);
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
    CHECK(await_condition(max_convergence_time, [&] {
        return revision_at(*system->find("entry-2")) >= revision &&
               revision_at(*system->find("drafting-2")) >= revision;
    }));
    auto const status = call_json(system->entries()[0]->control, "GET", "/v1/status");
    STRCMP_EQUAL(R"(["sta-a"])", status["unconfirmed_failure_domains"].dump().c_str());
    CHECK(revision_at(entry_in_cut_region()) < revision);
    CHECK(!all_have_revision(revision));

    system->heal_links();
    auto const healed_at = clock::now();
    CHECK_TEXT(await_condition(max_convergence_time, [&] { return all_have_revision(revision); }),
               "in force after the cut");
    auto const convergence_time = std::chrono::duration_cast<milliseconds>(clock::now() - healed_at);
    UT_PRINT(("in force " + std::to_string(convergence_time.count()) + " ms after the cut").c_str());
    auto const newest = revision_of(system->set_failure_domain("pri-a", true));
    CHECK(await_condition(max_convergence_time, [&] { return all_have_revision(newest); }));
    auto const counts = load->stop();
    UT_PRINT(describe_problems(counts).c_str());
    LONGS_EQUAL(0, counts.wrong);
}

// Guards against work in a failure domain that operators take out of service while it is isolated. The policy
// limits the age of an unconfirmed configuration.
TEST(region_cut, isolated_region_stops_new_work_after_max_unconfirmed_and_stays_out_of_service)
{
    begin();
    if (!unprotected("max_unconfirmed")) set_policy(2'000);
    CHECK(await_condition(milliseconds{5'000},
                          [&] { return !draft(entry_in_cut_region(), "before", 4).empty(); }));
    system->cut_region("stajerska");
    auto const revision = revision_of(system->set_failure_domain("sta-a", false));
    CHECK_TEXT(
        await_condition(milliseconds{3'500},
                        [&] { return is_rejected_with(entry_in_cut_region(), "configuration_unconfirmed"); }),
        "the entry inside still takes work");

    auto const started_at_bound = started_in("sta-a");
    auto const status = call_json(system->entries()[0]->control, "GET", "/v1/status");
    STRCMP_EQUAL(R"(["sta-a"])", status["unconfirmed_failure_domains"].dump().c_str());
    for (auto i = 0; i < 10; ++i) { // the other entries serve and send nothing into the region
        CHECK(!draft(*system->entries()[0], "outside " + std::to_string(i), 4).empty());
        CHECK(draft(entry_in_cut_region(), "inside " + std::to_string(i), 4).empty());
    }
    LONGS_EQUAL(started_at_bound, started_in("sta-a"));

    system->heal_links();
    CHECK_TEXT(await_condition(max_convergence_time, [&] { return all_have_revision(revision); }),
               "in force after the cut");
    CHECK_TEXT(await_condition(milliseconds{10'000},
                               [&] { return !draft(entry_in_cut_region(), "after", 4).empty(); }),
               "the entry inside serves again, by the other regions' endpoints");
    LONGS_EQUAL(started_at_bound, started_in("sta-a"));
}

// Guards against work sent over a link that fails in one direction: the entries of one region cannot reach
// another region, which is then taken out of service while its own links to the store work.
TEST(region_cut, region_unreachable_from_another_is_taken_out_of_service_within_the_bound)
{
    begin();
    auto const& entry = *system->entries()[0];
    for (auto const& host : system->hosts()) // gorenjska cannot reach stajerska
        if (host.failure_domain == "sta-a") system->fault_link(host.name, "127.0.10.", {{"stall", true}});
    load = std::make_unique<caller_load>(*system, 3, 20);
    CHECK(await_condition(milliseconds{15'000}, [&] { return load->complete_count() >= 6; }));
    auto const revision = revision_of(system->set_failure_domain("sta-a", false));
    auto const accepted_at = clock::now();
    CHECK_TEXT(await_condition(max_convergence_time, [&] { return all_have_revision(revision); }),
               "in force");
    std::this_thread::sleep_until(accepted_at +
                                  seconds{3}); // from this bound on, no new work may start there
    auto const started_at_bound = started_in("sta-a");
    auto const status = call_json(entry.control, "GET", "/v1/status");
    STRCMP_EQUAL(R"(["sta-a"])", status["unconfirmed_failure_domains"].dump().c_str());
    auto const before = load->complete_count();
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->complete_count() >= before + 20; }));
    LONGS_EQUAL(started_at_bound, started_in("sta-a"));
    LONGS_EQUAL(0, load->stop().wrong);
}

// Guards against processes that were paused while their failure domain was taken out of service, and admit
// work before they received that change.
TEST(region_cut, resumed_processes_take_no_work_in_a_failure_domain_taken_out_meanwhile)
{
    begin();
    auto& agent = *system->find("drafting-1");
    entry_in_cut_region().daemon.send_signal(SIGSTOP);
    agent.daemon.send_signal(SIGSTOP);
    system->cut_region("stajerska"); // no process can notify them when they resume
    auto const revision = revision_of(system->set_failure_domain("sta-a", false));
    CHECK(await_condition(max_convergence_time,
                          [&] { return revision_at(*system->find("drafting-2")) >= revision; }));
    std::this_thread::sleep_for(milliseconds{1'200}); // longer than pause_threshold
    auto const before = started_in("sta-a");
    auto callers = std::vector<std::thread>{}; // their requests wait in the paused entry's socket
    for (auto i = 0; i < 4; ++i)
        callers.emplace_back([&, i] {
            call_completion(entry_in_cut_region().client, "key-drustvo", "snow",
                            "paused " + std::to_string(i), 4);
        });
    std::this_thread::sleep_for(milliseconds{100});
    entry_in_cut_region().daemon.send_signal(SIGCONT);
    agent.daemon.send_signal(SIGCONT);
    for (auto& caller : callers)
        caller.join();
    LONGS_EQUAL(before, started_in("sta-a"));
    system->heal_links();
    CHECK(await_condition(max_convergence_time, [&] { return all_have_revision(revision); }));
    LONGS_EQUAL(before, started_in("sta-a"));
}
