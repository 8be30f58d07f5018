#pragma once
// Cancels the forwarded request of an idempotent call when its caller disconnects.
//
//   auto opened = co_await open_cancellable(client, where, request, options, cancellation);
//   cancellation->open_stream = opened.value().get();     // from here on, on_disconnect() closes the stream

#include "hibiscuswall/http/http_client.hpp"

#include <boost/asio/cancellation_signal.hpp>

#include <memory>

namespace hibiscuswall {

struct caller_cancellation {
    bool disconnected = false;                   // The caller closed its connection.
    http_stream* active_stream = nullptr;        // Stream being read; null: none.
    asio::cancellation_signal open_cancellation; // Cancels an open() that waits for the header.

    auto on_disconnect() -> void
    {
        disconnected = true;
        if (active_stream != nullptr)
            active_stream->cancel();
        else
            open_cancellation.emit(asio::cancellation_type::terminal);
    }
};

using caller_cancellation_ptr = std::shared_ptr<caller_cancellation>;

// Like http_client::open(), but fails with cancelled as soon as the caller disconnects.
auto open_cancellable(http_client& client, address where, http_request request, http_call_options options,
                      caller_cancellation_ptr cancellation)
    -> asio::awaitable<result<std::unique_ptr<http_stream>>>;

} // namespace hibiscuswall
