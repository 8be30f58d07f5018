// Tests which peers are asked for a change that load reports tell of.
#include "hibiscuswall/fleet/informed_peers.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(informed_peers)
{
    informed_peers peers;
    time_point start = clock::now();

    static auto entry(int number)->address { return {"10.0.0." + std::to_string(number), 7000}; }
    auto at(int ms) const->time_point { return start + milliseconds{ms}; }
    auto newer_than(std::uint64_t revision, int ms) const->std::string
    {
        auto list = std::string{};
        for (auto const& peer : peers.newer_than(revision, at(ms)))
            list += (list.empty() ? "" : " ") + peer.ip.substr(peer.ip.rfind('.') + 1);
        return list;
    }
};

// Guards against a process that knows only one peer to ask, which may just have fallen silent.
TEST(informed_peers, each_that_a_report_named_is_kept)
{
    peers.on_reported(entry(1), 8, false, at(0));
    peers.on_reported(entry(2), 9, false, at(10));
    peers.on_reported(entry(3), 9, true, at(20));
    STRCMP_EQUAL("3 2 1", newer_than(7, 100).c_str());
    STRCMP_EQUAL("3 2", newer_than(8, 100).c_str());
    STRCMP_EQUAL("", newer_than(9, 100).c_str());
    UNSIGNED_LONGS_EQUAL(9, peers.newest());
}

TEST(informed_peers, one_that_is_no_longer_named_is_forgotten)
{
    peers.on_reported(entry(1), 9, true, at(0));
    peers.on_reported(entry(2), 9, false, at(3'000));
    STRCMP_EQUAL("2", newer_than(7, 3'600).c_str());
    UNSIGNED_LONGS_EQUAL(9, peers.newest());
}

// Guards against memory that grows with the number of entries.
TEST(informed_peers, a_few_of_many_are_kept)
{
    for (auto i = 1; i <= 200; ++i)
        peers.on_reported(entry(i), 9, false, at(i));
    UNSIGNED_LONGS_EQUAL(16, peers.newer_than(7, at(200)).size());
}
