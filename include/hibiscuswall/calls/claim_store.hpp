#pragma once
// Claims of non-idempotent calls in the key-value service. The guarantee that a key runs once comes from the
// compare-and-swap of its bucket, whichever entries take part.
//
//   auto held = co_await store.take(key, mine, {});
//   if (!held) refuse(held.error());                        // claim_unavailable: send nothing
//   if (held.value().call_id == mine.call_id) send();       // ours
//   else look_at(held.value());                             // the claim of an earlier call
//
// A swap whose answer was lost is repeated after a read: the claim's call_id tells whether it took effect.

#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/observe/metrics.hpp"
#include "hibiscuswall/platform/key_value_client.hpp"

namespace hibiscuswall {

struct claim_settings {
    milliseconds lifetime{24 * 3'600'000};  // "lifetime_ms": a key is remembered for this long
    std::size_t answer_bytes = 4'096;       // "answer_bytes": largest answer that is kept
    std::size_t bucket_bytes = 900 * 1'024; // "bucket_bytes": below the store's 1 MB
    int attempts = 8;                       // "attempts": swaps tried before giving up
    milliseconds pause{5};                  // "pause_ms": mean wait after a lost race, grows with each
};

[[nodiscard]] auto read_claim_settings(settings_reader reader) -> claim_settings;

// Key of a claim inside its bucket, and the bucket's key in the store.
[[nodiscard]] auto claim_key(std::string_view account, std::string_view idempotency_key) -> std::string;
[[nodiscard]] auto claim_bucket_key(std::string_view key) -> std::string; // "claims/00" to "claims/ff"

class claim_store {
public:
    claim_store(key_value_client& store, claim_settings settings, metrics& measures, random_source& random)
        : store_{store}, settings_{settings}, measures_{measures}, random_{random}
    {
    }

    // Writes the claim unless another call holds the key. replaces: call_id of a claim that is known not to
    // have run and may be overwritten; empty: none. Gives the claim that holds the key afterwards.
    auto take(std::string key, claim mine, std::string replaces) -> asio::awaitable<result<claim>>;

    // Notes how the call ended, if its claim still holds the key. An answer that is too large is left out.
    auto finish(std::string key, std::string call_id, claim_state state, std::optional<claim_answer> answer)
        -> asio::awaitable<result<void>>;

private:
    auto read(std::string bucket_key) -> asio::awaitable<result<std::pair<claim_bucket, std::uint64_t>>>;
    auto swap(std::string bucket_key, claim_bucket bucket, std::uint64_t revision)
        -> asio::awaitable<result<std::uint64_t>>;
    auto wait(int attempt) -> asio::awaitable<void>;

    key_value_client& store_;
    claim_settings settings_;
    metrics& measures_;
    random_source& random_;
};

} // namespace hibiscuswall
