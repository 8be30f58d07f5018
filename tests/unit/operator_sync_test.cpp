// Tests that a process gets what operators declared from its peers in time, whichever of them is silent.
#include "hibiscuswall/fleet/operator_sync.hpp"
#include "hibiscuswall/http/http_server.hpp"

#include "platform/operator_documents.hpp"
#include "platform/store_revision.hpp"

#include "support/port_pool.hpp"
#include "support/run_coroutine.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

// A process that follows operators' changes, with its peer address.
struct following_process {
    using peer_list = std::vector<address>;

    explicit following_process(asio::io_context& loop) : io{loop}
    {
        if (!server.listen(where)) std::abort();
    }

    auto applies(std::uint64_t version, std::uint64_t revision) -> void
    {
        auto const text =
            R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[],"tenants":[]})";
        declared.apply({std::string{platform::configuration_key}, text, revision}, clock::now());
    }
    [[nodiscard]] auto version() const -> std::uint64_t
    {
        return declared.map() == nullptr ? 0 : declared.map()->version();
    }
    // As load reports tell.
    [[nodiscard]] auto newer_peers() const -> peer_list
    {
        auto const is_behind = declared.revision() < newest_revision || version() < newest_version;
        return is_behind ? named : peer_list{};
    }

    asio::io_context& io;
    address where = port_pool::next();
    timeline events{"entry", 16};
    http_client client{io, nullptr};
    rpc_dispatcher rpc;
    http_router control;
    metrics metrics_registry;
    random_source random{5};
    process_context context{io, {}, client, rpc, control, events, metrics_registry, random};
    declared_state declared{{}};
    peer_list named;
    std::uint64_t newest_revision = 0;
    std::uint64_t newest_version = 0;
    operator_sync sync{context, declared, operator_scope::all, [] { return clock::now(); },
                       [this](time_point /*now*/) { return newer_peers(); }};
    http_server server{io, control, nullptr, {}};
};

} // namespace

TEST_GROUP(operator_sync)
{
    asio::io_context io;
    following_process self{io};
    following_process first{io};
    following_process second{io};
    address silent = port_pool::next();
    asio::ip::tcp::acceptor silent_listener{io, {asio::ip::make_address(silent.ip), silent.port}};

    void setup() override
    {
        self.applies(1, 10);
        asio::co_spawn(io, self.sync.run(), asio::detached);
    }
    auto hears_of(std::uint64_t revision, std::vector<address> peers)->void
    {
        self.named = std::move(peers);
        self.newest_revision = revision;
    }
    // Within the time in which a configuration has to be in force, less what load reports take.
    auto gets(std::uint64_t version)->bool
    {
        return run_until(
            io, [&] { return self.version() == version; }, milliseconds{1'100});
    }
};

// Guards against a process that waits for the timeout of a peer that has just fallen silent (2.5 s) before it
// asks another one.
TEST(operator_sync, one_silent_peer_does_not_hold_up_a_configuration)
{
    second.applies(2, 20);
    hears_of(20, {silent, second.where});
    CHECK(gets(2));

    // The next one is not asked of the silent peer first.
    second.applies(3, 30);
    hears_of(30, {silent, second.where});
    CHECK(run_until(
        io, [&] { return self.version() == 3; }, milliseconds{700}));
}

TEST(operator_sync, a_peer_that_refuses_the_connection_does_not_either)
{
    second.applies(2, 20);
    hears_of(20, {port_pool::next(), second.where});
    CHECK(gets(2));
}

// Guards against a peer that has just started, or is behind itself, being taken for an answer.
TEST(operator_sync, peers_without_a_newer_change_are_passed_over)
{
    first.applies(1, 10);
    second.applies(2, 20);
    hears_of(20, {first.where, second.where});
    CHECK(gets(2));
}

TEST(operator_sync, nobody_is_asked_while_this_process_is_current)
{
    second.applies(2, 20);
    hears_of(10, {second.where});
    CHECK_FALSE(run_until(
        io, [&] { return self.version() == 2; }, milliseconds{700}));
}

// A store that was restored names an older configuration, under a newer revision. Guards against a process
// that starts meanwhile and believes that it is ahead of those that kept the newer one.
TEST(operator_sync, a_newer_configuration_is_taken_from_a_peer_with_an_older_revision)
{
    constexpr auto era = store_revision{1, 0}.ordered();
    second.applies(7, 20);
    second.applies(4, era + 10); // is ignored
    self.applies(4, era + 10);
    CHECK_EQUAL(4U, self.version());
    self.newest_version = 7;
    self.named = {second.where};
    CHECK(gets(7));

    // What operators then write is taken as always.
    self.applies(7, era + 11);
    self.applies(8, era + 12);
    CHECK_EQUAL(8U, self.version());
    UNSIGNED_LONGS_EQUAL(era + 12, self.declared.items(platform::configuration_key).front().revision);
}
