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
// What arrives for a bucket while one of its swaps is in flight goes out together in the next swap.

#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/observe/metrics.hpp"
#include "platform/key_value_client.hpp"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace hibiscuswall {

struct claim_order;
struct claim_lane;

struct claim_settings {
    milliseconds lifetime{24 * 3'600'000};  // "lifetime_ms": a key is remembered for this long
    std::size_t max_response_bytes = 4'096; // "answer_bytes": largest answer that is kept
    std::size_t bucket_bytes = 900 * 1'024; // "bucket_bytes": below the store's 1 MB
    int attempts = 8;                       // "attempts": swaps tried before giving up
    milliseconds pause{5};                  // "pause_ms": mean wait after a lost race, grows with each
    std::size_t batch = 64;                 // "batch": claims and endings in one swap; 1: each has its own
    std::size_t queue = 256;                // "queue": claims of one bucket that wait; more are refused
};

[[nodiscard]] auto read_claim_settings(settings_reader reader) -> claim_settings;

// Key of a claim inside its bucket, and the bucket's key in the store.
[[nodiscard]] auto claim_key(std::string_view account, std::string_view idempotency_key) -> std::string;
[[nodiscard]] auto claim_bucket_key(std::string_view key) -> std::string; // "claims/00" to "claims/ff"

class claim_store {
public:
    claim_store(key_value_client& store, claim_settings settings, metrics& metrics_registry,
                random_source& random);
    ~claim_store();
    claim_store(claim_store const&) = delete;
    claim_store(claim_store&&) = delete;
    auto operator=(claim_store const&) -> claim_store& = delete;
    auto operator=(claim_store&&) -> claim_store& = delete;

    // Writes the claim unless another call holds the key. replaces: call_id of a claim that is known not to
    // have run and may be overwritten; empty: none. Gives the claim that holds the key afterwards.
    auto take(std::string key, claim mine, std::string replaces) -> asio::awaitable<result<claim>>;

    // Notes how the call ended, if its claim still holds the key. An answer that is too large is left out.
    auto finish(std::string key, std::string call_id, claim_state state, std::optional<claim_answer> answer)
        -> asio::awaitable<result<void>>;

private:
    using order_ptr = std::shared_ptr<claim_order>;
    using orders = std::vector<order_ptr>;

    auto run(order_ptr order) -> asio::awaitable<result<claim>>;
    auto lead(order_ptr order, std::string bucket_key, claim_lane& lane) -> asio::awaitable<void>;
    auto hand_on(std::string const& bucket_key) -> void;
    auto round(std::string bucket_key, claim_lane& lane) -> asio::awaitable<void>;
    auto write(std::string bucket_key, claim_bucket bucket, std::uint64_t revision, orders changing,
               claim_lane& lane) -> asio::awaitable<void>;
    auto fail_round(std::span<order_ptr const> failed, error const& why) const -> void;
    auto read(std::string bucket_key) -> asio::awaitable<result<std::pair<claim_bucket, std::uint64_t>>>;
    auto swap(std::string bucket_key, claim_bucket bucket, std::uint64_t revision)
        -> asio::awaitable<result<std::uint64_t>>;
    auto wait(int attempt) -> asio::awaitable<void>;

    key_value_client& store_;
    claim_settings settings_;
    metrics& metrics_registry_;
    random_source& random_;
    std::map<std::string, claim_lane> lanes_; // by bucket; only those with orders
};

} // namespace hibiscuswall
