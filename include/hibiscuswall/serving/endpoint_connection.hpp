#pragma once
// Pooled HTTP connections from an entry to endpoints. A connection carries one call at a time.
//
//   auto opened = co_await pool.open(endpoint, {.fresh = false, .timeout = milliseconds{300}});
//   auto sent = co_await connection->send(request_text, deadline);
//   while (...) { auto got = co_await connection->receive(deadline); parser.feed(got.value()); }
//   pool.put_back(endpoint, std::move(connection), idle_timeout); // after a complete response without excess
//
// Idle connections are keyed by the endpoint's id, not by its address: an address may be reassigned to
// another endpoint.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

namespace asio = boost::asio;

// Why receive() returned no bytes.
enum class connection_end {
    closed,      // closed cleanly by the endpoint
    reset,       // reset, or any other failure
    timed_out,   // the deadline passed
    interrupted, // by interrupt(): the connection goes on
};

class endpoint_connection {
public:
    endpoint_connection(asio::io_context& io, bool reused) : stream_{io}, reused_{reused} {}

    auto connect(address const& where, milliseconds timeout) -> asio::awaitable<boost::system::error_code>;

    // False if not all of it was written. The endpoint may have responded all the same, before it closed or
    // reset the connection.
    auto send(std::string const& bytes, time_point deadline) -> asio::awaitable<bool>;

    // Returns the next bytes, or an empty view if the connection ended; end() gives the reason.
    auto receive(time_point deadline) -> asio::awaitable<std::string_view>;
    [[nodiscard]] auto end() const -> connection_end { return end_; }

    // Makes a receive() that waits return no bytes. Nothing is lost: the next one continues.
    auto interrupt() -> void;

    // Closes the socket, which makes the endpoint cancel the call. Pending operations fail.
    auto close() -> void;

    [[nodiscard]] auto is_open() const -> bool; // false once this process has closed it, also on a timeout
    [[nodiscard]] auto is_reused() const -> bool { return reused_; }
    [[nodiscard]] auto is_usable() -> bool; // open, and no bytes received since its last response

private:
    friend class endpoint_pool;

    boost::beast::tcp_stream stream_;
    std::vector<char> buffer_;
    connection_end end_ = connection_end::closed;
    time_point idle_deadline_; // valid while the connection is in the pool
    bool reused_ = false;
    bool receiving_ = false; // receive() waits
    bool send_failed_ = false;
};

using endpoint_connection_ptr = std::shared_ptr<endpoint_connection>;

class endpoint_pool {
public:
    explicit endpoint_pool(asio::io_context& io) : io_{io} {}

    // Returns an idle connection, or null if there is none.
    auto take(std::string const& id, time_point now) -> endpoint_connection_ptr;

    // Returns null if the endpoint did not accept the connection within the timeout.
    auto connect(address const& where, milliseconds timeout) -> asio::awaitable<endpoint_connection_ptr>;

    // Whether nothing listens at the address: a connection is refused. False also if it takes longer than the
    // timeout. An accepted connection is kept for the endpoint's next call.
    auto refuses_connections(std::string const& id, address const& where, milliseconds timeout,
                             milliseconds idle_timeout) -> asio::awaitable<bool>;

    auto put_back(std::string const& id, endpoint_connection_ptr connection, milliseconds idle_timeout,
                  time_point now) -> void;

    // Closes idle connections that expired or were closed by the endpoint. Called periodically.
    auto close_expired(time_point now) -> void;

    [[nodiscard]] auto connections_made() const -> std::uint64_t { return made_; }

private:
    asio::io_context& io_;
    std::map<std::string, std::vector<endpoint_connection_ptr>, std::less<>> idle_;
    std::uint64_t made_ = 0;
};

} // namespace hibiscuswall
