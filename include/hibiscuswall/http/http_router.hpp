#pragma once
// Maps method and path prefix to handlers; the longest prefix wins.
//
//   auto routes = http_router{};
//   routes.add("GET", "/healthz", [](http_request const&, http_responder& out) -> asio::awaitable<void> {
//       co_await out.send({200, {}, "ok\n"});
//   });
//   routes.add("*", "/v1/services/", handler);      // any method, any path below

#include "hibiscuswall/http/http_message.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

namespace asio = boost::asio;

// How far an answer got.
enum class answer_progress {
    none,     // no byte of it was written
    begun,    // a part was written
    complete, // all of it was written, with its length or end marker
};

// Where a handler puts its answer: either one send(), or start(), write()..., finish() for a streamed body.
// Every call gives false once the caller's connection is gone.
class http_responder {
public:
    http_responder() = default;
    http_responder(http_responder const&) = delete;
    auto operator=(http_responder const&) -> http_responder& = delete;
    virtual ~http_responder() = default;

    virtual auto send(http_response response) -> asio::awaitable<bool> = 0;
    virtual auto start(int status, http_headers headers) -> asio::awaitable<bool> = 0; // chunked body follows
    virtual auto write(std::string_view piece) -> asio::awaitable<bool> = 0;
    virtual auto finish() -> asio::awaitable<bool> = 0; // end marker

    // Closes the connection without an end marker, so that the receiver sees a cut answer.
    virtual auto abort() -> void = 0;

    // Called once, on the network thread, when the caller closes the connection while the handler runs.
    virtual auto on_disconnect(std::function<void()> callback) -> void = 0;
    [[nodiscard]] virtual auto disconnected() const -> bool = 0;

    // For the log: how far the answer got, and why it got no further.
    [[nodiscard]] virtual auto progress() const -> answer_progress = 0;
    [[nodiscard]] virtual auto failure() const -> std::string = 0; // empty while nothing failed
};

using http_handler = std::function<asio::awaitable<void>(http_request const&, http_responder&)>;

class http_router {
public:
    // A prefix that ends in '/' matches every path below it, any other only itself. Method "*" matches all.
    auto add(std::string_view method, std::string_view prefix, http_handler handler) -> void;

    // Null when nothing matches.
    [[nodiscard]] auto match(std::string_view method, std::string_view path) const -> http_handler const*;

private:
    struct route {
        std::string method;
        std::string prefix;
        http_handler handler;
    };
    std::vector<route> routes_; // longest prefix first
};

} // namespace hibiscuswall
