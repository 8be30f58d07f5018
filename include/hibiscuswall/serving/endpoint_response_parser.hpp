#pragma once
// Incremental HTTP/1.1 parser for endpoint responses. Input may be split anywhere. No network.
//
//   auto parser = endpoint_response_parser{is_head_request};
//   parser.feed(bytes);
//   if (parser.has_head()) use(parser.status(), parser.headers());
//   body += parser.take_body();
//   if (parser.state() == response_state::complete) ...   // excess_bytes(): bytes that belong to no request
//   parser.end_of_input(clean);                           // the connection was closed (clean) or reset
//
// Bytes that never complete a header, a chunk header or a trailer make the response invalid after 64 KB, and
// so do more than eight interim responses. Interim responses (1xx) are skipped. A response without a length
// ends with its connection: it is complete only if the connection was closed cleanly.

#include "hibiscuswall/http/http_message.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hibiscuswall {

enum class response_state {
    head,     // reading the header
    body,     // reading the body
    complete, // header and body have arrived
    invalid,  // truncated, or not valid HTTP
};

class endpoint_response_parser {
public:
    explicit endpoint_response_parser(bool is_head_request);
    ~endpoint_response_parser();
    endpoint_response_parser(endpoint_response_parser&&) noexcept;
    auto operator=(endpoint_response_parser&&) noexcept -> endpoint_response_parser&;
    endpoint_response_parser(endpoint_response_parser const&) = delete;
    auto operator=(endpoint_response_parser const&) -> endpoint_response_parser& = delete;

    auto feed(std::string_view bytes) -> void;
    auto end_of_input(bool clean) -> void;

    // Starts parsing the next response on the same connection, beginning with the unread bytes.
    auto restart() -> void;

    [[nodiscard]] auto state() const -> response_state;
    [[nodiscard]] auto has_head() const -> bool;
    [[nodiscard]] auto status() const -> int;
    [[nodiscard]] auto headers() const -> http_headers const&;

    // Body bytes received since the last call, without chunk framing.
    [[nodiscard]] auto take_body() -> std::string;

    // Size of the body so far, without what take_body() has returned.
    [[nodiscard]] auto body_size() const -> std::size_t;

    // Number of bytes received after a complete response.
    [[nodiscard]] auto excess_bytes() const -> std::size_t;

    // Whether the connection can carry another request after a complete response.
    [[nodiscard]] auto allows_reuse() const -> bool;

    // Whether the body has neither a length nor chunks, so that it ends with the connection.
    [[nodiscard]] auto ends_with_connection() const -> bool;

    // Whether any byte of a response has arrived.
    [[nodiscard]] auto has_received_bytes() const -> bool;

private:
    class message;
    auto begin_message() -> void;
    auto advance() -> void;

    std::unique_ptr<message> message_;
    std::string pending_; // received but not parsed yet
    response_state state_ = response_state::head;
    bool is_head_request_ = false;
    bool begun_ = false;
    int interim_responses_ = 0;
};

} // namespace hibiscuswall
