// Tests that the silence of one party costs a short while, and what becomes of attempts that fail.
#include "hibiscuswall/core/hedged.hpp"
#include "hibiscuswall/core/sleep.hpp"

#include "support/run_coroutine.hpp"

#include <stdexcept>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

struct party {
    milliseconds after{0};
    std::string answer; // empty: it fails
};

auto ask(party one) -> asio::awaitable<result<std::string>>
{
    co_await sleep_for(one.after);
    if (one.answer.empty()) co_return fail(result_code::connection_lost, "no answer");
    co_return one.answer;
}

auto throws() -> asio::awaitable<result<std::string>>
{
    co_await sleep_for(milliseconds{1});
    throw std::runtime_error{"broken"};
}

} // namespace

TEST_GROUP(hedged)
{
    static constexpr auto delay = milliseconds{300};

    asio::io_context io;
    std::vector<std::size_t> asked;

    auto answer_of(std::vector<party> parties, after_failure policy = after_failure::next_at_once)
        ->result<std::string>
    {
        auto const attempt = [this, parties](std::size_t index) {
            asked.push_back(index);
            return ask(parties[index]);
        };
        return run_coroutine(io, hedged<std::string>(parties.size(), {delay, policy}, attempt));
    }
};

TEST(hedged, one_that_answers_in_time_is_the_only_one_asked)
{
    STRCMP_EQUAL("a", answer_of({{milliseconds{5}, "a"}, {milliseconds{0}, "b"}}).value().c_str());
    UNSIGNED_LONGS_EQUAL(1, asked.size());
}

// Guards against the whole timeout of a party that is silent.
TEST(hedged, the_next_is_asked_while_one_is_silent)
{
    auto const begun_at = clock::now();
    auto const answer = answer_of({{seconds{5}, "a"}, {seconds{5}, "b"}, {milliseconds{0}, "c"}});
    STRCMP_EQUAL("c", answer.value().c_str());
    CHECK(clock::now() - begun_at < seconds{3});
}

// Guards against an answer that is on its way being given up for a later one.
TEST(hedged, the_first_answer_counts_whoever_was_asked_first)
{
    auto const answer = answer_of({{milliseconds{450}, "a"}, {seconds{5}, "b"}});
    STRCMP_EQUAL("a", answer.value().c_str());
    UNSIGNED_LONGS_EQUAL(2, asked.size());
}

TEST(hedged, after_a_failure_the_next_is_asked_at_once_or_nobody)
{
    auto const begun_at = clock::now();
    STRCMP_EQUAL("b", answer_of({{milliseconds{0}, ""}, {milliseconds{0}, "b"}}).value().c_str());
    CHECK(clock::now() - begun_at < delay);
    asked.clear();
    auto const parties = std::vector<party>{{milliseconds{0}, ""}, {milliseconds{0}, "b"}};
    CHECK(answer_of(parties, after_failure::no_more).error().code == result_code::connection_lost);
    UNSIGNED_LONGS_EQUAL(1, asked.size());
}

TEST(hedged, it_fails_once_all_have_failed)
{
    CHECK_FALSE(answer_of({{milliseconds{450}, ""}, {milliseconds{600}, ""}}).has_value());
    UNSIGNED_LONGS_EQUAL(2, asked.size());
}

// Guards against a coroutine that waits for ever for an attempt that ended by an exception.
TEST(hedged, an_exception_is_a_failure_of_its_attempt)
{
    auto const attempt = [](std::size_t index) {
        return index == 0 ? throws() : ask({milliseconds{0}, "b"});
    };
    auto const answer = run_coroutine(io, hedged<std::string>(2, {delay}, attempt));
    STRCMP_EQUAL("b", answer.value().c_str());
}
