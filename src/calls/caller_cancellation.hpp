#pragma once
// Ends the forwarded request of an idempotent call when its caller disconnects.
//
//   auto opened = co_await open_watched(client, where, request, options, watch);
//   watch->open = opened.value().get();          // from here on the callback closes the stream

#include "hibiscuswall/http/http_client.hpp"

#include <boost/asio/cancellation_signal.hpp>

#include <memory>

namespace hibiscuswall {

struct caller_watch {
    bool gone = false;              // the caller closed its connection
    http_stream* open = nullptr;    // stream being read
    asio::cancellation_signal stop; // ends an open() that waits for its header

    auto on_gone() -> void
    {
        gone = true;
        if (open != nullptr)
            open->cancel();
        else
            stop.emit(asio::cancellation_type::terminal);
    }
};

using caller_watch_ptr = std::shared_ptr<caller_watch>;

// As http_client::open(), but fails at once when the caller disconnects.
auto open_watched(http_client& client, address where, http_request request, http_call_options options,
                  caller_watch_ptr watch) -> asio::awaitable<result<std::unique_ptr<http_stream>>>;

} // namespace hibiscuswall
