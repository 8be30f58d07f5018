#pragma once
// A bucket of claims of non-idempotent calls. It is stored as one JSON value in the key-value service, {key:
// claim}, and holds the claims of all accounts and idempotency keys that have the same hash prefix.
//
//   auto bucket = claim_bucket::parse(entry.value);        // no value: damaged, must not be overwritten
//   bucket->drop_expired(now_ms, lifetime);
//   bucket->set(key, new_claim);
//   if (!bucket->fit(limit_bytes)) reject();               // drops the oldest stored responses first

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

enum class claim_state {
    sent,     // Written before the call is sent; the named agent has to be asked for the outcome.
    answered, // The call ran; the response is stored unless it or the bucket was too large.
    released, // The call did not run; another call may claim the key.
    unknown,  // The call may have run and the named agent cannot tell; it is never run again.
};

struct claim_response {
    int status = 200;
    std::string content_type;
    std::string body;
};

struct claim {
    std::string call_id;           // Call id of the attempt that was sent.
    std::string host;              // Name of the agent that it was sent to.
    std::string where;             // "ip:port" of the agent.
    std::uint64_t incarnation = 0; // Incarnation of the agent.
    claim_state state = claim_state::sent;
    long long claimed_at_ms = 0; // Wall-clock time of the claim.
    std::string request_digest;  // SHA-256 of method, target and body.
    std::optional<claim_response> response;
};

class claim_bucket {
public:
    // An empty text gives an empty bucket, a text that is not a valid bucket no value.
    [[nodiscard]] static auto parse(std::string_view text) -> std::optional<claim_bucket>;
    [[nodiscard]] auto text() const -> std::string;

    [[nodiscard]] auto find(std::string_view key) const -> claim const*;
    auto set(std::string key, claim value) -> void;

    // Removes claims that are older than lifetime.
    auto drop_expired(long long now_ms, milliseconds lifetime) -> void;

    // Drops stored responses, oldest first, until the text has at most limit bytes. The claims themselves
    // stay. Returns false when that is not enough.
    auto fit(std::size_t limit) -> bool;

    [[nodiscard]] auto size() const -> std::size_t { return claims_.size(); }

private:
    std::map<std::string, claim, std::less<>> claims_; // By "account/idempotency key".
    mutable std::string text_;                         // Cached text of claims_; empty: not generated yet.
};

} // namespace hibiscuswall
