#pragma once
// Stores claims of non-idempotent calls in the key-value service. The compare-and-swap of a key's bucket
// guarantees that the key runs at most once, however many entries are involved.
//
//   auto holder = co_await store.acquire(key, new_claim, {});
//   if (!holder) reject(holder.error());                         // claim_unavailable: do not send the call
//   if (holder.value().call_id == new_claim.call_id) send();     // this call holds the key
//   else resolve(holder.value());                                // an earlier call holds the key
//
// A store that was restored from a copy has lost claims. Each process writes its own again (run_rewrites());
// for some seconds, a key without a claim cannot be acquired. A process that starts asks the store whether
// that is over (config/settled_era.hpp).
//
// A compare-and-swap whose response was lost is retried after a read: the claim's call_id shows whether it
// took effect. Operations that arrive for a bucket during a compare-and-swap are written together in the next
// one.

#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/calls/claim_memory.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/observe/metrics.hpp"
#include "platform/key_value_client.hpp"

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace hibiscuswall {

struct claim_operation;
struct bucket_queue;

struct claim_settings {
    milliseconds lifetime{24 * 3'600'000};      // "lifetime_ms": claims expire after this time
    std::size_t max_response_bytes = 4'096;     // "answer_bytes": larger responses are not stored
    std::size_t max_bucket_bytes = 900 * 1'024; // "bucket_bytes": below the store's limit of 1 MB per value
    int max_attempts = 8;                       // "attempts": failed rounds before an operation fails
    milliseconds retry_delay{5}; // "pause_ms": mean delay after the first failed round, grows with each
    std::size_t max_batch = 64;  // "batch": operations per compare-and-swap; 1: no batching
    // "queue": waiting operations of a bucket at which acquiring is rejected; finishing: at twice the number
    std::size_t max_queued = 256;
};

[[nodiscard]] auto read_claim_settings(settings_reader reader) -> claim_settings;

// Key of a claim in its bucket, and key of that bucket in the store.
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

    // Writes the claim unless another call holds the key, and returns the claim that holds the key
    // afterwards. replaceable_call_id: call_id of a claim whose call is known not to have run and which may
    // be overwritten; empty: none.
    auto acquire(std::string key, claim new_claim, std::string replaceable_call_id)
        -> asio::awaitable<result<claim>>;

    // Writes this process's claims again after the store was restored, then records that its era is settled.
    // Runs until the io_context stops.
    auto run_rewrites() -> asio::awaitable<void>;

    // Records how the call ended if its claim still holds the key. A response that is too large or not UTF-8
    // is not stored.
    auto finish(std::string key, std::string call_id, claim_state state,
                std::optional<claim_response> response) -> asio::awaitable<result<void>>;

private:
    using operation_ptr = std::shared_ptr<claim_operation>;
    using operations = std::vector<operation_ptr>;

    auto submit(operation_ptr operation) -> asio::awaitable<result<claim>>;
    auto run_rounds(operation_ptr operation, std::string bucket_key, bucket_queue& queue)
        -> asio::awaitable<void>;
    auto wake_next(std::string const& bucket_key) -> void;
    auto run_round(std::string bucket_key, bucket_queue& queue) -> asio::awaitable<void>;
    auto write_bucket(std::string bucket_key, claim_bucket bucket, std::uint64_t revision,
                      operations changing, bucket_queue& queue) -> asio::awaitable<void>;
    auto record_failure(std::span<operation_ptr const> failed, error const& reason) const -> void;
    auto read_bucket(std::string bucket_key)
        -> asio::awaitable<result<std::pair<claim_bucket, std::uint64_t>>>;
    auto compare_and_swap(std::string bucket_key, claim_bucket bucket, std::uint64_t revision)
        -> asio::awaitable<result<std::uint64_t>>;
    auto back_off(int attempt) -> asio::awaitable<void>;
    auto rewrite(kept_claim lost) -> asio::awaitable<void>;
    auto reject_doubtful(operations const& batch, claim_bucket const& bucket, time_point now) -> void;
    auto learn_era() -> asio::awaitable<void>;
    auto record_settled() -> asio::awaitable<void>;

    key_value_client& store_;
    claim_settings settings_;
    metrics& metrics_registry_;
    random_source& random_;
    claim_memory memory_;
    time_point next_record_at_;                  // of the settled era, after a failure
    std::map<std::string, bucket_queue> queues_; // By bucket key; only buckets with operations.
};

} // namespace hibiscuswall
