#pragma once
// "ip:port" of a process. Names are never looked up: an address that is not an IP number is refused.
//
//   auto parsed = parse_address("127.0.0.1:8080");

#include "hibiscuswall/core/result.hpp"

#include <string>
#include <string_view>
#include <tuple>

namespace hibiscuswall {

struct address {
    std::string ip;          // IPv4 or IPv6 number, without brackets
    unsigned short port = 0; // 1..65535

    [[nodiscard]] auto text() const -> std::string;
    [[nodiscard]] auto empty() const -> bool { return port == 0; }
    friend auto operator==(address const&, address const&) -> bool = default;
    friend auto operator<(address const& left, address const& right) -> bool
    {
        return std::tie(left.ip, left.port) < std::tie(right.ip, right.port);
    }
};

// settings_invalid when the text is no "ip:port".
[[nodiscard]] auto parse_address(std::string_view text) -> result<address>;

} // namespace hibiscuswall
