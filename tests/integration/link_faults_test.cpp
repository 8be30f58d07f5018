// Links between entries and agents that stall, cut, delay and hold back answers, with real processes.
#include "support/booking_load.hpp"
#include "support/caller_load.hpp"

#include <thread>

#include "support/fault_injection_fixture.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(a_faulty_link, faulty_system)
{
    struct link_fault {
        nlohmann::json what;
        milliseconds lasts; // the length of the fault, not a wait for an effect
    };

    // Faults one link to an agent after the other and ends each fault with a cut.
    auto fault_in_turn(std::vector<std::string> const& targets, std::vector<link_fault> const& faults)->void
    {
        for (auto const& fault : faults)
            for (auto const& target : targets) {
                system->fault_link(target, "", fault.what);
                std::this_thread::sleep_for(fault.lasts);
                system->heal_links();
                call(system->proxy("link@" + target), {"POST", "/v1/cut"});
            }
    }
};

// Guards against a booking that runs twice, or an answer of another booking, when the link to its agent
// fails.
TEST(a_faulty_link, runs_each_booking_at_most_once)
{
    options.bookings = 2;
    begin();
    auto const keys = unprotected("keys") ? booking_load::without_keys : booking_load::with_keys;
    auto bookings = booking_load{*system, 4, keys};
    CHECK(await_condition(milliseconds{10'000}, [&] { return bookings.answered() >= 8; }));
    auto const brief = milliseconds{250};
    // Answers are held for longer than the callers wait: their outcome stays unknown until they repeat.
    fault_in_turn({"booking-0", "booking-1"}, {{{{"hold_answers", true}}, milliseconds{2'500}},
                                               {{{"stall", true}}, brief},
                                               {{{"drop_answers", 3}}, brief},
                                               {{{"cut_after", 300}}, brief},
                                               {{{"delay_ms", 120}}, brief},
                                               {{{"refuse", true}}, brief}});
    auto const before_end = bookings.answered();
    CHECK_TEXT(await_condition(milliseconds{8'000}, [&] { return bookings.answered() >= before_end + 12; }),
               "bookings after the faults");
    auto told = bookings.stop();

    // After the faults each caller asks once more: first answer, "not run" that is true, or "unknown".
    auto doubled = 0;
    auto foreign = 0;
    auto false_not_run = 0;
    auto lost = 0;
    auto unknown = 0;
    auto last_refusal = std::string{};
    auto before = executions();
    for (auto& booking : told) {
        if (booking.all_not_run && before[booking.body] > 0) ++false_not_run;
        if (!booking.answered && keys == booking_load::with_keys)
            booking_load::send(system->entries()[0]->client, booking, true);
    }
    auto after = executions();
    for (auto const& booking : told) {
        auto const runs = after[booking.body];
        doubled += runs > 1 ? 1 : 0;
        foreign += booking.foreign ? 1 : 0;
        lost += booking.answered && runs == 0 ? 1 : 0;
        unknown += booking.answered ? 0 : 1;
        if (!booking.answered) last_refusal = booking.refusal;
    }
    auto const seen = std::to_string(told.size()) + " bookings, doubled " + std::to_string(doubled) +
                      ", foreign " + std::to_string(foreign) + ", false not run " +
                      std::to_string(false_not_run) + ", lost " + std::to_string(lost) + ", unknown " +
                      std::to_string(unknown) + " " + last_refusal;
    UT_PRINT(seen.c_str());
    CHECK_TEXT(doubled + foreign + false_not_run + lost == 0, seen.c_str());
}

// Guards against a stream that is presented as whole though a link cut, held or delayed its events.
TEST(a_faulty_link, gives_whole_drafts_of_their_own_or_an_error)
{
    options.engines = 3;
    options.entry_settings = {{"calls", {{"event_timeout_ms", 400}, {"answer_timeout_ms", 1'000}}}};
    begin();
    load = std::make_unique<caller_load>(*system, 4, 40);
    CHECK(await_condition(milliseconds{10'000}, [&] { return load->whole() >= 8; }));
    auto const lasts = milliseconds{500};
    fault_in_turn({"drafting-1"}, {{{{"stall", true}}, lasts},
                                   {{{"hold_answers", true}}, lasts},
                                   {{{"drop_answers", 3}}, lasts},
                                   {{{"cut_after", 300}}, lasts},
                                   {{{"delay_ms", 120}}, lasts},
                                   {{{"refuse", true}}, lasts}});
    auto const before = load->whole();
    CHECK_TEXT(await_condition(milliseconds{10'000}, [&] { return load->whole() >= before + 20; }),
               "service after the faults");
    auto const counts = load->stop();
    UT_PRINT((std::to_string(counts.whole) + " whole, " + std::to_string(counts.failed) + " failed").c_str());
    LONGS_EQUAL(0, counts.wrong);
}

// Guards against an entry that was paused before its booking left, and sends it after another entry ran it.
TEST(a_faulty_link, a_paused_entry_does_not_run_a_booking_that_another_entry_ran)
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
    auto const in_between = executions_of("ridge");
    paused.daemon.send_signal(SIGCONT);
    system->heal_links(); // what the paused entry had sent arrives now
    caller.join();
    CHECK(sent);
    CHECK_TEXT(second.status == 200, second.body.c_str());
    LONGS_EQUAL(1, in_between);
    // The revoked call itself did not run, but "not run" would make its caller book anew.
    CHECK_TEXT(first.status == 200 || ran_of(first) != "no", first.body.c_str());
    LONGS_EQUAL(1, executions_of("ridge"));
    auto const repeat = book(paused, key, "ridge");
    STRCMP_EQUAL(nlohmann::json::parse(second.body).dump().c_str(),
                 nlohmann::json::parse(repeat.body).dump().c_str());
}

// Guards against a booking that runs again because the entry that holds its answer is paused.
TEST(a_faulty_link, a_booking_that_runs_while_its_entry_is_paused_keeps_its_first_answer)
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
    auto const told = await_condition(milliseconds{5'000}, [&] {
        second = book(other, "visit-1", "ridge");
        return second.status != 409; // in progress
    });
    paused.daemon.send_signal(SIGCONT);
    caller.join();
    CHECK(began && told);
    CHECK_TEXT(second.status == 200, second.body.c_str());
    CHECK_TEXT(first.status == 200, first.body.c_str());
    STRCMP_EQUAL(second.body.c_str(), first.body.c_str());
    LONGS_EQUAL(1, executions_of("ridge"));
}

// ---- two faults together

// Guards against a refusal "not run" that is false, and a booking lost or run twice, when an agent dies while
// the store is down.
TEST(a_faulty_link, a_killed_agent_during_a_store_outage_leads_to_no_second_run)
{
    options.bookings = 2;
    options.service_arguments = {"--service-ms", "150"};
    begin();
    auto& agent = *system->find("booking-0");
    call_json(system->key_value(), "POST", "/v1/fault", {{"unavailable", true}});
    auto told = std::vector<told_booking>(8);
    auto callers = std::vector<std::thread>{};
    for (auto i = std::size_t{0}; i < told.size(); ++i) {
        told[i].body = "outage " + std::to_string(i);
        told[i].key = "outage-" + std::to_string(i);
        callers.emplace_back([&, i] {
            booking_load::send(system->entries()[i % 2]->client, told[i], i >= 6); // two with a key
        });
    }
    auto const ran = await_condition(milliseconds{3'000}, [&] { return executions_of("outage 0") == 1; });
    agent.daemon.kill();
    for (auto& caller : callers)
        caller.join();
    system->restart_daemon(agent); // the store is still down: its peers have the configuration
    CHECK_TEXT(await_condition(milliseconds{10'000},
                               [&] {
                                   return call(agent.control, {"GET", "/readyz"}).status == 200;
                               }),
               "the agent comes back from its peers");
    CHECK(ran);
    for (auto const& booking : told) {
        auto const runs = executions_of(booking.body);
        auto const text = booking.body + ": ran \"" + booking.ran + "\", executions " + std::to_string(runs);
        CHECK_TEXT(runs <= 1, text.c_str());
        if (booking.answered || booking.ran == "yes") CHECK_TEXT(runs == 1, text.c_str());
        if (booking.ran == "no") CHECK_TEXT(runs == 0, text.c_str());
    }
    for (auto i = std::size_t{6}; i < told.size(); ++i)
        STRCMP_EQUAL("no", told[i].ran.c_str()); // a key needs the store
    call_json(system->key_value(), "POST", "/v1/fault", nlohmann::json::object());
    CHECK(await_condition(milliseconds{8'000},
                          [&] { return book(*system->entries()[0], "outage-7", "outage 7").status == 200; }));
    LONGS_EQUAL(1, executions_of("outage 7"));
}
