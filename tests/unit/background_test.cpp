// Coroutines that run in the background: what happens when an exception leaves one.
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"

#include <boost/asio/io_context.hpp>

#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(background)
{
    metrics counters;
    asio::io_context io;
    int runs = 0;

    auto fails_twice()->asio::awaitable<void>
    {
        co_await sleep_for(milliseconds{1});
        if (++runs <= 2) throw std::runtime_error{"unexpected value"};
    }

    auto fails_with_a_number()->asio::awaitable<void>
    {
        co_await sleep_for(milliseconds{1});
        ++runs;
        throw 7;
    }
};

// Guards against a loop that stops for ever after one exception while the process looks alive.
TEST(background, a_loop_that_an_exception_leaves_is_started_again)
{
    start_loop(
        io.get_executor(), "watch", [this] { return fails_twice(); }, &counters);
    io.run();
    CHECK_EQUAL(3, runs);
    DOUBLES_EQUAL(2, counters.value("background_failures", {{"name", "watch"}}), 0);
}

TEST(background, a_task_is_not_repeated_and_its_failure_is_counted)
{
    start_task(io.get_executor(), "once", fails_with_a_number(), &counters);
    io.run();
    CHECK_EQUAL(1, runs);
    DOUBLES_EQUAL(1, counters.value("background_failures", {{"name", "once"}}), 0);
}
