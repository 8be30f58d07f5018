#pragma once
// Wire format of an exchange between two processes: CBOR arrays in POST /exchange on the control listener.
//
//   auto body = encode(message);
//   auto message = decode_exchange(body);  // nothing when malformed, too large or of another wire version
//
// Listed members and recipients with an unknown state or a wrong number of fields, listed members without a
// name or a valid address, and ages above the limit are left out.
//
// A message is [1, sender, recipient, config revision, confirmed age in ms, digest, [member, ...]], where
// sender, recipient and age may be null. A recipient is [name, incarnation, state]. A member is [name, role,
// "ip:port", region, failure domain, service, incarnation, state, config revision].

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/membership/member.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

// Larger bodies are rejected before parsing, because the parser uses a stack frame for each level of nesting.
constexpr auto max_exchange_bytes = std::size_t{8 * 1024};

// What the sender of a request knows of the process that receives it.
struct recipient_view {
    std::string name;                         // name of the process at this address
    std::uint64_t incarnation = 0;            // latest incarnation known to the sender
    member_state state = member_state::alive; // state known to the sender
};

struct exchange_message {
    // The sender; absent in a response when the request described the responder correctly.
    std::optional<member> from;
    std::optional<recipient_view> to;          // the recipient; present in requests only
    std::uint64_t config_revision = 0;         // configuration revision of the sender
    std::optional<milliseconds> confirmed_age; // time since that revision was confirmed; absent: unconfirmed
    std::uint64_t digest = 0;                  // member_table::digest() of the sender, which includes itself
    std::vector<member> members; // updates, and some members in rotation when the digests differ
};

// Drops members from the end while the encoded message exceeds max_exchange_bytes.
[[nodiscard]] auto encode(exchange_message message) -> std::string;

[[nodiscard]] auto decode_exchange(std::string_view body) -> std::optional<exchange_message>;

} // namespace hibiscuswall
