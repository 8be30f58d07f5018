// Rates of flows over shared links, in the models.
#include "models/flow_network.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall::models;

namespace {

constexpr auto one_second = 1.0;

} // namespace

TEST_GROUP(flow_network)
{
    flow_network network;

    // Bytes that the flow carries within a second.
    auto carried_by(flow_network::flow_id flow)->double
    {
        auto const before = network.remaining(flow);
        std::ignore = network.advance(one_second);
        return before - network.remaining(flow);
    }
};

// Guards against flows that carry more together than their link.
TEST(flow_network, flows_share_a_link_equally)
{
    auto const link = network.add_link(900);
    auto const first = network.open({link}, 10'000);
    network.open({link}, 10'000);
    network.open({link}, 10'000);
    DOUBLES_EQUAL(300, carried_by(first), 1e-6);
    DOUBLES_EQUAL(900, network.carried(link), 1e-6);
}

// Guards against a rate that a flow cannot use and that no other gets.
TEST(flow_network, what_a_flow_cannot_use_goes_to_the_others)
{
    auto const wide = network.add_link(900);
    auto const narrow = network.add_link(100);
    auto const held_up = network.open({wide, narrow}, 10'000);
    auto const other = network.open({wide}, 10'000);
    auto const before = network.remaining(other);
    DOUBLES_EQUAL(100, carried_by(held_up), 1e-6);
    CHECK(before - network.remaining(other) > 750);
    CHECK(network.carried(wide) <= 900 + 1e-6);
}

// Guards against a cut host whose flows take the place of others at their senders.
TEST(flow_network, a_flow_over_a_cut_link_stands_and_takes_no_share)
{
    auto const sender = network.add_link(900);
    auto const cut = network.add_link(0);
    auto const standing = network.open({sender, cut}, 10'000);
    auto const moving = network.open({sender}, 10'000);
    DOUBLES_EQUAL(900, carried_by(moving), 1e-6);
    DOUBLES_EQUAL(0, carried_by(standing), 1e-6);

    // The link is mended: both move.
    network.set_rate(cut, 900);
    DOUBLES_EQUAL(450, carried_by(standing), 1e-6);
}

TEST(flow_network, a_flow_ends_once_and_with_its_own_bytes)
{
    auto const link = network.add_link(900);
    auto const flow = network.open({link}, 450);
    auto const ended = network.advance(one_second);
    CHECK_EQUAL(1U, ended.size());
    CHECK_EQUAL(flow, ended.front());
    CHECK(network.advance(one_second).empty());
    DOUBLES_EQUAL(450, network.carried(link), 1e-6);
}
