#pragma once
// Reads HTTP/1.1 answers of an endpoint from bytes that arrive in any pieces. No network.
//
//   auto parser = answer_parser{is_head_request};
//   parser.feed(bytes);
//   if (parser.has_head()) use(parser.status(), parser.headers());
//   body += parser.take_body();
//   if (parser.state() == answer_state::whole) ...        // excess(): bytes that belong to no request
//   parser.end_of_input(clean);                            // the connection closed, or was reset
//
// Interim answers (1xx) are passed over. An answer without a length ends with its connection: it is whole
// only if that was closed in order.

#include "hibiscuswall/http/http_message.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace hibiscuswall {

enum class answer_state {
    head,   // waits for the end of the header
    body,   // waits for the end of the body
    whole,  // complete
    broken, // cut, or no HTTP
};

class answer_parser {
public:
    explicit answer_parser(bool is_head_request);
    ~answer_parser();
    answer_parser(answer_parser&&) noexcept;
    auto operator=(answer_parser&&) noexcept -> answer_parser&;
    answer_parser(answer_parser const&) = delete;
    auto operator=(answer_parser const&) -> answer_parser& = delete;

    auto feed(std::string_view bytes) -> void;
    auto end_of_input(bool clean) -> void;

    // Starts the next answer on the same connection, with the bytes left over.
    auto restart() -> void;

    [[nodiscard]] auto state() const -> answer_state;
    [[nodiscard]] auto has_head() const -> bool;
    [[nodiscard]] auto status() const -> int;
    [[nodiscard]] auto headers() const -> http_headers const&;

    // Body bytes since the last call, without chunk framing.
    [[nodiscard]] auto take_body() -> std::string;

    // Bytes after a whole answer.
    [[nodiscard]] auto excess() const -> std::size_t;

    // Whether the connection can carry another request after a whole answer.
    [[nodiscard]] auto keeps_connection() const -> bool;

    // Whether any byte of an answer came.
    [[nodiscard]] auto has_begun() const -> bool;

private:
    class message;
    auto begin_message() -> void;
    auto advance() -> void;

    std::unique_ptr<message> message_;
    std::string pending_; // bytes not read yet
    answer_state state_ = answer_state::head;
    bool is_head_request_ = false;
    bool begun_ = false;
};

} // namespace hibiscuswall
