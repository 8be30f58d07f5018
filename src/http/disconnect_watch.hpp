#pragma once
// Watches for the caller closing its connection while a handler runs.
//
//   auto watch = std::make_shared<disconnect_watch>(stream);
//   watch->callback = [] { cancel the work; };
//   watch->arm();
//   ...                                    // the handler
//   watch->finish();

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace hibiscuswall {

// A caller that shuts down its sending side is taken as gone, since HTTP callers that still want the answer
// keep it open.
struct disconnect_watch : std::enable_shared_from_this<disconnect_watch> {
    using tcp = boost::asio::ip::tcp;

    boost::beast::tcp_stream& stream;
    std::function<void()> callback; // called once, when the caller is gone
    bool gone = false;
    std::string end;       // how the caller's connection ended, once it is gone
    bool finished = false; // the handler has ended: the stream may no longer exist

    explicit disconnect_watch(boost::beast::tcp_stream& watched) : stream{watched} {}

    auto arm() -> void
    {
        stream.socket().async_wait(tcp::socket::wait_read,
                                   [self = shared_from_this()](boost::system::error_code code) {
                                       if (self->finished || code == boost::asio::error::operation_aborted)
                                           return;
                                       self->inspect();
                                   });
    }

    auto finish() -> void
    {
        finished = true;
        callback = nullptr;
    }

    auto inspect() -> void
    {
        auto byte = char{};
        auto code = boost::system::error_code{};
        auto const peek = tcp::socket::message_peek;
        auto const size = stream.socket().receive(boost::asio::buffer(&byte, 1), peek, code);
        if (!code && size > 0) return; // a pipelined request: nothing more can be learned by waiting
        if (code == boost::asio::error::would_block || code == boost::asio::error::try_again) return arm();
        gone = true;
        end = code ? "connection failed: " + code.message() : "closed its connection";
        if (callback) std::exchange(callback, nullptr)();
    }
};

} // namespace hibiscuswall
