#pragma once
// Wire form of one exchange between two processes: CBOR arrays, POST /exchange on the control listener.
//
//   auto body = encode(message);
//   auto message = decode_exchange(body);      // nothing when malformed, too large or of another version
//
// Shape: [1, sender, addressee, config revision, confirmed age in ms, digest, [member, ...]]; sender,
// addressee and age may be null. Addressee: [name, incarnation, state].
// Member: [name, role, "ip:port", region, failure domain, service, incarnation, state, config revision]

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/membership/member.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

// Larger bodies are refused unread. The parser takes a stack frame for each level of nesting.
constexpr auto exchange_bytes_limit = std::size_t{8 * 1024};

// What the sender of a request holds about the process that it asks.
struct addressee {
    std::string name;                         // the process at this address, as far as the sender knows
    std::uint64_t incarnation = 0;            // as known to the sender
    member_state state = member_state::alive; // as known to the sender
};

struct exchange_message {
    std::optional<member> from;                // sender; absent in an answer when the request knew it already
    std::optional<addressee> to;               // requests only
    std::uint64_t config_revision = 0;         // of the sender
    std::optional<milliseconds> confirmed_age; // of its revision; absent when it confirms nothing
    std::uint64_t digest = 0;                  // member_table::digest() of the sender with itself
    std::vector<member> members;               // news, and a few in rotation when the digests differed
};

// Leaves out members from the end when the text would exceed exchange_bytes_limit.
[[nodiscard]] auto encode(exchange_message message) -> std::string;

[[nodiscard]] auto decode_exchange(std::string_view body) -> std::optional<exchange_message>;

} // namespace hibiscuswall
