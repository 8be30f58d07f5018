#include "hibiscuswall/calls/claim_store.hpp"

#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"

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

} // namespace

auto read_claim_settings(settings_reader reader) -> claim_settings
{
    auto settings = claim_settings{};
    settings.lifetime = reader.duration("lifetime_ms", settings.lifetime);
    settings.answer_bytes = static_cast<std::size_t>(reader.integer("answer_bytes", 4'096, 0, 65'536));
    settings.bucket_bytes =
        static_cast<std::size_t>(reader.integer("bucket_bytes", 900 * 1'024, 1'024, 1'000'000));
    settings.attempts = static_cast<int>(reader.integer("attempts", settings.attempts, 1, 100));
    settings.pause = reader.duration("pause_ms", settings.pause);
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
    if (!bucket.fit(settings_.bucket_bytes))
        co_return fail(result_code::claim_unavailable, bucket_key + " is full");
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

auto claim_store::take(std::string key, claim mine, std::string replaces) -> asio::awaitable<result<claim>>
{
    auto const bucket_key = claim_bucket_key(key);
    auto last = fail(result_code::claim_unavailable, "lost every race for " + bucket_key);
    for (auto attempt = 0; attempt < settings_.attempts; ++attempt) {
        auto held = co_await read(bucket_key);
        if (!held) co_return held.error();
        auto bucket = held.value().first;
        auto const revision = held.value().second;
        if (auto const* found = bucket.find(key); found != nullptr && found->call_id != replaces)
            co_return *found; // another call's, or ours by a swap whose answer was lost
        bucket.set(key, mine);
        auto written = co_await swap(bucket_key, std::move(bucket), revision);
        if (written) co_return mine;
        auto const code = written.error().code;
        last = fail(result_code::claim_unavailable, written.error().message);
        // A conflict may be our own swap with a lost answer; the next read tells.
        if (code != result_code::revision_conflict && code != result_code::write_outcome_unknown)
            co_return last;
        co_await wait(attempt);
    }
    co_return last;
}

auto claim_store::finish(std::string key, std::string call_id, claim_state state,
                         std::optional<claim_answer> answer) -> asio::awaitable<result<void>>
{
    if (answer && (answer->body.size() > settings_.answer_bytes || !is_text(answer->body))) answer.reset();
    auto const bucket_key = claim_bucket_key(key);
    auto last = fail(result_code::claim_unavailable, "lost every race for " + bucket_key);
    for (auto attempt = 0; attempt < settings_.attempts; ++attempt) {
        if (attempt > 0) co_await wait(attempt);
        auto held = co_await read(bucket_key);
        if (!held) {
            last = held.error();
            continue;
        }
        auto bucket = held.value().first;
        auto const* found = bucket.find(key);
        if (found == nullptr || found->call_id != call_id) co_return success();
        if (found->state == state && found->answer.has_value() == answer.has_value()) co_return success();
        auto changed = *found;
        changed.state = state;
        changed.answer = answer;
        bucket.set(key, std::move(changed));
        auto written = co_await swap(bucket_key, std::move(bucket), held.value().second);
        if (written) co_return success();
        last = written.error();
    }
    co_return last;
}

} // namespace hibiscuswall
