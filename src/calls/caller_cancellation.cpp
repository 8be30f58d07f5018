#include "caller_cancellation.hpp"

#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {
namespace {

using opened_stream = result<std::unique_ptr<http_stream>>;

struct pending_open {
    explicit pending_open(asio::any_io_executor const& executor) : done{executor} {}

    std::optional<opened_stream> value;
    clock_timer done; // Cancelled when open() has ended.
    bool ended = false;
};

auto run_open(std::shared_ptr<pending_open> pending, http_client& client, address where, http_request request,
              http_call_options options) -> asio::awaitable<void>
{
    auto opened = co_await client.open(where, std::move(request), options);
    pending->value.emplace(std::move(opened));
}

} // namespace

auto open_cancellable(http_client& client, address where, http_request request, http_call_options options,
                      caller_cancellation_ptr cancellation)
    -> asio::awaitable<result<std::unique_ptr<http_stream>>>
{
    auto executor = co_await asio::this_coro::executor;
    auto pending = std::make_shared<pending_open>(executor);
    pending->done.expires_at(time_point::max());
    // NOLINTNEXTLINE(performance-unnecessary-value-param): co_spawn hands the exception over by value.
    auto finished = [pending](std::exception_ptr /*cancelled*/) {
        pending->ended = true;
        pending->done.cancel();
    };
    asio::co_spawn(executor, run_open(pending, client, std::move(where), std::move(request), options),
                   asio::bind_cancellation_slot(cancellation->open_cancellation.slot(), std::move(finished)));
    while (!pending->ended)
        co_await pending->done.async_wait(asio::as_tuple(asio::use_awaitable));
    cancellation->open_cancellation.slot().clear();
    if (!pending->value)
        co_return fail(result_code::cancelled, "the caller disconnected before the response began");
    co_return std::move(*pending->value);
}

} // namespace hibiscuswall
