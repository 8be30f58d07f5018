#pragma once
// Runs a coroutine on an io_context until it is done and gives its value.
//
//   auto answer = run_coroutine(io, client.fetch(where, request));
//   auto const in_time = run_until(io, [&] { return done; }, milliseconds{500});

#include "hibiscuswall/core/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <utility>

namespace hibiscuswall {

template<class T>
auto run_coroutine(boost::asio::io_context& io, boost::asio::awaitable<T> work) -> T
{
    // co_spawn with a future needs a default value, which result<T> has not.
    auto value = std::optional<T>{};
    auto const store = [&]() -> boost::asio::awaitable<void> { value.emplace(co_await std::move(work)); };
    boost::asio::co_spawn(io, store(), boost::asio::detached);
    io.restart();
    while (!value)
        io.run_one();
    return std::move(*value);
}

// Runs the io_context until the condition holds or the time is over; returns whether it holds.
inline auto run_until(boost::asio::io_context& io, std::function<bool()> const& condition, milliseconds bound)
    -> bool
{
    auto const end = clock::now() + bound;
    io.restart();
    while (!condition() && clock::now() < end)
        io.run_one_for(milliseconds{5});
    return condition();
}

} // namespace hibiscuswall
