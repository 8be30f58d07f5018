// The departure of an engine reaches all its senders through its agent, by datagrams that wait neither for
// the time in which an entry gathers changes of records nor for a response of the store.
#include "hibiscuswall/fleet/load_report_receiver.hpp"
#include "hibiscuswall/fleet/load_report_sender.hpp"

#include "support/port_pool.hpp"
#include "support/run_coroutine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto agent_ip = "127.0.0.2";
constexpr auto engine_started_at_ms = std::uint64_t{1'700'000'000'000};
constexpr auto report_interval = milliseconds{100}; // of an agent
// A renewed subscription, a report and what the machine takes; less than entries gather changes of records.
constexpr auto told_within = milliseconds{900};

auto engine_record(bool draining) -> endpoint_record
{
    auto record = endpoint_record{};
    record.id = "i-1";
    record.service = "s";
    record.where = {agent_ip, 8000};
    record.failure_domain = "north-a";
    record.draining = draining;
    record.started_at_ms = engine_started_at_ms;
    record.weights = loaded_weights{"m", 1, 0, 2};
    return record;
}

auto process_at(std::string const& name, std::string const& ip, unsigned short port) -> member
{
    auto self = member{};
    self.name = name;
    self.region = "north";
    self.control_address = {ip, port};
    return self;
}

// An entry with its own view of the engine's record.
struct sending_entry {
    sending_entry(asio::io_context& io, std::string const& name, std::string const& ip, unsigned short port)
        : self{process_at(name, ip, port)}, table{{}, {{"north-a", "north"}}, name, random}, loads{io, self,
                                                                                                   table,
                                                                                                   declared}
    {
        table.add_or_update(engine_record(false), clock::now());
        if (!loads.start()) std::abort();
    }
    [[nodiscard]] auto sends() const -> bool { return table.all().at("i-1")->accepts_calls(clock::now()); }
    [[nodiscard]] auto has_report() const -> bool { return table.all().at("i-1")->news.has_value(); }

    member self;
    random_source random{3};
    declared_state declared{{}};
    endpoint_table table;
    load_report_receiver loads;
};

// An agent whose engine announces nothing by itself.
struct silent_agent {
    silent_agent(asio::io_context& io, unsigned short port)
        : self{process_at("agent", agent_ip, port)}, loads{io, self, declared}
    {
        if (!loads.start()) std::abort();
    }
    auto report() -> void
    {
        if (clock::now() - reported_at < report_interval) return;
        reported_at = clock::now();
        auto news = load_report{};
        news.where = {agent_ip, 8000};
        news.started_at_ms = run_ms;
        loads.send_report(news, reported_at);
    }

    member self;
    declared_state declared{{}};
    load_report_sender loads;
    std::uint64_t run_ms = engine_started_at_ms;
    time_point reported_at;
};

} // namespace

TEST_GROUP(departures_by_report)
{
    asio::io_context io;
    unsigned short port = port_pool::next().port;
    silent_agent agent{io, port};
    sending_entry informed{io, "e1", "127.0.0.3", port};
    sending_entry waiting{io, "e2", "127.0.0.4", port};

    auto await(std::function<bool()> const& condition, milliseconds bound)->bool
    {
        return run_until(
            io,
            [&] {
                agent.report();
                return condition();
            },
            bound);
    }
    auto await_reports()->void
    {
        CHECK(await([&] { return informed.has_report() && waiting.has_report(); }, seconds{3}));
    }
};

// Guards against calls to an engine seconds after it left, from an entry whose own watch is late.
TEST(departures_by_report, an_entry_whose_watch_is_late_learns_from_the_agent_that_an_engine_drains)
{
    await_reports();
    CHECK(waiting.sends());
    informed.table.add_or_update(engine_record(true), clock::now());
    CHECK(await([&] { return !waiting.sends(); }, told_within));
}

// Guards against a next run at the same address that gets no calls because the run before it drained.
TEST(departures_by_report, a_restarted_engine_is_not_taken_for_the_run_that_drained)
{
    agent.run_ms = engine_started_at_ms + 1;
    auto restarted = engine_record(false);
    restarted.started_at_ms = agent.run_ms;
    waiting.table.add_or_update(restarted, clock::now());
    CHECK(await([&] { return waiting.has_report(); }, seconds{3}));
    informed.table.add_or_update(engine_record(true), clock::now());
    CHECK(!await([&] { return !waiting.sends(); }, told_within));
}
