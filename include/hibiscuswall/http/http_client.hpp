#pragma once
// HTTP/1.1 client on one io_context, with kept-alive connections by address.
//
//   auto answer = co_await client.fetch(where, request, {.timeout = milliseconds{500}});
//   if (!answer) ...  // connect_failed, deadline_exceeded: no byte was sent
//                     // others, such as connection_lost: it may have run
//
//   auto opened = co_await client.open(where, request, {});
//   while (true) {
//       auto piece = co_await opened.value()->read();
//       if (!piece) break;                  // cut: the end marker or length was not reached
//       if (!piece.value()) break;          // whole
//   }
//
// An answer without a length or chunked coding is refused as malformed, because a process that ends in the
// middle of it may close the connection as if it were whole. With http_call_options::may_end_with_connection
// it is whole if the connection is closed, and an error if it is reset; the caller must recognise a cut body
// by itself.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/http/http_message.hpp"
#include "hibiscuswall/observe/timeline.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

namespace asio = boost::asio;

struct http_call_options {
    milliseconds connect_timeout{1'000}; // TCP connection
    milliseconds timeout{5'000};         // whole answer for fetch(); header and each piece for open()
    std::size_t body_limit = 64U << 20U; // larger answers fail as response_malformed
    bool fresh_connection = false;       // for non-idempotent calls: a stale kept-alive connection would hide
                                         // whether the request was received
    bool keep_connection = true;         // for later calls; false: closed after the answer
    std::string_view purpose = "data";   // whose bytes these are, see traffic(); "data": requests and weights
    // The request is not written later than this: the call then fails as deadline_exceeded, and no byte was
    // sent. For requests whose basis expires, such as an order that follows from an observation.
    std::optional<time_point> send_by{};
    // For open(): the header of the answer has arrived by then, however long the connection took.
    std::optional<time_point> header_by{};
    bool may_end_with_connection = false; // accept a body without a length, for texts and chunks whose cut is
                                          // recognised by their syntax or digest
};

// Bytes of HTTP messages with headers, without TCP and IP headers.
struct http_traffic {
    std::size_t sent = 0;     // requests
    std::size_t received = 0; // answers
};

// An answer whose body is read piece by piece. Destroying it before the end closes the connection.
class http_stream {
public:
    http_stream() = default;
    http_stream(http_stream const&) = delete;
    auto operator=(http_stream const&) -> http_stream& = delete;
    virtual ~http_stream() = default;

    [[nodiscard]] virtual auto status() const -> int = 0;
    [[nodiscard]] virtual auto headers() const -> http_headers const& = 0;

    // Next piece of the body; no value at the whole end; an error when the answer was cut or late.
    virtual auto read() -> asio::awaitable<result<std::optional<std::string>>> = 0;

    // Reads the rest as one text.
    virtual auto read_all() -> asio::awaitable<result<std::string>> = 0;

    // Time for each further piece, in place of http_call_options::timeout.
    virtual auto set_read_timeout(milliseconds each) -> void = 0;

    // The rest of the answer arrives by then, in place of a time for each piece.
    virtual auto set_deadline(time_point latest) -> void = 0;

    // Closes the connection; a pending read() fails.
    virtual auto cancel() -> void = 0;
};

class http_client {
public:
    // events may be null; else its counter travels in the header Hw-Clock.
    http_client(asio::io_context& io, timeline* events);
    ~http_client();
    http_client(http_client const&) = delete;
    auto operator=(http_client const&) -> http_client& = delete;

    auto fetch(address const& where, http_request request, http_call_options options = {})
        -> asio::awaitable<result<http_response>>;

    auto open(address const& where, http_request request, http_call_options options = {})
        -> asio::awaitable<result<std::unique_ptr<http_stream>>>;

    // Source IP of connections made from now on; empty: the kernel chooses.
    auto connect_from(std::string ip) -> void;

    // Bytes since the start by http_call_options::purpose, for the cost of control. Purposes are literals and
    // names of rpc methods, so their number is bounded.
    using traffic_by_purpose = std::map<std::string, http_traffic, std::less<>>;
    [[nodiscard]] auto traffic() const -> traffic_by_purpose const&;

    // Kept-alive connections without a request.
    [[nodiscard]] auto idle_connections() const -> std::size_t;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace hibiscuswall
