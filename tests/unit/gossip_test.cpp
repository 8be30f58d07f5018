// Gossip between processes on one io_context: how soon an update reaches all of them, and how many bytes they
// send when nothing changes.
#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"
#include "support/test_process.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(gossip)
{
    asio::io_context io;
    fake_store store{io};
    std::vector<std::unique_ptr<test_process>> processes;
    membership_settings settings;

    auto begin(int count)->void
    {
        for (auto i = 0; i < count; ++i) {
            auto name = "host-" + std::to_string(i);
            auto domain = i % 2 == 0 ? std::string{"gor-a"} : std::string{"sta-a"};
            processes.push_back(std::make_unique<test_process>(io, std::move(name), member_role::entry,
                                                               std::move(domain), store.where,
                                                               config_settings{}, settings));
        }
        for (auto& process : processes)
            for (auto& other : processes)
                if (process != other) process->knows(*other);
        for (auto& process : processes)
            while (!process->table.updates(1'000).empty()) {
            }
    }
    auto start()->void
    {
        for (auto& process : processes)
            process->gossip.start();
    }
    auto run_until(std::function<bool()> const& check, milliseconds limit)->bool
    {
        auto const end = clock::now() + limit;
        io.restart();
        while (!check() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return check();
    }
    // Whether all processes except the named one hold it in this state.
    auto all_hold(std::string const& name, member_state state)->bool
    {
        return std::all_of(processes.begin(), processes.end(), [&](auto& process) {
            auto const* held = process->table.find(name);
            return process->context.self.name == name || (held != nullptr && held->state == state);
        });
    }
    auto exchange_bytes()->std::size_t
    {
        auto sum = std::size_t{0};
        for (auto& process : processes)
            if (auto const found = process->client.traffic().find("peer.exchange");
                found != process->client.traffic().end())
                sum += found->second.sent + found->second.received;
        return sum;
    }
};

// Guards against updates that wait for the next regular exchange at each hop: promise 7 allows a few seconds.
TEST(gossip, all_processes_know_leaving_process_within_two_seconds)
{
    settings.leaving_peers = 1;
    begin(24);
    start();
    run_until([] { return false; }, milliseconds{300});
    asio::co_spawn(io, processes[0]->gossip.announce_leaving(), asio::detached);
    CHECK(run_until([&] { return all_hold("host-0", member_state::leaving); }, milliseconds{2'000}));
}

TEST(gossip, all_processes_hold_unreachable_process_as_dead_after_suspicion)
{
    settings.exchange_interval = milliseconds{200};
    settings.suspect_timeout = milliseconds{500};
    begin(12);
    auto unreachable = test_process::identity("silent", member_role::agent, "gor-a");
    for (auto& process : processes)
        process->table.merge(unreachable, clock::now());
    start();
    CHECK(run_until([&] { return all_hold("silent", member_state::dead); }, milliseconds{6'000}));
}

// Guards against regions that hold each other as dead after a partition and never reconnect.
TEST(gossip, partitioned_halves_reconnect_after_holding_each_other_dead)
{
    settings.exchange_interval = milliseconds{100};
    begin(12);
    for (auto& process : processes)
        for (auto& other : processes)
            if (process->context.self.failure_domain != other->context.self.failure_domain) {
                auto dead = other->context.self;
                dead.state = member_state::dead;
                process->table.merge(dead, clock::now());
            }
    start();
    auto const healed = [&] {
        return std::all_of(processes.begin(), processes.end(), [&](auto& process) {
            return all_hold(process->context.self.name, member_state::alive);
        });
    };
    CHECK(!healed());
    CHECK(run_until(healed, milliseconds{10'000}));
}

// Guards against exchanges that repeat unchanged members.
TEST(gossip, sends_few_bytes_when_nothing_changes)
{
    begin(16);
    start();
    run_until([] { return false; }, milliseconds{1'000});
    auto const before = exchange_bytes();
    run_until([] { return false; }, milliseconds{3'000});
    auto const rate =
        static_cast<double>(exchange_bytes() - before) / 3.0 / static_cast<double>(processes.size());
    CHECK_TEXT(rate < 400, std::to_string(rate).c_str()); // bytes as a client, sent and received
}

// Guards against a change that every process sends too often: at the target size, one occurs about every 25
// s.
TEST(gossip, sends_few_bytes_per_process_for_one_change)
{
    begin(24);
    start();
    run_until([] { return false; }, milliseconds{1'000});
    auto const quiet = exchange_bytes();
    run_until([] { return false; }, milliseconds{3'000});
    auto const changed = exchange_bytes();
    auto const raised = ++processes[0]->context.self.incarnation;
    run_until([] { return false; }, milliseconds{3'000});
    for (auto const& process : processes)
        CHECK(process == processes[0] || process->table.find("host-0")->incarnation == raised);
    auto const more = static_cast<double>(exchange_bytes() - changed) - static_cast<double>(changed - quiet);
    auto const each = more / static_cast<double>(processes.size());
    CHECK_TEXT(each < 3'000, std::to_string(each).c_str()); // bytes as a client, sent and received
}

TEST(gossip, malformed_exchange_is_rejected_with_400)
{
    begin(1);
    for (auto const* body : {"", "{}", "\x87\x01\xf6\xf6"}) {
        auto request = http_request{"POST", "/exchange", {}, body};
        auto answer = run_coroutine(
            io, processes[0]->client.fetch(processes[0]->context.self.control_address, request));
        CHECK(answer.has_value());
        CHECK_EQUAL(400, answer.value().status);
    }
}
