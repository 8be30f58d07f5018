// Connections between entries and agents that stall, break, or delay, hold or drop responses, with real
// processes.
#include "support/booking_load.hpp"
#include "support/caller_load.hpp"

#include <thread>

#include "support/fault_injection_fixture.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(faulty_link, fault_injection_fixture)
{
    struct link_fault {
        nlohmann::json settings;
        milliseconds duration; // Length of the fault, not a wait for an effect.
    };

    // Applies each fault to one agent's connections after the other, and ends it by closing them.
    auto apply_faults_in_turn(std::vector<std::string> const& targets, std::vector<link_fault> const& faults)
        ->void
    {
        for (auto const& fault : faults)
            for (auto const& target : targets) {
                system->fault_link(target, "", fault.settings);
                std::this_thread::sleep_for(fault.duration);
                system->heal_links();
                call(system->proxy("link@" + target), {"POST", "/v1/cut"});
            }
    }
};

// Guards against a booking that runs twice, or the response of another booking, when the connection to its
// agent fails.
TEST(faulty_link, bookings_under_connection_faults_run_at_most_once)
{
    options.bookings = 2;
    begin();
    auto const keys = unprotected("keys") ? booking_load::without_keys : booking_load::with_keys;
    auto bookings = booking_load{*system, 4, keys};
    CHECK(await_condition(milliseconds{10'000}, [&] { return bookings.answered() >= 8; }));
    auto const short_fault = milliseconds{250};
    // Responses are held for longer than the callers' timeout: the outcome stays unknown until they retry.
    apply_faults_in_turn({"booking-0", "booking-1"}, {{{{"hold_answers", true}}, milliseconds{2'500}},
                                                      {{{"stall", true}}, short_fault},
                                                      {{{"drop_answers", 3}}, short_fault},
                                                      {{{"cut_after", 300}}, short_fault},
                                                      {{{"delay_ms", 120}}, short_fault},
                                                      {{{"refuse", true}}, short_fault}});
    auto const before_end = bookings.answered();
    CHECK_TEXT(await_condition(milliseconds{8'000}, [&] { return bookings.answered() >= before_end + 12; }),
               "fewer than 12 more bookings were answered within 8 s after the faults");
    auto results = bookings.stop();

    // After the faults, each caller retries once: it gets the first response, a correct "not run", or
    // "unknown".
    auto ran_twice = 0;
    auto mismatched_count = 0;
    auto false_not_run = 0;
    auto lost_count = 0;
    auto unknown_count = 0;
    auto last_error_body = std::string{};
    auto before = executions();
    for (auto& booking : results) {
        if (booking.all_not_run && before[booking.body] > 0) ++false_not_run;
        if (!booking.answered && keys == booking_load::with_keys)
            booking_load::send(system->entries()[0]->client, booking, true);
    }
    auto after = executions();
    for (auto const& booking : results) {
        auto const runs = after[booking.body];
        ran_twice += runs > 1 ? 1 : 0;
        mismatched_count += booking.is_mismatched ? 1 : 0;
        lost_count += booking.answered && runs == 0 ? 1 : 0;
        unknown_count += booking.answered ? 0 : 1;
        if (!booking.answered) last_error_body = booking.last_error_body;
    }
    auto const summary = std::to_string(results.size()) + " bookings, ran twice " +
                         std::to_string(ran_twice) + ", with the response of another booking " +
                         std::to_string(mismatched_count) + ", false not run " +
                         std::to_string(false_not_run) + ", lost " + std::to_string(lost_count) +
                         ", unknown " + std::to_string(unknown_count) + " " + last_error_body;
    UT_PRINT(summary.c_str());
    CHECK_TEXT(ran_twice + mismatched_count + false_not_run + lost_count == 0, summary.c_str());
}

// Guards against a stream that appears complete although a faulty connection dropped, held or delayed its
// events.
TEST(faulty_link, drafts_under_connection_faults_are_complete_or_fail)
{
    options.engines = 3;
    options.entry_settings = {{"calls", {{"event_timeout_ms", 400}, {"answer_timeout_ms", 1'000}}}};
    begin();
    load = std::make_unique<caller_load>(*system, 4, 40);
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->complete_count() >= 8; }));
    auto const duration = milliseconds{500};
    apply_faults_in_turn({"drafting-1"}, {{{{"stall", true}}, duration},
                                          {{{"hold_answers", true}}, duration},
                                          {{{"drop_answers", 3}}, duration},
                                          {{{"cut_after", 300}}, duration},
                                          {{{"delay_ms", 120}}, duration},
                                          {{{"refuse", true}}, duration}});
    auto const before = load->complete_count();
    CHECK_TEXT(await_condition(milliseconds{10'000}, [&] { return load->complete_count() >= before + 20; }),
               "fewer than 20 more drafts were complete within 10 s after the faults");
    auto const counts = load->stop();
    UT_PRINT((std::to_string(counts.complete) + " complete, " + std::to_string(counts.failed) + " failed")
                 .c_str());
    LONGS_EQUAL(0, counts.wrong);
}

// Guards against an entry that was paused before its booking was sent, and sends it after another entry ran
// it.
TEST(faulty_link, booking_of_resumed_entry_does_not_run_after_another_entry_ran_it)
{
    options.bookings = 1;
    begin();
    auto& paused = *system->entries()[0];
    auto& other = *system->entries()[1];
    auto const key = std::string{unprotected("keys") ? "" : "visit-1"};
    system->fault_link("booking-0", paused.source, {{"stall", true}});
    auto first = http_response{};
    auto caller = std::thread{[&] { first = book(paused, key, "ridge", 8'000); }};
    auto const sent =
        await_condition(milliseconds{5'000}, [&] { return has_event(paused, "call_forwarded"); });
    paused.daemon.send_signal(SIGSTOP);
    auto const second = book(other, key, "ridge");
    auto const executions_before_resume = executions_of("ridge");
    paused.daemon.send_signal(SIGCONT);
    system->heal_links(); // The data that the paused entry had sent arrives now.
    caller.join();
    CHECK(sent);
    CHECK_TEXT(second.status == 200, second.body.c_str());
    LONGS_EQUAL(1, executions_before_resume);
    // The revoked call itself did not run, but "not run" would make its caller book again.
    CHECK_TEXT(first.status == 200 || ran_of(first) != "no", first.body.c_str());
    LONGS_EQUAL(1, executions_of("ridge"));
    auto const retry = book(paused, key, "ridge");
    STRCMP_EQUAL(nlohmann::json::parse(second.body).dump().c_str(),
                 nlohmann::json::parse(retry.body).dump().c_str());
}

// Guards against a booking that runs again because the entry that received its response is paused.
TEST(faulty_link, booking_run_while_its_entry_is_paused_keeps_its_first_response)
{
    options.bookings = 1;
    options.service_arguments = {"--service-ms", "600"};
    begin();
    auto& paused = *system->entries()[0];
    auto& other = *system->entries()[1];
    auto first = http_response{};
    auto caller = std::thread{[&] { first = book(paused, "visit-1", "ridge", 8'000); }};
    auto const began = await_condition(milliseconds{5'000}, [&] { return executions_of("ridge") == 1; });
    paused.daemon.send_signal(SIGSTOP);
    auto second = http_response{};
    auto const results = await_condition(milliseconds{5'000}, [&] {
        second = book(other, "visit-1", "ridge");
        return second.status != 409; // In progress.
    });
    paused.daemon.send_signal(SIGCONT);
    caller.join();
    CHECK(began && results);
    CHECK_TEXT(second.status == 200, second.body.c_str());
    CHECK_TEXT(first.status == 200, first.body.c_str());
    STRCMP_EQUAL(second.body.c_str(), first.body.c_str());
    LONGS_EQUAL(1, executions_of("ridge"));
}

// ---- two faults together

// Guards against a false "not run", and against a lost or duplicated booking, when an agent is killed while
// the store is unavailable.
TEST(faulty_link, agent_killed_during_store_outage_causes_no_second_run)
{
    options.bookings = 2;
    options.service_arguments = {"--service-ms", "150"};
    begin();
    auto& agent = *system->find("booking-0");
    call_json(system->key_value(), "POST", "/v1/fault", {{"unavailable", true}});
    auto results = std::vector<booking_result>(8);
    auto callers = std::vector<std::thread>{};
    for (auto i = std::size_t{0}; i < results.size(); ++i) {
        results[i].body = "outage " + std::to_string(i);
        results[i].key = "outage-" + std::to_string(i);
        callers.emplace_back([&, i] {
            booking_load::send(system->entries()[i % 2]->client, results[i],
                               i >= 6); // The last two have a key.
        });
    }
    auto const ran = await_condition(milliseconds{3'000}, [&] { return executions_of("outage 0") == 1; });
    agent.daemon.kill();
    for (auto& caller : callers)
        caller.join();
    system->restart_daemon(
        agent); // The store is still unavailable; the agent gets the configuration from its peers.
    CHECK_TEXT(await_condition(milliseconds{10'000},
                               [&] {
                                   return call(agent.control, {"GET", "/readyz"}).status == 200;
                               }),
               "the agent was not ready with the configuration of its peers within 10 s");
    CHECK(ran);
    for (auto const& booking : results) {
        auto const runs = executions_of(booking.body);
        auto const text = booking.body + ": ran \"" + booking.ran + "\", executions " + std::to_string(runs);
        CHECK_TEXT(runs <= 1, text.c_str());
        if (booking.answered || booking.ran == "yes") CHECK_TEXT(runs == 1, text.c_str());
        if (booking.ran == "no") CHECK_TEXT(runs == 0, text.c_str());
    }
    for (auto i = std::size_t{6}; i < results.size(); ++i)
        STRCMP_EQUAL("no", results[i].ran.c_str()); // A call with a key requires the store.
    call_json(system->key_value(), "POST", "/v1/fault", nlohmann::json::object());
    CHECK(await_condition(milliseconds{8'000},
                          [&] { return book(*system->entries()[0], "outage-7", "outage 7").status == 200; }));
    LONGS_EQUAL(1, executions_of("outage 7"));
}
