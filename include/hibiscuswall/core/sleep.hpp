#pragma once
// Waits inside a coroutine.
//
//   co_await sleep_for(milliseconds{200});

#include "hibiscuswall/core/time.hpp"

#include <boost/asio/awaitable.hpp>

namespace hibiscuswall {

auto sleep_for(milliseconds duration) -> boost::asio::awaitable<void>;

} // namespace hibiscuswall
