// News among processes on one io_context: how soon everyone knows it, and how many bytes a quiet fleet moves.
#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"
#include "support/test_process.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(gossip)
{
    asio::io_context io;
    fake_store store{io};
    std::vector<std::unique_ptr<test_process>> fleet;
    membership_settings settings;

    auto begin(int count)->void
    {
        for (auto i = 0; i < count; ++i) {
            auto name = "host-" + std::to_string(i);
            auto domain = i % 2 == 0 ? std::string{"gor-a"} : std::string{"sta-a"};
            fleet.push_back(std::make_unique<test_process>(io, std::move(name), member_role::entry,
                                                           std::move(domain), store.where, config_settings{},
                                                           settings));
        }
        for (auto& one : fleet)
            for (auto& other : fleet)
                if (one != other) one->knows(*other);
        for (auto& one : fleet)
            while (!one->table.news(1'000).empty()) {
            }
    }
    auto start()->void
    {
        for (auto& one : fleet)
            one->gossip.start();
    }
    auto run_until(std::function<bool()> const& check, milliseconds limit)->bool
    {
        auto const end = clock::now() + limit;
        io.restart();
        while (!check() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return check();
    }
    // Whether every process but the named one holds it in a state.
    auto all_hold(std::string const& name, member_state state)->bool
    {
        return std::all_of(fleet.begin(), fleet.end(), [&](auto& one) {
            auto const* held = one->table.find(name);
            return one->context.self.name == name || (held != nullptr && held->state == state);
        });
    }
    auto exchange_bytes()->std::size_t
    {
        auto sum = std::size_t{0};
        for (auto& one : fleet)
            if (auto const found = one->client.traffic().find("peer.exchange");
                found != one->client.traffic().end())
                sum += found->second.sent + found->second.received;
        return sum;
    }
};

// Guards against news that waits for the next regular exchange at each hop: promise 7 allows a few seconds.
TEST(gossip, everyone_knows_a_leaving_process_within_two_seconds)
{
    settings.leaving_peers = 1;
    begin(24);
    start();
    run_until([] { return false; }, milliseconds{300});
    asio::co_spawn(io, fleet[0]->gossip.announce_leaving(), asio::detached);
    CHECK(run_until([&] { return all_hold("host-0", member_state::leaving); }, milliseconds{2'000}));
}

TEST(gossip, everyone_holds_a_silent_process_for_dead_after_probes_and_suspicion)
{
    settings.exchange_interval = milliseconds{200};
    settings.suspicion = milliseconds{500};
    begin(12);
    auto silent = test_process::identity("silent", member_role::agent, "gor-a");
    for (auto& one : fleet)
        one->table.merge(silent, clock::now());
    start();
    CHECK(run_until([&] { return all_hold("silent", member_state::dead); }, milliseconds{6'000}));
}

// Guards against regions that hold each other for dead after a partition and stay apart.
TEST(gossip, halves_that_hold_each_other_for_dead_find_each_other)
{
    settings.exchange_interval = milliseconds{100};
    begin(12);
    for (auto& one : fleet)
        for (auto& other : fleet)
            if (one->context.self.failure_domain != other->context.self.failure_domain) {
                auto dead = other->context.self;
                dead.state = member_state::dead;
                one->table.merge(dead, clock::now());
            }
    start();
    auto const healed = [&] {
        return std::all_of(fleet.begin(), fleet.end(),
                           [&](auto& one) { return all_hold(one->context.self.name, member_state::alive); });
    };
    CHECK(!healed());
    CHECK(run_until(healed, milliseconds{10'000}));
}

// Guards against unchanged members that are repeated in every exchange.
TEST(gossip, a_quiet_fleet_moves_few_bytes)
{
    begin(16);
    start();
    run_until([] { return false; }, milliseconds{1'000});
    auto const before = exchange_bytes();
    run_until([] { return false; }, milliseconds{3'000});
    auto const rate =
        static_cast<double>(exchange_bytes() - before) / 3.0 / static_cast<double>(fleet.size());
    CHECK_TEXT(rate < 400, std::to_string(rate).c_str()); // as a client
}

// Guards against a change that every process repeats too often: at the target size one comes about every 25
// s.
TEST(gossip, one_change_costs_each_process_few_bytes)
{
    begin(24);
    start();
    run_until([] { return false; }, milliseconds{1'000});
    auto const quiet = exchange_bytes();
    run_until([] { return false; }, milliseconds{3'000});
    auto const changed = exchange_bytes();
    auto const raised = ++fleet[0]->context.self.incarnation;
    run_until([] { return false; }, milliseconds{3'000});
    for (auto const& one : fleet)
        CHECK(one == fleet[0] || one->table.find("host-0")->incarnation == raised);
    auto const more = static_cast<double>(exchange_bytes() - changed) - static_cast<double>(changed - quiet);
    auto const each = more / static_cast<double>(fleet.size());
    CHECK_TEXT(each < 3'000, std::to_string(each).c_str()); // as a client
}

TEST(gossip, a_malformed_exchange_is_refused)
{
    begin(1);
    for (auto const* body : {"", "{}", "\x87\x01\xf6\xf6"}) {
        auto request = http_request{"POST", "/exchange", {}, body};
        auto answer =
            run_coroutine(io, fleet[0]->client.fetch(fleet[0]->context.self.control_address, request));
        CHECK(answer.has_value());
        CHECK_EQUAL(400, answer.value().status);
    }
}
