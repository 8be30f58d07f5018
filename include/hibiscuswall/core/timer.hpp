#pragma once
// Asio timer on the project's clock: takes the time points of decisions as they are.
//
//   auto timer = clock_timer{io, deadline};
//   co_await timer.async_wait(boost::asio::use_awaitable);

#include "hibiscuswall/core/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace hibiscuswall {

using clock_timer = boost::asio::basic_waitable_timer<clock>;

} // namespace hibiscuswall
