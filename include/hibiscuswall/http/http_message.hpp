#pragma once
// Plain HTTP message structs; the wire format stays inside http_server.cpp and http_client.cpp (Boost.Beast).
//
//   auto request = http_request{"POST", "/v1/orders", {}, body};
//   request.headers.set("Content-Type", "application/json");

#include "hibiscuswall/core/time.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscuswall {

struct http_header {
    std::string name;  // matched without case
    std::string value; // as sent
};

class http_headers {
public:
    // Value of the first header with this name; empty when there is none.
    [[nodiscard]] auto find(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto contains(std::string_view name) const -> bool;

    // Number in the header; fallback when absent or not a number.
    [[nodiscard]] auto number(std::string_view name, long long fallback) const -> long long;

    auto set(std::string_view name, std::string_view value) -> void; // replaces
    auto add(std::string_view name, std::string_view value) -> void; // beside those of the same name
    auto set(std::string_view name, long long value) -> void
    {
        set(name, std::string_view{std::to_string(value)});
    }

    [[nodiscard]] auto all() const -> std::vector<http_header> const& { return list_; }

private:
    std::vector<http_header> list_;
};

// The constructors are needed: GCC 12 destroys an aggregate temporary inside a co_await expression twice.
struct http_request {
    std::string method = "GET"; // upper case
    std::string target = "/";   // path with query
    http_headers headers;       // Host, Content-Length and Connection are set by the transport
    std::string body;           // whole body
    time_point received;        // first bytes reached this machine; set by the server only

    http_request() = default;
    http_request(std::string verb, std::string where, http_headers fields = {}, std::string content = {})
        : method{std::move(verb)}, target{std::move(where)}, headers{std::move(fields)}, body{std::move(
                                                                                             content)}
    {
    }

    [[nodiscard]] auto path() const -> std::string_view;                 // target without query
    [[nodiscard]] auto query(std::string_view key) const -> std::string; // percent-decoded; empty when absent
    [[nodiscard]] auto has_query(std::string_view key) const -> bool;
};

struct http_response {
    int status = 200;     // HTTP status
    http_headers headers; // Content-Length is set by the transport
    std::string body;     // whole body
    time_point begun_at;  // set by http_client::fetch(): when the header was received

    http_response() = default;
    http_response(int code, http_headers fields, std::string content)
        : status{code}, headers{std::move(fields)}, body{std::move(content)}
    {
    }
};

// Whether HTTP defines a class for the status; any other is no answer.
[[nodiscard]] constexpr auto is_valid_status(int status) -> bool { return status >= 100 && status <= 599; }

// Answer with a JSON text.
[[nodiscard]] auto json_response(int status, std::string body) -> http_response;

// Percent-encodes everything but unreserved characters and '/'.
[[nodiscard]] auto percent_encode(std::string_view text) -> std::string;
[[nodiscard]] auto percent_decode(std::string_view text) -> std::string;

} // namespace hibiscuswall
