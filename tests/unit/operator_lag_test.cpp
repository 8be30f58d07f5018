// Tests how long a process counts as being behind the changes that it has heard of.
#include "hibiscuswall/fleet/operator_lag.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(operator_lag)
{
    operator_lag lag;
    time_point start = clock::now();

    auto at(int ms) const->time_point { return start + milliseconds{ms}; }
    auto behind_ms(int ms) const->long long
    {
        return std::chrono::duration_cast<milliseconds>(lag.behind_for(at(ms))).count();
    }
};

TEST(operator_lag, a_process_that_has_all_it_heard_of_is_not_behind)
{
    lag.on_heard(7, at(0));
    CHECK(lag.on_known(7, at(0)).has_value());
    LONGS_EQUAL(0, behind_ms(500));
    lag.on_heard(6, at(600)); // a process that is behind itself
    LONGS_EQUAL(0, behind_ms(900));
}

// Guards against an age that starts anew with each change, so that a process seems current while every change
// is late.
TEST(operator_lag, the_oldest_change_that_is_lacking_counts)
{
    lag.on_heard(7, at(0));
    lag.on_heard(8, at(400));
    LONGS_EQUAL(1'000, behind_ms(1'000));
    CHECK_FALSE(lag.on_known(7, at(1'100)).has_value());
    LONGS_EQUAL(700, behind_ms(1'100));
    auto const was_behind = lag.on_known(8, at(1'200));
    CHECK(was_behind == clock::duration{milliseconds{1'200}});
    LONGS_EQUAL(0, behind_ms(1'300));
}

// Guards against memory that grows while a process gets nothing.
TEST(operator_lag, many_changes_are_counted_from_the_first)
{
    for (auto i = 1; i <= 10'000; ++i)
        lag.on_heard(static_cast<std::uint64_t>(i), at(i));
    LONGS_EQUAL(9'999, behind_ms(10'000));
    UNSIGNED_LONGS_EQUAL(10'000, lag.newest());
    CHECK_FALSE(lag.on_known(9'999, at(10'001)).has_value());
    CHECK(lag.on_known(10'000, at(10'002)).has_value());
}
