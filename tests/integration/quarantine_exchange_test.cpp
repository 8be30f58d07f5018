// What one entry knows of segments that crash engines reaches the others and lasts. Real entry programs and a
// stand-in store; the test takes the part of a further entry.
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/ip/udp.hpp>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(quarantine_exchange, direct_entry_base)
{
    address other_callers = port_pool::next();
    address other_ready = port_pool::next();
    address other_peers = port_pool::next();
    process other;

    void teardown() override
    {
        other.kill();
        direct_entry_base::teardown();
    }

    auto start_other()->void { other = start_entry_program("e2", {other_callers, other_ready, other_peers}); }

    auto start_both()->void
    {
        configure();
        start_entry();
        start_other();
        CHECK(await_condition(seconds{5}, [&] { return is_listening(peers) && is_listening(other_peers); }));
    }

    static auto is_listening(address const& where)->bool
    {
        return call(where, {"GET", "/healthz"}).status == 200;
    }

    // Tells the first entry of three crashes, each in a trial after the one before.
    auto send_evidence()->void
    {
        using udp = asio::ip::udp;
        auto const marks = std::vector<aged_mark>{{17, 1, false, milliseconds{300}},
                                                  {18, 2, false, milliseconds{200}},
                                                  {19, 3, false, milliseconds{100}}};
        auto io = asio::io_context{};
        auto socket = udp::socket{io, udp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
        for (auto const& bytes : encode_all({"e3", {{"m", "s/1", marks}}}))
            socket.send_to(asio::buffer(bytes), {asio::ip::make_address(peers.ip), peers.port});
    }

    // State of the segment at an entry; empty if it is not listed.
    static auto state_at(address const& where)->std::string
    {
        auto const list = call_json(where, "GET", "/fleet/quarantine");
        for (auto const& each : list)
            if (each["model"] == "m" && each["segment"] == "s/1") return each["state"];
        return "";
    }

    auto stored_count()->std::size_t
    {
        return call_json(store, "GET", "/kv-range?prefix=quarantine/").at("items").size();
    }

    auto lift_at(address const& where)->int
    {
        return call(where, {"DELETE", "/fleet/quarantine/m/s%2F1"}).status;
    }
};

TEST(quarantine_exchange, evidence_at_one_entry_reaches_the_other_and_is_known_after_its_restart)
{
    start_both();
    send_evidence();
    CHECK(await_condition(seconds{5}, [&] { return state_at(other_peers) == "quarantined"; }));
    STRCMP_EQUAL("quarantined", state_at(peers).c_str());
    other.kill();
    start_other();
    CHECK(await_condition(seconds{5}, [&] { return state_at(other_peers) == "quarantined"; }));
}

// Guards against a verdict that ends with the entries that knew it.
TEST(quarantine_exchange, a_verdict_outlasts_all_entries)
{
    start_both();
    send_evidence();
    CHECK(await_condition(seconds{8}, [&] { return stored_count() == 1; }));
    entry.kill();
    other.kill();
    start_other();
    CHECK(await_condition(seconds{5}, [&] { return state_at(other_peers) == "quarantined"; }));
}

TEST(quarantine_exchange, a_segment_that_is_lifted_at_one_entry_is_lifted_at_both_and_forgotten_by_the_store)
{
    start_both();
    CHECK_EQUAL(404, lift_at(peers));
    send_evidence();
    CHECK(await_condition(seconds{5}, [&] { return state_at(other_peers) == "quarantined"; }));
    CHECK(await_condition(seconds{5}, [&] { return stored_count() == 1; }));
    CHECK_EQUAL(200, lift_at(other_peers));
    CHECK(await_condition(seconds{2}, [&] { return state_at(peers) == "cleared"; }));
    STRCMP_EQUAL("cleared", state_at(other_peers).c_str());
    CHECK(await_condition(seconds{5}, [&] { return stored_count() == 0; }));
    CHECK_EQUAL(400, call(peers, {"DELETE", "/fleet/quarantine/m"}).status);
}
