#include "hibiscuswall/core/sleep.hpp"

#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {

auto sleep_for(milliseconds duration) -> boost::asio::awaitable<void>
{
    auto timer = clock_timer{co_await boost::asio::this_coro::executor, duration};
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace hibiscuswall
