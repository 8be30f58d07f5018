#pragma once
// Claims of non-idempotent calls, as one JSON value of the key-value service: {key: claim}. A bucket holds
// the claims of all accounts and idempotency keys with the same hash.
//
//   auto bucket = claim_bucket::parse(entry.value);        // none: damaged; never overwrite it
//   bucket->drop_expired(now_ms, lifetime);
//   bucket->set(key, mine);
//   if (!bucket->fit(limit_bytes)) refuse();               // drops the oldest kept answers first

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

enum class claim_state {
    sent,     // written before sending; ask the named agent
    answered, // ran; the answer is kept unless it was too large or dropped for room
    released, // did not run: another call may take the key
    unknown,  // the named agent is gone: it may have run and is never run again
};

struct claim_answer {
    int status = 200;
    std::string content_type;
    std::string body;
};

struct claim {
    std::string call_id;           // of the attempt that was sent
    std::string host;              // agent it was sent to
    std::string where;             // "ip:port" of that agent
    std::uint64_t incarnation = 0; // of that agent
    claim_state state = claim_state::sent;
    long long at_ms = 0; // wall clock when the claim was written
    std::string request; // SHA-256 of method, target and body
    std::optional<claim_answer> answer;
};

class claim_bucket {
public:
    // An empty text gives an empty bucket; no value for anything that is not a bucket.
    [[nodiscard]] static auto parse(std::string_view text) -> std::optional<claim_bucket>;
    [[nodiscard]] auto text() const -> std::string;

    [[nodiscard]] auto find(std::string_view key) const -> claim const*;
    auto set(std::string key, claim value) -> void;

    // Forgets claims older than lifetime.
    auto drop_expired(long long now_ms, milliseconds lifetime) -> void;

    // Drops kept answers, oldest first, until the text is no longer than limit; the claims themselves stay.
    // False when that is not enough.
    auto fit(std::size_t limit) -> bool;

    [[nodiscard]] auto size() const -> std::size_t { return claims_.size(); }

private:
    std::map<std::string, claim, std::less<>> claims_; // by "account/idempotency key"
    mutable std::string text_;                         // of claims_; empty: not made yet
};

} // namespace hibiscuswall
