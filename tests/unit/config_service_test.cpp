// Tests writes and the distribution of the configuration with a store that loses responses, becomes
// unavailable and receives concurrent writes of operators.
#include "hibiscuswall/config/push_tree.hpp"
#include "hibiscuswall/config/settled_era.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "platform/store_revision.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"
#include "support/test_process.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto host_change(std::string const& name, std::string const& state, std::string write_id) -> config_change
{
    auto errors = std::vector<std::string>{};
    auto parsed =
        parse_resource({{"kind", "Host"}, {"name", name}, {"spec", {{"state", state}}}}, "", errors);
    auto change = config_change{};
    change.puts.push_back(*parsed);
    change.write_id = std::move(write_id);
    return change;
}

auto host_document(std::uint64_t revision, std::string const& state) -> config_document
{
    auto document =
        config_document{}.with(host_change("h", state, "w").puts, {}, "w" + std::to_string(revision));
    document.revision = revision;
    return document;
}

auto sleep_and_return(milliseconds duration) -> asio::awaitable<int>
{
    co_await sleep_for(duration);
    co_return 0;
}

auto fetch_status(test_process& entry) -> asio::awaitable<nlohmann::json>
{
    auto request = http_request{"GET", "/v1/status"};
    auto const response = co_await entry.client.fetch(entry.context.self.control_address, std::move(request));
    co_return nlohmann::json::parse(response.value().body);
}

} // namespace

// Sends the request in two parts with a pause between them, as a full link does, and waits for the response.
auto send_slowly(address where, std::string body, milliseconds pause) -> asio::awaitable<int>
{
    using tcp = asio::ip::tcp;
    auto socket = tcp::socket{co_await asio::this_coro::executor};
    co_await socket.async_connect({asio::ip::make_address(where.ip), where.port}, asio::use_awaitable);
    auto const head = "POST /rpc HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n";
    auto const first = head + body.substr(0, body.size() / 2);
    co_await asio::async_write(socket, asio::buffer(first), asio::use_awaitable);
    co_await sleep_for(pause);
    co_await asio::async_write(socket, asio::buffer(body.substr(body.size() / 2)), asio::use_awaitable);
    auto response = std::array<char, 512>{};
    co_await socket.async_read_some(asio::buffer(response), asio::use_awaitable);
    co_return 0;
}

struct config_fixture : Utest {
    asio::io_context io;
    fake_store store{io};
    std::vector<std::unique_ptr<test_process>> processes;

    static auto fast_settings() -> config_settings
    {
        auto settings = config_settings{};
        settings.retry_delay = milliseconds{20};
        settings.watch_wait = milliseconds{200};
        settings.peer_timeout = milliseconds{200};
        settings.apply_timeout = milliseconds{500};
        settings.pause_threshold = milliseconds{60'000}; // a slow machine must not be detected as a pause
        return settings;
    }
    auto process(std::string name, std::string domain = "gor-a", config_settings settings = fast_settings())
        -> test_process&
    {
        processes.push_back(std::make_unique<test_process>(io, std::move(name), member_role::entry,
                                                           std::move(domain), store.where, settings));
        return *processes.back();
    }
    auto add_all_to_member_tables() -> void
    {
        for (auto& one : processes)
            for (auto& other : processes)
                if (one != other) one->knows(*other);
    }
    auto apply(test_process& at, config_change change) -> result<std::uint64_t>
    {
        return run_coroutine(io, at.config.apply(std::move(change)));
    }
    auto push(test_process& to, config_delta const& delta) -> std::uint64_t
    {
        auto params = to_json(delta);
        params["confirmed_age_ms"] = 0;
        auto response = run_coroutine(io, rpc_call(to.client, to.context.self.control_address, "config.push",
                                                   params, milliseconds{500}));
        return response.value()["revision"].get<std::uint64_t>();
    }
    template<class Check>
    auto run_until(Check check, milliseconds limit) -> bool
    {
        auto const end = clock::now() + limit;
        io.restart();
        while (!check() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return check();
    }
};

// ---- writing

struct config_write_fixture : config_fixture {
    test_process* entry = nullptr;

    void setup() override
    {
        entry = &process("entry-1");
        CHECK(apply(*entry, host_change("h", "in", "first")).has_value());
    }
};

TEST_GROUP_BASE(config_write, config_write_fixture){};

TEST(config_write, is_in_force_at_once_in_the_accepting_process)
{
    CHECK_EQUAL(store.entries["config/root"].revision, entry->config.current()->revision);
    CHECK(entry->config.current()->in_service("h", "gor-a"));
}

// Guards against guessing the outcome of a write whose response was lost.
TEST(config_write, succeeds_when_its_response_is_lost)
{
    store.drop_responses = 1;
    auto const written = apply(*entry, host_change("h", "out", "second"));
    CHECK(written.has_value());
    CHECK_EQUAL(store.entries["config/root"].revision, written.value());
    CHECK_EQUAL(2, store.writes["config/root"]);
    CHECK(!entry->config.current()->in_service("h", "gor-a"));
}

// Guards against reporting a lost race for a write that succeeded: its response is lost, and another write
// follows before the outcome is read back.
TEST(config_write, succeeds_when_its_response_is_lost_and_another_write_follows)
{
    store.drop_responses = 1;
    store.after_write = [&](std::string const& key) {
        if (key != "config/root") return;
        store.after_write = {};
        auto root = parse_root(store.entries[key].value, store.entries[key].revision).value();
        store.entries[key] = {root.with({}, {}, "other").root_text(), ++store.revision};
    };
    auto const written = apply(*entry, host_change("h", "out", "second"));
    CHECK(written.has_value());
    CHECK(written.value() < store.entries["config/root"].revision);
}

TEST(config_write, has_unknown_outcome_when_it_cannot_be_read_back)
{
    store.drop_responses = 1;
    store.after_write = [&](std::string const& key) { store.down = key == "config/root"; };
    auto const written = apply(*entry, host_change("h", "out", "second"));
    CHECK(written.error().code == result_code::write_outcome_unknown);

    store.down = false; // a retry with the same id resolves the outcome without writing again
    store.after_write = {};
    auto const retried = apply(*entry, host_change("h", "out", "second"));
    CHECK(retried.has_value());
    CHECK_EQUAL(2, store.writes["config/root"]);
}

TEST(config_write, is_rejected_without_writing_while_the_store_is_unavailable)
{
    store.down = true;
    CHECK(apply(*entry, host_change("h", "out", "second")).error().code == result_code::store_unavailable);
    CHECK_EQUAL(1, store.writes["config/root"]);
}

// Guards against a write that silently reverts the concurrent write of another operator.
TEST(config_write, names_the_superseding_write_after_a_lost_race)
{
    store.before_write = [&](std::string const& key) {
        if (key != "config/root") return;
        store.before_write = {};
        auto root = parse_root(store.entries[key].value, store.entries[key].revision).value();
        store.entries[key] = {root.with({}, {}, "winner").root_text(), ++store.revision};
    };
    auto const lost = apply(*entry, host_change("h", "out", "loser"));
    CHECK(lost.error().code == result_code::revision_conflict);
    auto const expected =
        "superseded by revision " + std::to_string(store.entries["config/root"].revision) + " (write winner)";
    STRCMP_EQUAL(expected.c_str(), lost.error().message.c_str());
}

TEST(config_write, is_rejected_with_an_outdated_expected_revision)
{
    auto change = host_change("h", "out", "second");
    change.expect_revision = 1;
    CHECK(apply(*entry, change).error().code == result_code::revision_conflict);
}

// Guards against collecting an object that a write in progress is about to reference.
TEST(config_write, leaves_unreferenced_objects_that_are_collected_after_the_grace_period)
{
    auto settings = fast_settings();
    settings.collect_grace = milliseconds{50};
    auto collector = config_writer{entry->kv, settings};
    CHECK(apply(*entry, host_change("h", "out", "second")).has_value());
    CHECK_EQUAL(0U, run_coroutine(io, collector.collect()).value()); // found unreferenced for the first time
    run_coroutine(io, sleep_and_return(milliseconds{60}));
    auto const unused = std::string{config_object_prefix} + sha256(host_change("h", "in", "").puts[0].text());
    CHECK(store.entries.contains(unused));
    store.entries[unused].revision = ++store.revision; // stored again by a write in progress
    CHECK_EQUAL(0U, run_coroutine(io, collector.collect()).value());
    run_coroutine(io, sleep_and_return(milliseconds{60}));
    CHECK_EQUAL(1U, run_coroutine(io, collector.collect()).value());
    CHECK_EQUAL(2U, store.entries.size()); // the root and the object in use
}

// ---- distribution

struct config_distribution_fixture : config_fixture {
    auto all_in_force(std::uint64_t revision) -> bool
    {
        return std::all_of(processes.begin(), processes.end(), [&](auto const& one) {
            return one->config.current() && one->config.current()->revision >= revision;
        });
    }
};

TEST_GROUP_BASE(config_distribution, config_distribution_fixture){};

TEST(config_distribution, reaches_every_process_with_two_watchers_per_failure_domain)
{
    for (auto i = 0; i < 12; ++i)
        process("host-" + std::to_string(i), i % 2 == 0 ? "gor-a" : "sta-a");
    add_all_to_member_tables();
    for (auto& one : processes)
        one->config.start();
    CHECK(run_until([&] { return all_in_force(0); }, seconds{3}));
    auto watching = 0.0;
    CHECK(run_until(
        [&] {
            watching = 0;
            for (auto& one : processes)
                watching += one->metrics_registry.value("config_watching");
            return watching == 4;
        },
        seconds{3}));
    auto const written = apply(*processes[3], host_change("h", "out", "first"));
    CHECK(run_until([&] { return all_in_force(written.value()); }, seconds{2}));
}

// Guards against a node of the push tree that does not respond and cuts off its subtree.
TEST(config_distribution, bypasses_a_process_that_does_not_respond)
{
    for (auto i = 0; i < 30; ++i)
        process("host-" + std::to_string(i));
    add_all_to_member_tables();
    auto const known = processes[0]->table.members();
    auto const order = push_order(processes[0]->context.self, known, "gor-a");
    auto const find = [&](std::string const& name) {
        return std::find_if(processes.begin(), processes.end(),
                            [&](auto& one) { return one->context.self.name == name; });
    };
    (*find(order[1]))->server.stop_accepting(); // a parent on the second level
    auto const at = find(order[0]);
    auto const written = apply(**at, host_change("h", "out", "first"));
    CHECK(run_until(
        [&] {
            return std::all_of(processes.begin(), processes.end(), [&](auto& one) {
                return one->context.self.name == order[1] ||
                       one->config.state().revision() >= written.value();
            });
        },
        seconds{3}));
}

// Guards against waits that add up: the process to which a change is pushed first takes connections and
// answers nothing, and the store leaves a call of each watcher unanswered. The times are those of a daemon.
TEST(config_distribution, is_in_force_in_time_with_a_silent_root_of_the_tree_and_unanswered_calls)
{
    constexpr auto bound = seconds{4};
    for (auto i = 0; i < 30; ++i)
        process("host-" + std::to_string(i), "gor-a", config_settings{});
    add_all_to_member_tables();
    for (auto& one : processes)
        one->config.start();
    CHECK(run_until([&] { return all_in_force(0); }, seconds{5}));
    auto const order = push_order(processes[0]->context.self, processes[0]->table.members(), "gor-a");
    auto const find = [&](std::string const& name) {
        return std::find_if(processes.begin(), processes.end(),
                            [&](auto& one) { return one->context.self.name == name; });
    };
    auto& root = **find(order[0]);
    auto& writer = **find(order.back());
    root.server.stop_accepting();
    auto const where = root.context.self.control_address;
    auto const silent = asio::ip::tcp::acceptor{io, {asio::ip::make_address(where.ip), where.port}};
    store.after_write = [&](std::string const& key) {
        if (key == config_root_key) store.unanswered = watchers_per_failure_domain;
    };
    auto const written = apply(writer, host_change("h", "out", "first"));
    auto const has_it = [&](auto const& one) {
        return one->context.self.name == order[0] || one->config.state().revision() >= written.value();
    };
    CHECK(run_until([&] { return std::all_of(processes.begin(), processes.end(), has_it); }, bound));
}

// Guards against a peer with an old revision that reverts a restarted process to it.
TEST(config_distribution, gives_a_starting_process_the_newest_revision_of_its_peers)
{
    auto& old_peer = process("old");
    auto& new_peer = process("new");
    push(old_peer, make_delta(config_document{}, host_document(5, "in")));
    push(new_peer, make_delta(config_document{}, host_document(8, "out")));
    store.down = true;
    auto& started = process("started");
    started.knows(old_peer);
    started.knows(new_peer);
    started.config.start();
    CHECK(run_until([&] { return started.config.state().revision() == 8; }, seconds{2}));
    CHECK(started.config.confirmed(clock::now()));
    CHECK_EQUAL(8U, push(started, make_delta(config_document{}, host_document(5, "in"))));
}

TEST(config_distribution, has_no_configuration_until_the_store_is_available)
{
    store.down = true;
    auto& alone = process("alone");
    alone.config.start();
    run_until([] { return false; }, milliseconds{300});
    CHECK(alone.config.current() == nullptr);
    CHECK(!alone.config.confirmed(clock::now()));
    store.down = false;
    CHECK(run_until([&] { return alone.config.confirmed(clock::now()); }, seconds{2}));
}

TEST(config_distribution, ignores_pushes_that_arrive_out_of_order)
{
    auto& one = process("one");
    auto const first = host_document(5, "in");
    auto const second = host_document(6, "out");
    CHECK_EQUAL(6U, push(one, make_delta(config_document{}, second)));
    CHECK_EQUAL(6U, push(one, make_delta(config_document{}, first)));
    CHECK(!one.config.current()->in_service("h", "gor-a"));
}

// Guards against applying a delta to another document than the one it was made from.
// Guards against a confirmation that a slow transfer makes younger: a process that is cut off then takes new
// work for longer than its policy allows.
TEST(config_distribution, counts_the_age_of_a_push_from_the_begin_of_its_transfer)
{
    constexpr auto transfer_time = milliseconds{700};
    auto& host = process("host-1");
    auto params = to_json(make_delta(config_document{}, host_document(8, "out")));
    params["confirmed_age_ms"] = 0;
    auto const where = host.context.self.control_address;
    run_coroutine(io, send_slowly(where, jsonrpc_request("config.push", params.dump(), 1), transfer_time));
    auto const answer = run_coroutine(
        io, rpc_call(host.client, where, "config.fetch", {{"have_revision", 8}}, milliseconds{500}));
    CHECK_EQUAL(8U, answer.value()["revision"].get<std::uint64_t>());
    CHECK(answer.value()["confirmed_age_ms"].get<long long>() >= transfer_time.count());
}

TEST(config_distribution, responds_with_its_own_revision_when_a_delta_has_a_gap)
{
    auto& one = process("one");
    push(one, make_delta(config_document{}, host_document(5, "in")));
    auto const sixth = host_document(6, "out");
    CHECK_EQUAL(5U, push(one, make_delta(sixth, host_document(7, "in"))));
    CHECK_EQUAL(7U, push(one, make_delta(host_document(5, "in"), host_document(7, "in"))));
}

TEST(config_distribution, is_repaired_by_gossip_with_a_newer_peer)
{
    auto& ahead = process("ahead");
    auto& behind = process("behind", "sta-a");
    push(ahead, make_delta(config_document{}, host_document(8, "out")));
    push(behind, make_delta(config_document{}, host_document(5, "in")));
    behind.knows(ahead);
    behind.gossip.start();
    CHECK(run_until([&] { return behind.config.state().revision() == 8; }, seconds{4}));
}

// Guards against a process that admits work after a pause because of a peer's message that was sent before
// the pause and waited in its socket. Only the response to a request sent after the pause confirms the
// revision.
TEST(config_distribution, does_not_end_a_pause_for_a_message_that_may_predate_it)
{
    auto settings = fast_settings();
    settings.pause_threshold = milliseconds{300};
    auto& one = process("one", "gor-a", settings);
    CHECK(apply(one, host_change("h", "in", "first")).has_value());
    store.down = true;
    one.config.start();
    run_until([] { return false; }, milliseconds{150}); // lets the process tick
    std::this_thread::sleep_for(milliseconds{500});     // nothing runs, as in a stopped process
    CHECK(run_until([&] { return one.config.state().paused(clock::now()); }, milliseconds{500}));

    auto message = exchange_message{};
    message.from = test_process::identity("peer", member_role::agent, "gor-a");
    message.config_revision = one.config.state().revision();
    message.confirmed_age = milliseconds{0};
    auto request = http_request{"POST", "/exchange", {}, encode(message)};
    auto const response =
        run_coroutine(io, one.client.fetch(one.context.self.control_address, std::move(request)));
    CHECK_EQUAL(200, response.value().status);
    CHECK(one.config.state().paused(clock::now()));

    store.down = false; // the process's own read of the store ends the pause
    CHECK(run_until([&] { return !one.config.state().paused(clock::now()); }, seconds{2}));
}

// ---- a store that comes back from an older copy

struct restored_config_fixture : config_distribution_fixture {
    test_process* entry = nullptr;

    void setup() override
    {
        store.era = 1;
        entry = &process("entry-1");
        process("host-1");
        process("host-2");
        add_all_to_member_tables();
        for (auto& one : processes)
            one->config.start();
        CHECK(run_until([&] { return all_in_force(0); }, seconds{3}));
    }
    auto takes_out(std::string const& host) -> std::uint64_t
    {
        return apply(*entry, host_change(host, "out", "out-" + host)).value();
    }
    auto restore_and_wait(key_value_table::store_copy copy) -> bool
    {
        store.restore(std::move(copy));
        auto const is_written = [&] {
            auto const found = store.entries.find("config/root");
            if (found == store.entries.end()) return false;
            auto const root = parse_root(found->second.value, 1).value();
            return root.write_id == "out-h2" && all_in_force(store_revision{2, 1}.ordered());
        };
        return run_until(is_written, seconds{4});
    }
};

TEST_GROUP_BASE(restored_config, restored_config_fixture){};

// Guards against an accepted configuration that comes back older everywhere: the copy has the newer revision.
TEST(restored_config, an_accepted_write_that_the_store_lost_is_written_again)
{
    takes_out("h1");
    auto copy = store.copy();
    takes_out("h2");
    CHECK(restore_and_wait(std::move(copy)));
    for (auto& one : processes)
        CHECK(!one->config.current()->in_service("h2", "gor-a"));
    auto& started = process("started"); // reads all of it from the store
    started.config.start();
    CHECK(run_until([&] { return started.config.current() != nullptr; }, seconds{2}));
    CHECK(!started.config.current()->in_service("h2", "gor-a"));
}

// Guards against watchers that ask the store again at once, for ever, for a key that it does not have.
TEST(restored_config, a_store_that_lost_the_whole_configuration_gets_it_again)
{
    auto copy = key_value_table::store_copy{};
    takes_out("h1");
    takes_out("h2");
    CHECK(restore_and_wait(std::move(copy)));
    CHECK(store.calls["watch"] < 100);
}

// Guards against a change on top of the older copy, which would drop what the store lost.
TEST(restored_config, a_change_right_after_the_restore_keeps_what_was_lost)
{
    takes_out("h1");
    auto copy = store.copy();
    takes_out("h2");
    store.restore(std::move(copy));
    takes_out("h3");
    CHECK(run_until([&] { return all_in_force(store_revision{2, 1}.ordered()); }, seconds{4}));
    for (auto& one : processes)
        for (auto const* host : {"h1", "h2", "h3"})
            CHECK(!one->config.current()->in_service(host, "gor-a"));
}

// Guards against a confirmed change that is lost for good: an entry that starts after the restore and reaches
// no peer takes the older copy for the newest configuration, and writes a change on top of it.
TEST(restored_config, a_change_through_an_entry_that_starts_after_the_restore_drops_nothing)
{
    takes_out("h1");
    auto copy = store.copy();
    takes_out("h2");
    store.silent_watches = true; // the watchers notice the restore a little later
    store.restore(std::move(copy));
    auto& started = process("started");
    started.config.start();
    CHECK(run_until([&] { return started.config.current() != nullptr; }, seconds{2}));
    CHECK(started.config.current()->in_service("h2", "gor-a"));
    auto written = apply(started, host_change("h3", "out", "out-h3"));
    CHECK(written.has_error() && written.error().code == result_code::store_unavailable);

    for (auto const end = clock::now() + seconds{5}; !written && clock::now() < end;) {
        run_until([] { return false; }, milliseconds{100});
        written = apply(started, host_change("h3", "out", "out-h3"));
    }
    CHECK(run_until([&] { return all_in_force(written.value()); }, seconds{4}));
    for (auto& one : processes)
        for (auto const* host : {"h1", "h2", "h3"})
            CHECK(!one->config.current()->in_service(host, "gor-a"));
}

// Guards against an entry that rejects changes for seconds whenever it starts, long after a restore.
TEST(restored_config, a_change_through_an_entry_that_starts_when_the_era_is_settled_is_written_at_once)
{
    takes_out("h1");
    auto copy = store.copy();
    takes_out("h2");
    CHECK(restore_and_wait(std::move(copy)));
    CHECK(run_coroutine(io, record_settled_era(entry->kv, 2)).has_value());
    auto& started = process("started");
    CHECK(apply(started, host_change("h3", "out", "out-h3")).has_value());
}

// Guards against a configuration that replaces the lost one: the copy has none, as a store that is new.
TEST(restored_config, a_first_change_after_the_restore_waits_for_the_configuration_that_was_lost)
{
    auto copy = key_value_table::store_copy{};
    takes_out("h1");
    store.silent_watches = true;
    store.restore(std::move(copy));
    auto& started = process("started");
    auto const written = apply(started, host_change("h3", "out", "out-h3"));
    CHECK(written.has_error() && written.error().code == result_code::store_unavailable);
    CHECK(run_until([&] { return store.entries.contains("config/root"); }, seconds{4}));
    CHECK(parse_root(store.entries["config/root"].value, 1).value().write_id == "out-h1");
}

// ---- status

TEST(config_distribution, status_lists_unconfirmed_failure_domains_and_hosts)
{
    auto& entry = process("entry-1");
    auto& lagging = process("agent-7", "sta-a");
    auto& unreachable = process("agent-8", "sta-a");
    add_all_to_member_tables();
    CHECK(apply(entry, host_change("h", "out", "first")).has_value());
    CHECK(run_until([&] { return all_in_force(1); }, seconds{2}));
    unreachable.server.stop_accepting();
    lagging.server.stop_accepting();
    auto report = run_coroutine(io, fetch_status(entry));
    CHECK(!report["converged"].get<bool>());
    STRCMP_EQUAL(R"(["sta-a"])", report["unconfirmed_failure_domains"].dump().c_str());
    CHECK_EQUAL(2U, report["unconfirmed_hosts"].size());
}
