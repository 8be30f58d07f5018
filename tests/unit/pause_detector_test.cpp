// When something that is received now may have arrived, after pauses of this process.
#include "hibiscuswall/core/pause_detector.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(pause_detector)
{
    time_point start{seconds{1'000}};
    pause_detector pauses;

    void setup() override
    {
        for (auto i = 0; i <= 10; ++i)
            pauses.tick(start + i * pause_detector::tick_interval);
    }
};

TEST(pause_detector, what_arrives_while_the_process_runs_is_as_old_as_its_receipt)
{
    CHECK(pauses.arrived_since(start + milliseconds{1'050}) == start + milliseconds{1'050});
    CHECK(pauses.tick(start + milliseconds{1'300}) == clock::duration{0}); // late, but no pause
    CHECK(pauses.arrived_since(start + milliseconds{1'300}) == start + milliseconds{1'300});
}

// Guards against a message that waited in the socket during a pause and is taken for new, whether it or the
// tick is handled first.
TEST(pause_detector, what_is_received_right_after_a_pause_may_have_arrived_since_its_begin)
{
    auto const begun = start + milliseconds{1'000};
    auto const ended = begun + seconds{4};
    CHECK(pauses.arrived_since(ended) == begun);
    CHECK(pauses.tick(ended) == seconds{4});
    CHECK(pauses.arrived_since(ended + milliseconds{20}) == begun);
    auto const later = ended + milliseconds{1'500};
    for (auto now = ended; now <= later; now += pause_detector::tick_interval)
        pauses.tick(now);
    CHECK(pauses.arrived_since(later) == later);
}

TEST(pause_detector, pauses_that_follow_closely_count_as_one)
{
    auto const begun = start + milliseconds{1'000};
    pauses.tick(begun + seconds{2});
    pauses.tick(begun + milliseconds{2'100});
    CHECK(pauses.arrived_since(begun + seconds{4}) == begun);
    pauses.tick(begun + seconds{4});
    CHECK(pauses.arrived_since(begun + milliseconds{4'050}) == begun);
}
