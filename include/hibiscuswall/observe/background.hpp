#pragma once
// Starts coroutines that nobody awaits. An exception that leaves one is logged and counted; asio::detached
// would drop it silently, and the process would seem to work without, say, following the store.
//
//   start_loop(io.get_executor(), "store_watch", [this] { return watch(); }, &metrics_registry);
//   start_task(io.get_executor(), "cancel", cancel_at_endpoint(id), &metrics_registry);

#include "hibiscuswall/observe/metrics.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace hibiscuswall {

namespace asio = boost::asio;

// Runs the loop that `body` makes. If an exception leaves it, `body` makes it again after a pause; if it ends
// normally, it stays ended. `counters` may be null.
auto start_loop(asio::any_io_executor const& executor, std::string const& name,
                std::function<asio::awaitable<void>()> body, metrics* counters = nullptr) -> void;

// Runs a task once. It is not repeated after an exception.
auto start_task(asio::any_io_executor const& executor, std::string name, asio::awaitable<void> task,
                metrics* counters = nullptr) -> void;

} // namespace hibiscuswall
