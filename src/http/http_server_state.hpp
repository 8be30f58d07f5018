#pragma once
// State of an http_server, which its coroutines keep alive: they may outlive the server.

#include "hibiscuswall/http/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <set>

namespace hibiscuswall {

struct http_server::state : std::enable_shared_from_this<state> {
    asio::io_context& io;
    http_router const& routes;
    timeline* events = nullptr;
    http_server_limits limits;
    asio::ip::tcp::acceptor acceptor;
    bool stopping = false;
    bool closing = false; // connections end with their next answer
    std::size_t connections = 0;
    std::size_t active = 0;
    std::set<boost::beast::tcp_stream*> idle; // kept-alive connections without a request

    state(asio::io_context& context, http_router const& table, timeline* line, http_server_limits bounds)
        : io{context}, routes{table}, events{line}, limits{bounds}, acceptor{context}
    {
    }

    auto accept_loop() -> asio::awaitable<void>;
    auto serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>;
    auto serve_requests(boost::beast::tcp_stream& stream) -> asio::awaitable<void>;
    auto handle(http_request const& request, http_responder& out) -> asio::awaitable<void>;
};

} // namespace hibiscuswall
