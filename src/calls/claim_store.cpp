// GCC 12 inlines the frame's operator new but not its operator delete and then takes them for mismatched.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "hibiscuswall/calls/claim_store.hpp"

#include "claim_operation.hpp"

#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace hibiscuswall {
namespace {

// JSON holds text only: an answer that is not UTF-8 is not kept.
auto is_text(std::string const& body) -> bool
{
    try {
        return !nlohmann::json(body).dump().empty();
    } catch (nlohmann::json::exception const&) {
        return false;
    }
}

// Whether the order changes the bucket; holder tells who has the key afterwards.
auto apply(claim_order& order, claim_bucket& bucket) -> bool
{
    auto const* found = bucket.find(order.key);
    if (order.mine) {
        if (found != nullptr && found->call_id != order.replaces && found->state != claim_state::released) {
            order.holder = *found; // another call's, or ours by a swap whose answer was lost
            return false;
        }
        order.holder = *order.mine;
        bucket.set(order.key, *order.mine);
        return true;
    }
    if (found == nullptr || found->call_id != order.call_id) return false;
    if (found->state == order.end && found->answer.has_value() == order.answer.has_value()) return false;
    auto changed = *found;
    changed.state = order.end;
    changed.answer = order.answer;
    bucket.set(order.key, std::move(changed));
    return true;
}

// Gives the orders that need the swap. An order that only reads what is in the store already is done at once;
// one that reads what the swap is about to write waits for it.
auto apply_all(std::span<claim_order_ptr const> part, claim_bucket& bucket) -> std::vector<claim_order_ptr>
{
    auto changing = std::vector<claim_order_ptr>{};
    auto touched = std::set<std::string_view>{};
    for (auto const& order : part) {
        if (apply(*order, bucket))
            touched.insert(order->key);
        else if (!touched.contains(order->key)) {
            order->outcome = order->holder;
            continue;
        }
        changing.push_back(order);
    }
    return changing;
}

auto is_race(result_code code) -> bool
{
    return code == result_code::revision_conflict || code == result_code::write_outcome_unknown;
}

} // namespace

claim_store::claim_store(key_value_client& store, claim_settings settings, metrics& measures,
                         random_source& random)
    : store_{store}, settings_{settings}, measures_{measures}, random_{random}
{
}

claim_store::~claim_store() = default;

auto read_claim_settings(settings_reader reader) -> claim_settings
{
    auto settings = claim_settings{};
    settings.lifetime = reader.duration("lifetime_ms", settings.lifetime);
    settings.answer_bytes = static_cast<std::size_t>(reader.integer("answer_bytes", 4'096, 0, 65'536));
    settings.bucket_bytes =
        static_cast<std::size_t>(reader.integer("bucket_bytes", 900 * 1'024, 1'024, 1'000'000));
    settings.attempts = static_cast<int>(reader.integer("attempts", settings.attempts, 1, 100));
    settings.pause = reader.duration("pause_ms", settings.pause);
    settings.batch = static_cast<std::size_t>(reader.integer("batch", 64, 1, 1'000));
    settings.queue = static_cast<std::size_t>(reader.integer("queue", 256, 1, 100'000));
    reader.finish();
    return settings;
}

auto claim_key(std::string_view account, std::string_view idempotency_key) -> std::string
{
    // Account names hold no '/', so that two accounts never share a key.
    return std::string{account} + "/" + std::string{idempotency_key};
}

auto claim_bucket_key(std::string_view key) -> std::string { return "claims/" + sha256(key).substr(0, 2); }

auto claim_store::read(std::string bucket_key)
    -> asio::awaitable<result<std::pair<claim_bucket, std::uint64_t>>>
{
    auto found = co_await store_.find(bucket_key);
    if (!found) co_return fail(result_code::claim_unavailable, found.error().message);
    auto const& entry = found.value();
    auto bucket = claim_bucket::parse(entry ? std::string_view{entry->value} : std::string_view{});
    if (!bucket) co_return fail(result_code::claim_unavailable, bucket_key + " is damaged");
    bucket->drop_expired(wall_clock_ms(), settings_.lifetime);
    co_return std::pair{std::move(*bucket), entry ? entry->revision : 0};
}

auto claim_store::swap(std::string bucket_key, claim_bucket bucket, std::uint64_t revision)
    -> asio::awaitable<result<std::uint64_t>>
{
    auto written = co_await store_.put(bucket_key, bucket.text(), revision);
    auto const* label = written                                                      ? "written"
                        : written.error().code == result_code::revision_conflict     ? "conflict"
                        : written.error().code == result_code::write_outcome_unknown ? "answer_lost"
                                                                                     : "unavailable";
    measures_.count("claim_swaps_total", {{"result", label}});
    co_return written;
}

auto claim_store::wait(int attempt) -> asio::awaitable<void>
{
    auto const longest = 2 * settings_.pause.count() * (attempt + 1);
    co_await sleep_for(
        milliseconds{static_cast<long long>(random_.below(static_cast<std::size_t>(longest) + 1))});
}

// A race is tried again. Any other failure ends a claim at once, so that its caller is told; an ending is
// tried again, because nobody waits for it.
auto claim_store::fail_round(std::span<order_ptr const> failed, error const& why) const -> void
{
    for (auto const& order : failed) {
        auto const again = !order->mine || is_race(why.code);
        if (again && ++order->attempts < settings_.attempts) continue;
        order->outcome = fail(result_code::claim_unavailable, why.message);
    }
}

auto claim_store::write(std::string bucket_key, claim_bucket bucket, std::uint64_t revision, orders changing,
                        claim_lane& lane) -> asio::awaitable<void>
{
    if (!bucket.fit(settings_.bucket_bytes)) {
        // Alone, each order that still finds room is written and only the others are refused.
        if (changing.size() > 1)
            lane.one_by_one = true;
        else
            fail_round(changing, fail(result_code::claim_unavailable, bucket_key + " is full"));
        co_return;
    }
    auto written = co_await swap(bucket_key, std::move(bucket), revision);
    if (!written) {
        // A conflict may be our own swap with a lost answer; the next read tells.
        fail_round(changing, written.error());
        co_return;
    }
    for (auto const& order : changing)
        order->outcome = order->holder;
}

// One read and at most one swap, for the orders that wait when the read is done. They may be newer than the
// read: a claim is safe by the swap, and a stale holder is asked for like any other.
auto claim_store::round(std::string bucket_key, claim_lane& lane) -> asio::awaitable<void>
{
    auto held = co_await read(bucket_key);
    auto const most = lane.one_by_one ? std::size_t{1} : settings_.batch;
    auto const count = static_cast<std::ptrdiff_t>(std::min(most, lane.waiting.size()));
    auto part = orders(lane.waiting.begin(), lane.waiting.begin() + count);
    if (held) {
        auto bucket = std::move(held.value().first);
        auto changing = apply_all(part, bucket);
        if (!changing.empty())
            co_await write(bucket_key, std::move(bucket), held.value().second, std::move(changing), lane);
    } else {
        fail_round(part, held.error());
    }
    std::erase_if(lane.waiting, [](order_ptr const& order) { return order->outcome.has_value(); });
    for (auto const& order : part)
        if (order->outcome) order->wake();
}

auto claim_store::lead(order_ptr order, std::string bucket_key, claim_lane& lane) -> asio::awaitable<void>
{
    while (true) {
        auto const failed = order->attempts;
        co_await round(bucket_key, lane);
        if (order->outcome) co_return;
        if (order->attempts > failed) co_await wait(failed);
    }
}

auto claim_store::hand_on(std::string const& bucket_key) -> void
{
    auto const found = lanes_.find(bucket_key);
    if (found->second.waiting.empty())
        lanes_.erase(found);
    else
        found->second.waiting.front()->wake();
}

auto claim_store::run(order_ptr order) -> asio::awaitable<result<claim>>
{
    auto const bucket_key = claim_bucket_key(order->key);
    if (settings_.batch == 1) {
        auto alone = claim_lane{};
        alone.waiting.push_back(order);
        co_await lead(order, bucket_key, alone);
        co_return *order->outcome;
    }
    auto& lane = lanes_[bucket_key];
    // An ending that is refused would leave a question to the agent: endings find room when claims do not.
    auto const most = order->mine ? settings_.queue : 2 * settings_.queue;
    if (lane.waiting.size() >= most) {
        measures_.count("claims_queue_full_total");
        co_return fail(result_code::claim_unavailable, bucket_key + " has too many claims waiting");
    }
    lane.waiting.push_back(order);
    if (lane.led) {
        co_await order->woken.async_wait(asio::as_tuple(asio::use_awaitable));
        if (order->outcome) co_return *order->outcome;
    }
    lane.led = true;
    try {
        co_await lead(order, bucket_key, lane);
    } catch (...) {
        std::erase(lane.waiting, order);
        hand_on(bucket_key);
        throw;
    }
    hand_on(bucket_key);
    co_return *order->outcome;
}

auto claim_store::take(std::string key, claim mine, std::string replaces) -> asio::awaitable<result<claim>>
{
    auto const executor = co_await asio::this_coro::executor;
    auto order = std::make_shared<claim_order>(executor);
    order->key = std::move(key);
    order->mine = std::move(mine);
    order->replaces = std::move(replaces);
    co_return co_await run(std::move(order));
}

auto claim_store::finish(std::string key, std::string call_id, claim_state state,
                         std::optional<claim_answer> answer) -> asio::awaitable<result<void>>
{
    if (answer && (answer->body.size() > settings_.answer_bytes || !is_text(answer->body))) answer.reset();
    auto const executor = co_await asio::this_coro::executor;
    auto order = std::make_shared<claim_order>(executor);
    order->key = std::move(key);
    order->call_id = std::move(call_id);
    order->end = state;
    order->answer = std::move(answer);
    auto ended = co_await run(std::move(order));
    if (!ended) co_return ended.error();
    co_return success();
}

} // namespace hibiscuswall
