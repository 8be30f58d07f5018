#include "hibiscuswall/calls/claim_store.hpp"

#include "claim_operation.hpp"

#include "hibiscuswall/config/settled_era.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace hibiscuswall {
namespace {

constexpr auto era_poll_interval = milliseconds{100};
constexpr auto record_retry_delay = milliseconds{1'000};

// A bucket is JSON, which holds text only: a response that is not UTF-8 is not stored.
auto is_utf8(std::string const& body) -> bool
{
    try {
        return !nlohmann::json(body).dump().empty();
    } catch (nlohmann::json::exception const&) {
        return false;
    }
}

// Applies the operation to the bucket; if it acquires a claim, also sets its holder. Returns whether the
// bucket changed.
auto apply(claim_operation& operation, claim_bucket& bucket) -> bool
{
    auto const* found = bucket.find(operation.key);
    if (operation.new_claim) {
        if (found != nullptr && found->call_id != operation.replaceable_call_id &&
            found->state != claim_state::released) {
            operation.holder = *found; // Of another call, or of this one by a write whose response was lost.
            return false;
        }
        operation.holder = *operation.new_claim;
        bucket.set(operation.key, *operation.new_claim);
        return true;
    }
    if (found == nullptr || found->call_id != operation.call_id) return false;
    if (found->state == operation.final_state &&
        found->response.has_value() == operation.response.has_value())
        return false;
    auto changed = *found;
    changed.state = operation.final_state;
    changed.response = operation.response;
    bucket.set(operation.key, std::move(changed));
    return true;
}

// Applies the operations and returns those that need the compare-and-swap. An operation that only reads what
// is stored already has its outcome at once; one that reads what is about to be written waits for the write.
auto apply_all(std::span<claim_operation_ptr const> batch, claim_bucket& bucket)
    -> std::vector<claim_operation_ptr>
{
    auto changing = std::vector<claim_operation_ptr>{};
    auto changed_keys = std::set<std::string_view>{};
    for (auto const& operation : batch) {
        if (apply(*operation, bucket))
            changed_keys.insert(operation->key);
        else if (!changed_keys.contains(operation->key)) {
            operation->outcome = operation->holder;
            continue;
        }
        changing.push_back(operation);
    }
    return changing;
}

auto is_write_retryable(result_code code) -> bool
{
    return code == result_code::revision_conflict || code == result_code::write_outcome_unknown;
}

} // namespace

claim_store::claim_store(key_value_client& store, claim_settings settings, metrics& metrics_registry,
                         random_source& random)
    : store_{store}, settings_{settings}, metrics_registry_{metrics_registry}, random_{random}
{
}

claim_store::~claim_store() = default;

auto read_claim_settings(settings_reader reader) -> claim_settings
{
    auto settings = claim_settings{};
    settings.lifetime = reader.duration("lifetime_ms", settings.lifetime);
    settings.max_response_bytes = static_cast<std::size_t>(reader.integer("answer_bytes", 4'096, 0, 65'536));
    settings.max_bucket_bytes =
        static_cast<std::size_t>(reader.integer("bucket_bytes", 900 * 1'024, 1'024, 1'000'000));
    settings.max_attempts = static_cast<int>(reader.integer("attempts", settings.max_attempts, 1, 100));
    settings.retry_delay = reader.duration("pause_ms", settings.retry_delay);
    settings.max_batch = static_cast<std::size_t>(reader.integer("batch", 64, 1, 1'000));
    settings.max_queued = static_cast<std::size_t>(reader.integer("queue", 256, 1, 100'000));
    reader.finish();
    return settings;
}

auto claim_key(std::string_view account, std::string_view idempotency_key) -> std::string
{
    // Account names contain no '/', so two accounts never share a key.
    return std::string{account} + "/" + std::string{idempotency_key};
}

auto claim_bucket_key(std::string_view key) -> std::string { return "claims/" + sha256(key).substr(0, 2); }

auto claim_store::read_bucket(std::string bucket_key)
    -> asio::awaitable<result<std::pair<claim_bucket, std::uint64_t>>>
{
    auto found = co_await store_.find(bucket_key);
    if (!found) co_return fail(result_code::claim_unavailable, found.error().message);
    auto const& entry = found.value();
    auto bucket = claim_bucket::parse(entry ? std::string_view{entry->value} : std::string_view{});
    if (!bucket)
        co_return fail(result_code::claim_unavailable,
                       bucket_key + " is not a valid claim bucket; it is left as it is");
    bucket->drop_expired(wall_clock_ms(), settings_.lifetime);
    co_return std::pair{std::move(*bucket), entry ? entry->revision : 0};
}

auto claim_store::compare_and_swap(std::string bucket_key, claim_bucket bucket, std::uint64_t revision)
    -> asio::awaitable<result<std::uint64_t>>
{
    auto written = co_await store_.put(bucket_key, bucket.text(), revision);
    auto const* label = written                                                      ? "written"
                        : written.error().code == result_code::revision_conflict     ? "conflict"
                        : written.error().code == result_code::write_outcome_unknown ? "answer_lost"
                                                                                     : "unavailable";
    metrics_registry_.count("claim_swaps_total", {{"result", label}});
    co_return written;
}

auto claim_store::back_off(int attempt) -> asio::awaitable<void>
{
    auto const max_delay = 2 * settings_.retry_delay.count() * (attempt + 1);
    co_await sleep_for(
        milliseconds{static_cast<long long>(random_.below(static_cast<std::size_t>(max_delay) + 1))});
}

// A write that conflicted or whose outcome is unknown is retried. After any other failure, acquiring fails at
// once, since a caller waits for it, and finishing is retried, since no caller waits for it.
auto claim_store::record_failure(std::span<operation_ptr const> failed, error const& reason) const -> void
{
    for (auto const& operation : failed) {
        auto const retryable = !operation->new_claim || is_write_retryable(reason.code);
        if (retryable && ++operation->failed_rounds < settings_.max_attempts) continue;
        operation->outcome = fail(result_code::claim_unavailable, reason.message);
    }
}

auto claim_store::write_bucket(std::string bucket_key, claim_bucket bucket, std::uint64_t revision,
                               operations changing, bucket_queue& queue) -> asio::awaitable<void>
{
    if (!bucket.fit(settings_.max_bucket_bytes)) {
        // One at a time, operations that still fit into the bucket are written and only the others fail.
        if (changing.size() > 1)
            queue.one_by_one = true;
        else
            record_failure(changing,
                           fail(result_code::claim_unavailable,
                                bucket_key + " would exceed the limit calls.claims.bucket_bytes even without "
                                             "stored responses; the change was not written"));
        co_return;
    }
    auto claims = std::vector<kept_claim>{};
    for (auto const& operation : changing)
        if (auto const* held = bucket.find(operation->key)) claims.push_back({operation->key, *held});
    auto written = co_await compare_and_swap(bucket_key, std::move(bucket), revision);
    if (!written) {
        // A conflict may be with an earlier write of this process whose response was lost; the next read
        // shows it.
        record_failure(changing, written.error());
        co_return;
    }
    for (auto const& each : claims)
        memory_.on_written(each.key, each.value, clock::now());
    for (auto const& operation : changing)
        operation->outcome = operation->holder;
}

// Decides for keys that have no claim: one may have been lost.
auto claim_store::reject_doubtful(operations const& batch, claim_bucket const& bucket, time_point now) -> void
{
    if (!memory_.restores().may_lack_writes(now)) return;
    for (auto const& operation : batch) {
        auto const is_new = operation->new_claim && !operation->is_rewrite;
        if (!is_new || bucket.find(operation->key) != nullptr) continue;
        metrics_registry_.count("claims_rejected_after_restore_total");
        operation->outcome =
            fail(result_code::claim_unavailable,
                 "the store was restored from a copy; until lost claims are written again, nobody knows "
                 "whether a call with this key has run");
    }
}

// A record that cannot be read leaves the era unsettled. If the record was written after the bucket was read,
// the bucket may lack claims; the compare-and-swap then conflicts.
auto claim_store::learn_era() -> asio::awaitable<void>
{
    auto const now = clock::now();
    memory_.on_era(store_.era(), now);
    if (!memory_.restores().must_ask(now)) co_return;
    auto const settled = co_await read_settled_era(store_);
    memory_.on_era(store_.era(), clock::now());
    if (settled) memory_.restores().on_settled(settled.value());
}

// Does one read and at most one compare-and-swap for the operations that are waiting when the read is
// complete. They may be newer than the read: the compare-and-swap protects a new claim, and the call of a
// stale holder is resolved like that of any other.
auto claim_store::run_round(std::string bucket_key, bucket_queue& queue) -> asio::awaitable<void>
{
    auto contents = co_await read_bucket(bucket_key);
    auto const limit = queue.one_by_one ? std::size_t{1} : settings_.max_batch;
    auto const count = static_cast<std::ptrdiff_t>(std::min(limit, queue.waiting.size()));
    auto batch = operations(queue.waiting.begin(), queue.waiting.begin() + count);
    if (contents) {
        auto bucket = std::move(contents.value().first);
        co_await learn_era();
        reject_doubtful(batch, bucket, clock::now());
        auto open = batch;
        std::erase_if(open, [](operation_ptr const& operation) { return operation->outcome.has_value(); });
        auto changing = apply_all(open, bucket);
        if (!changing.empty())
            co_await write_bucket(bucket_key, std::move(bucket), contents.value().second, std::move(changing),
                                  queue);
    } else {
        record_failure(batch, contents.error());
    }
    std::erase_if(queue.waiting,
                  [](operation_ptr const& operation) { return operation->outcome.has_value(); });
    for (auto const& operation : batch)
        if (operation->outcome) operation->wake();
}

auto claim_store::run_rounds(operation_ptr operation, std::string bucket_key, bucket_queue& queue)
    -> asio::awaitable<void>
{
    while (true) {
        auto const failed_before = operation->failed_rounds;
        co_await run_round(bucket_key, queue);
        if (operation->outcome) co_return;
        if (operation->failed_rounds > failed_before) co_await back_off(failed_before);
    }
}

auto claim_store::wake_next(std::string const& bucket_key) -> void
{
    auto const found = queues_.find(bucket_key);
    if (found->second.waiting.empty())
        queues_.erase(found);
    else
        found->second.waiting.front()->wake();
}

auto claim_store::submit(operation_ptr operation) -> asio::awaitable<result<claim>>
{
    auto const bucket_key = claim_bucket_key(operation->key);
    if (settings_.max_batch == 1) {
        auto own_queue = bucket_queue{};
        own_queue.waiting.push_back(operation);
        co_await run_rounds(operation, bucket_key, own_queue);
        co_return *operation->outcome;
    }
    auto& queue = queues_[bucket_key];
    // Rejecting an operation that finishes a claim would make a later retry ask the agent for the outcome.
    // Finishing operations are therefore accepted up to twice the limit.
    auto const limit = operation->new_claim ? settings_.max_queued : 2 * settings_.max_queued;
    if (queue.waiting.size() >= limit) {
        metrics_registry_.count("claims_queue_full_total");
        co_return fail(result_code::claim_unavailable,
                       bucket_key + " has too many waiting operations (limit calls.claims.queue, twice that "
                                    "for finishing a claim); the operation was rejected");
    }
    queue.waiting.push_back(operation);
    if (queue.has_runner) {
        co_await operation->wakeup.async_wait(asio::as_tuple(asio::use_awaitable));
        if (operation->outcome) co_return *operation->outcome;
    }
    queue.has_runner = true;
    try {
        co_await run_rounds(operation, bucket_key, queue);
    } catch (...) {
        std::erase(queue.waiting, operation);
        wake_next(bucket_key);
        throw;
    }
    wake_next(bucket_key);
    co_return *operation->outcome;
}

auto claim_store::acquire(std::string key, claim new_claim, std::string replaceable_call_id)
    -> asio::awaitable<result<claim>>
{
    auto const executor = co_await asio::this_coro::executor;
    auto operation = std::make_shared<claim_operation>(executor);
    operation->key = std::move(key);
    operation->new_claim = std::move(new_claim);
    operation->replaceable_call_id = std::move(replaceable_call_id);
    co_return co_await submit(std::move(operation));
}

auto claim_store::run_rewrites() -> asio::awaitable<void>
{
    while (true) {
        co_await sleep_for(era_poll_interval);
        co_await learn_era();
        auto lost = memory_.take_lost(clock::now());
        if (!lost.empty())
            log_event(log_level::warning, "claims_rewritten", {{"claims", std::to_string(lost.size())}});
        for (auto& each : lost)
            co_await rewrite(std::move(each));
        co_await record_settled();
    }
}

auto claim_store::record_settled() -> asio::awaitable<void>
{
    auto const now = clock::now();
    if (!memory_.restores().must_record(now) || now < next_record_at_) co_return;
    next_record_at_ = now + record_retry_delay;
    auto const era = memory_.restores().era();
    auto const recorded = co_await record_settled_era(store_, era);
    if (recorded) memory_.restores().on_settled(recorded.value());
    log_event(log_level::info, "era_settled",
              {{"era", std::to_string(era)}, {"outcome", recorded ? "recorded" : recorded.error().message}});
}

// A claim that is there stays as it is: the copy has it, or another call took the key meanwhile.
auto claim_store::rewrite(kept_claim lost) -> asio::awaitable<void>
{
    auto const executor = co_await asio::this_coro::executor;
    auto operation = std::make_shared<claim_operation>(executor);
    operation->key = std::move(lost.key);
    operation->new_claim = std::move(lost.value);
    operation->is_rewrite = true;
    auto const call_id = operation->new_claim->call_id;
    auto const holder = co_await submit(std::move(operation));
    if (holder && holder.value().call_id == call_id) co_return;
    auto const reason = holder ? "the key is held by call " + holder.value().call_id : holder.error().message;
    log_event(log_level::error, "claim_not_rewritten", {{"call", call_id}, {"reason", reason}});
}

auto claim_store::finish(std::string key, std::string call_id, claim_state state,
                         std::optional<claim_response> response) -> asio::awaitable<result<void>>
{
    if (response && (response->body.size() > settings_.max_response_bytes || !is_utf8(response->body)))
        response.reset();
    auto const executor = co_await asio::this_coro::executor;
    auto operation = std::make_shared<claim_operation>(executor);
    operation->key = std::move(key);
    operation->call_id = std::move(call_id);
    operation->final_state = state;
    operation->response = std::move(response);
    auto ended = co_await submit(std::move(operation));
    if (!ended) co_return ended.error();
    co_return success();
}

} // namespace hibiscuswall
