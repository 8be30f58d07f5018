#pragma once
// Hedged calls: the same question to several parties, or twice to one, each a while after the one before it.
// The first answer counts. A party that is silent then costs that while, not its whole timeout.
//
//   auto const ask = [&](std::size_t i) { return fetch_from(peers[i]); };    // a coroutine for each attempt
//   auto answer = co_await hedged<snapshot>(peers.size(), {.delay = milliseconds{300}}, ask);
//   // errors: that of the last attempt that failed, once all that were begun have failed
//
// Attempts that are still under way when the answer is there go on until they end by themselves; what they
// bring is dropped. So an attempt must not refer to anything of the coroutine that awaits the answer.

#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace hibiscuswall {

namespace asio = boost::asio;

enum class after_failure {
    next_at_once, // the attempt that follows a failed one begins without delay
    no_more,      // none begins after one has failed; those under way are awaited
};

struct hedge_options {
    milliseconds delay{0}; // between the beginnings of two attempts
    after_failure failure = after_failure::next_at_once;
};

template<class T>
using hedge_attempt = std::function<asio::awaitable<result<T>>(std::size_t index)>;

namespace detail {

template<class T>
struct hedge_state {
    hedge_state(asio::any_io_executor const& executor, hedge_attempt<T> call)
        : changed{executor}, attempt{std::move(call)}
    {
    }

    clock_timer changed; // cancelled when an attempt ends
    hedge_attempt<T> attempt;
    std::optional<T> answer;
    error latest = fail(result_code::internal_error, "no attempt was made"); // failure
    std::size_t running = 0;
    std::size_t failed = 0;
};

template<class T>
auto run_attempt(std::shared_ptr<hedge_state<T>> state, std::size_t index) -> asio::awaitable<void>
{
    auto outcome = result<T>{fail(result_code::internal_error, "an attempt ended without a result")};
    try {
        outcome = co_await state->attempt(index);
    } catch (std::exception const& problem) {
        outcome = fail(result_code::internal_error, problem.what());
    }
    --state->running;
    if (!outcome) {
        ++state->failed;
        state->latest = outcome.error();
    } else if (!state->answer) {
        state->answer.emplace(std::move(outcome).value());
    }
    state->changed.cancel();
}

// Waits until an attempt has ended, or the time has come.
template<class T>
auto await_change(hedge_state<T>& state, time_point latest) -> asio::awaitable<void>
{
    state.changed.expires_at(latest);
    co_await state.changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace detail

template<class T>
auto hedged(std::size_t count, hedge_options options, hedge_attempt<T> attempt) -> asio::awaitable<result<T>>
{
    auto const executor = co_await asio::this_coro::executor;
    auto const state = std::make_shared<detail::hedge_state<T>>(executor, std::move(attempt));
    for (auto index = std::size_t{0}; index < count && !state->answer; ++index) {
        if (state->failed > 0 && options.failure == after_failure::no_more) break;
        auto const failed_before = state->failed;
        auto const next_at = clock::now() + options.delay;
        ++state->running;
        asio::co_spawn(executor, detail::run_attempt(state, index), asio::detached);
        while (!state->answer && state->failed == failed_before && clock::now() < next_at)
            co_await detail::await_change(*state, next_at);
    }
    while (!state->answer && state->running > 0)
        co_await detail::await_change(*state, time_point::max());
    if (!state->answer) co_return state->latest;
    co_return std::move(*state->answer);
}

} // namespace hibiscuswall
