// Tests of an agent's weights controller with a real client beside an engine, an origin and a peer: what the
// engine is ordered to load is what was declared, and was compared shortly before.
#include "support/weights_fleet.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(engine_weights)
{
    weights_fleet fleet;

    // Whether the engine has staged all chunks of the version.
    auto has_staged(std::uint64_t version)->bool
    {
        for (auto i = std::size_t{0}; i < fleet_chunks; ++i)
            if (fleet.engine.staged[i] != fleet_chunk(version, i)) return false;
        return true;
    }
};

TEST(engine_weights, a_declared_version_is_fetched_staged_compared_and_loaded)
{
    fleet.start();
    fleet.declare(2);
    CHECK(fleet.run_until([&] { return fleet.engine.loaded == 2; }));
    CHECK(fleet.engine.bad_loads.empty());
}

// A process that stands still between its comparison of the staged chunks and its order. Guards against an
// order that relies on a comparison from before the pause, although a chunk has turned bad meanwhile.
TEST(engine_weights, an_order_is_not_sent_after_a_pause_that_followed_its_comparison)
{
    constexpr auto pause = milliseconds{3'400};
    auto paused = false;
    fleet.engine.after_stage_read = [&](std::size_t chunk) {
        if (paused || chunk != fleet_chunks / 2 || !has_staged(2)) return;
        paused = true;
        fleet.engine.turn_bad(1);
        std::this_thread::sleep_for(pause);
    };
    fleet.start();
    fleet.declare(2);
    CHECK(fleet.run_until([&] { return fleet.engine.loaded == 2; }, milliseconds{12'000}));
    CHECK(paused);
    CHECK(fleet.engine.bad_loads.empty());
    CHECK(has_staged(2));
    CHECK(fleet.metrics_registry.value("weights_orders_withheld") > 0);
}
