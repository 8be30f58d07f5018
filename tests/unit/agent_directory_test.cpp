// Tests the list of agents that a transfer of weights starts from.
#include "hibiscuswall/fleet/agent_directory.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "platform/endpoint_records.hpp"

#include "support/fake_store.hpp"
#include "support/port_pool.hpp"
#include "support/run_coroutine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(agent_directory)
{
    asio::io_context io;
    fake_store store{io};
    timeline events{"agent", 16};
    http_client client{io, &events};
    key_value_client kv{client, {store.where}, milliseconds{300}};
    member self = own_entry();
    std::vector<address> entries;
    agent_directory directory{client, kv, self, {{"domain-a", "region-a"}}, [this] { return entries; }};
    time_point now = clock::now();

    static auto own_entry()->member
    {
        auto own = member{};
        own.name = "10.0.0.1";
        own.control_address = {"10.0.0.1", 7000};
        own.service = "chat";
        return own;
    }
    auto put_engine(std::string const& id, std::string const& ip)->void
    {
        auto const record =
            nlohmann::json{{"service", "chat"}, {"address", ip + ":8000"}, {"zone", "domain-a"},
                           {"slots", 4},        {"state", "ready"},        {"born", 1}};
        auto const key = std::string{platform::endpoint_prefix} + id;
        CHECK(run_coroutine(io, kv.put(key, record.dump(), std::nullopt)).has_value());
    }
    auto refresh()->void
    {
        auto const read = [&]() -> asio::awaitable<bool> {
            co_await directory.refresh(now);
            co_return true;
        };
        CHECK(run_coroutine(io, read()));
    }
};

// Guards against counting every engine twice after a loss of power: ranks and the choice of the agents that
// fetch from the source are off, and holdings reach each agent half as often.
TEST(agent_directory, lists_an_agent_once_beside_the_record_of_its_former_run)
{
    put_engine("run-1", "10.0.0.1");
    put_engine("run-2", "10.0.0.1");
    put_engine("run-3", "10.0.0.2");
    refresh();
    UNSIGNED_LONGS_EQUAL(2, directory.agents().size());
}

// Guards against a transfer without peers: a read that failed counted as the one read of that second.
TEST(agent_directory, reads_again_at_once_after_a_failed_read)
{
    put_engine("run-1", "10.0.0.1");
    store.down = true;
    refresh();
    UNSIGNED_LONGS_EQUAL(0, directory.agents().size());
    UNSIGNED_LONGS_EQUAL(0, directory.generation());
    store.down = false;
    refresh();
    UNSIGNED_LONGS_EQUAL(1, directory.agents().size());
}

// ---- as an entry tells it

TEST_GROUP_BASE(agent_list, TEST_GROUP_CppUTestGroupagent_directory)
{
    // An entry that follows some endpoints, as far as agents ask it.
    struct told_by_entry {
        random_source random{3};
        endpoint_table endpoints{{}, {{"domain-a", "region-a"}, {"domain-b", "region-b"}}, "entry-1", random};
        bool has_listing = true;
        http_router control;
        http_server server;
        address where = port_pool::next();

        explicit told_by_entry(asio::io_context& io) : server{io, control, nullptr, {}}
        {
            add_agent_list_route(control, endpoints, [this] { return has_listing; });
            if (!server.listen(where)) std::abort();
        }

        auto add(std::string const& id, std::string const& ip, std::string const& domain,
                 std::string const& service = "chat") -> void
        {
            auto record = endpoint_record{};
            record.id = id;
            record.service = service;
            record.where = {ip, 8000};
            record.failure_domain = domain;
            endpoints.add_or_update(record, clock::now());
        }
    };

    told_by_entry entry{io};

    auto reads_of_store()->std::uint64_t { return store.calls["list"]; }
};

// Guards against hundreds of agents that each read all records from the store when new weights are declared:
// the responses fill every link out of the store's region, and news of departures wait behind them.
TEST(agent_list, is_taken_from_an_entry_and_not_from_the_store)
{
    for (auto i = 0; i < 300; ++i)
        entry.add("run-" + std::to_string(i),
                  "10.1." + std::to_string(i / 100) + "." + std::to_string(i % 100 + 1),
                  i % 2 == 0 ? "domain-a" : "domain-b");
    entry.add("former-run", "10.1.0.1", "domain-a");
    entry.add("plain", "10.2.0.1", "domain-a", "status");
    entries = {entry.where};
    refresh();
    UNSIGNED_LONGS_EQUAL(300, directory.agents().size());
    UNSIGNED_LONGS_EQUAL(0, reads_of_store());
    auto const& first = directory.agents().front();
    STRCMP_EQUAL("domain-a", first.failure_domain.c_str());
    STRCMP_EQUAL("region-a", first.region.c_str());
    UNSIGNED_LONGS_EQUAL(7000, first.control_address.port);
    auto const received = client.traffic().find("agent_list")->second.received;
    CHECK_TEXT(received < 6'000, std::to_string(received).c_str()); // bytes
}

// Guards against an agent without peers where an entry has just started, is gone, or answers with something
// else.
TEST(agent_list, is_asked_of_the_next_entry_and_then_read_from_the_store)
{
    put_engine("run-1", "10.0.0.1");
    entry.add("run-2", "10.0.0.2", "domain-a");
    auto const gone = port_pool::next();
    entries = {gone, entry.where};
    refresh();
    STRCMP_EQUAL("10.0.0.2", directory.agents().front().name.c_str());
    UNSIGNED_LONGS_EQUAL(0, reads_of_store());

    entry.has_listing = false;
    now += seconds{2};
    refresh();
    STRCMP_EQUAL("10.0.0.1", directory.agents().front().name.c_str());
    UNSIGNED_LONGS_EQUAL(1, reads_of_store());
}

// Guards against a transfer that begins late because the entry that is asked first has just fallen silent.
TEST(agent_list, one_silent_entry_does_not_hold_up_the_list)
{
    entry.add("run-2", "10.0.0.2", "domain-a");
    auto const silent = port_pool::next();
    auto const listener = asio::ip::tcp::acceptor{io, {asio::ip::make_address(silent.ip), silent.port}};
    entries = {silent, entry.where};
    auto const begun_at = clock::now();
    refresh();
    STRCMP_EQUAL("10.0.0.2", directory.agents().front().name.c_str());
    CHECK(clock::now() - begun_at < milliseconds{400});
}

// Guards against bytes of another program that become names of hosts.
TEST(agent_list, is_refused_if_it_names_no_addresses)
{
    for (auto const* text : {"", "[]", "{", R"({"a":"10.0.0.1"})", R"({"a":[1]})", R"({"a":["host"]})",
                             R"({"a":["10.0.0.1","10.0.0.256"]})"})
        CHECK_FALSE(decode_agent_list(text).has_value());
    auto const read =
        decode_agent_list(encode(std::vector<listed_agent>{{"10.0.0.1", "a"}, {"10.0.0.2", "b"}}));
    CHECK(read.has_value());
    UNSIGNED_LONGS_EQUAL(2, read.value().size());
    CHECK(decode_agent_list(encode(std::vector<listed_agent>{})).has_value());
}
