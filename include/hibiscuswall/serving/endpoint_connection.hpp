#pragma once
// Connections from an entry to endpoints, one call at a time on each, kept for the next call.
//
//   auto opened = co_await pool.open(endpoint, {.fresh = false, .timeout = milliseconds{300}});
//   auto sent = co_await link->send(request_text, deadline);
//   while (...) { auto got = co_await link->receive(deadline); parser.feed(got.value()); }
//   pool.give_back(endpoint, std::move(link), idle_time);     // only after a whole answer without excess
//
// Connections are kept by the endpoint's id, not by its address: an address may be given to another endpoint.

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

// Why no bytes came.
enum class link_end {
    closed, // in order
    reset,  // or any other failure
    late,   // the deadline passed
};

class endpoint_link {
public:
    endpoint_link(asio::io_context& io, bool reused) : stream_{io}, reused_{reused} {}

    auto connect(address const& where, milliseconds timeout) -> asio::awaitable<bool>;
    auto send(std::string const& bytes, time_point deadline) -> asio::awaitable<bool>;

    // The next bytes, empty when the connection ended: end() tells why.
    auto receive(time_point deadline) -> asio::awaitable<std::string_view>;
    [[nodiscard]] auto end() const -> link_end { return end_; }

    // Ends the call at the endpoint; pending operations fail.
    auto close() -> void;

    [[nodiscard]] auto is_reused() const -> bool { return reused_; }
    [[nodiscard]] auto is_usable() -> bool; // open, and nothing arrived since its last answer

private:
    friend class endpoint_pool;

    boost::beast::tcp_stream stream_;
    std::vector<char> buffer_;
    link_end end_ = link_end::closed;
    time_point usable_until_; // while it is kept
    bool reused_ = false;
};

using link_ptr = std::shared_ptr<endpoint_link>;

class endpoint_pool {
public:
    explicit endpoint_pool(asio::io_context& io) : io_{io} {}

    // A kept connection; null when there is none.
    auto take(std::string const& id, time_point now) -> link_ptr;

    // Null when the endpoint did not accept in time.
    auto connect(address const& where, milliseconds timeout) -> asio::awaitable<link_ptr>;

    auto give_back(std::string const& id, link_ptr link, milliseconds idle_time, time_point now) -> void;

    // Closes what was kept too long or ended; now and then.
    auto sweep(time_point now) -> void;

    [[nodiscard]] auto connections_made() const -> std::uint64_t { return made_; }

private:
    asio::io_context& io_;
    std::map<std::string, std::vector<link_ptr>, std::less<>> idle_;
    std::uint64_t made_ = 0;
};

} // namespace hibiscuswall
