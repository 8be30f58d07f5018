#pragma once
// Runs a coroutine on an io_context until it is done and gives its value.
//
//   auto answer = run_coroutine(io, client.fetch(where, request));

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

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

} // namespace hibiscuswall
