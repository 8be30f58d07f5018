// Claims and endings of one bucket that share a swap, against a store inside the test's process.
#include "hibiscuswall/calls/claim_store.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"

#include "support/fake_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_BASE(claims_base)
{
    member self;
    daemon_base base{self, 1};
    process_context& context = base.context();
    asio::io_context& io = context.io;
    fake_store store{io};
    key_value_client kv{context.client, {store.where}, milliseconds{500}};
    claim_settings settings;
    std::string bucket = claim_bucket_key("guild/0");
    std::vector<std::string> keys; // all of one bucket

    void setup() override
    {
        for (auto i = 0; keys.size() < 12; ++i)
            if (auto const key = claim_key("guild", std::to_string(i)); claim_bucket_key(key) == bucket)
                keys.push_back(key);
        settings.pause = milliseconds{1};
    }

    void teardown() override
    {
        store.server.stop_accepting();
        io.restart();
        io.run_for(milliseconds{30});
    }

    auto mine(std::string id)->claim
    {
        auto value = claim{};
        value.call_id = std::move(id);
        value.at_ms = wall_clock_ms();
        return value;
    }

    using taken = std::vector<std::optional<result<claim>>>;

    // Takes all keys at the same time, for calls with this prefix; the results have the keys' order.
    auto begin(claim_store & claims, std::string const& prefix, taken& results)->void
    {
        results.resize(keys.size());
        for (auto i = std::size_t{0}; i < keys.size(); ++i)
            asio::co_spawn(io, one(claims, keys[i], mine(prefix + std::to_string(i)), results[i]),
                           asio::detached);
    }

    static auto one(claim_store & claims, std::string key, claim value, std::optional<result<claim>> & into)
        ->asio::awaitable<void>
    {
        into.emplace(co_await claims.take(std::move(key), std::move(value), {}));
    }

    auto wait_for(taken const& results)->void
    {
        io.restart();
        while (
            !std::all_of(results.begin(), results.end(), [](auto const& held) { return held.has_value(); }))
            io.run_one();
    }

    auto stored()->claim_bucket { return claim_bucket::parse(store.entries[bucket].value).value(); }

    static auto held_by(std::optional<result<claim>> const& result, std::string const& id)->bool
    {
        return result->has_value() && result->value().call_id == id;
    }
};

TEST_GROUP_BASE(claim_batch, claims_base){};

TEST(claim_batch, claims_of_a_bucket_share_a_swap)
{
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        CHECK(held_by(results[i], "a" + std::to_string(i)));
    CHECK_EQUAL(keys.size(), stored().size());
    CHECK_EQUAL(1, store.writes[bucket]);
}

// Guards against two calls with the same key in one batch that both believe to hold it.
TEST(claim_batch, of_two_calls_with_one_key_the_first_holds_it)
{
    std::fill(keys.begin(), keys.end(), keys.front());
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto const& result : results)
        CHECK(held_by(result, "a0"));
}

// Guards against a batch that is lost or doubled when the store's answer is, or when another entry was
// faster.
TEST(claim_batch, a_lost_answer_and_a_lost_race_are_repeated)
{
    store.loses = bucket;
    store.drop_responses = 1;
    auto races = 2;
    store.before_write = [&](std::string const& key) {
        if (--races >= 0) store.entries[key] = {"{}", ++store.revision};
    };
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        CHECK(held_by(results[i], "a" + std::to_string(i)));
    CHECK_EQUAL(keys.size(), stored().size());
}

// Guards against a key that two entries hold.
TEST(claim_batch, of_two_entries_one_holds_a_key)
{
    auto left = claim_store{kv, settings, context.metrics_registry, context.random};
    auto right = claim_store{kv, settings, context.metrics_registry, context.random};
    auto of_left = taken{};
    auto of_right = taken{};
    begin(left, "l", of_left);
    std::reverse(keys.begin(), keys.end());
    begin(right, "r", of_right);
    wait_for(of_left);
    wait_for(of_right);
    std::reverse(of_right.begin(), of_right.end());
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        STRCMP_EQUAL(of_left[i]->value().call_id.c_str(), of_right[i]->value().call_id.c_str());
}

// Guards against a repeat that cannot get its first call's answer because the bucket cannot be written.
TEST(claim_batch, a_held_key_is_told_although_no_swap_succeeds)
{
    auto before = claim_bucket{};
    before.set(keys[3], mine("earlier"));
    auto const text = before.text();
    store.entries[bucket] = {text, ++store.revision};
    store.before_write = [&](std::string const& key) { store.entries[key] = {text, ++store.revision}; };
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        CHECK(i == 3 ? held_by(results[i], "earlier")
                     : results[i]->error().code == result_code::claim_unavailable);
    CHECK_EQUAL(0, store.writes[bucket]);
}

TEST(claim_batch, a_full_queue_refuses_at_once)
{
    settings.queue = 4;
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    CHECK_EQUAL(
        4, std::count_if(results.begin(), results.end(), [](auto const& held) { return held->has_value(); }));
    CHECK_EQUAL(4U, stored().size());
    CHECK_EQUAL(8.0, context.metrics_registry.value("claims_queue_full_total"));
}

// Guards against a batch that is refused as a whole when the bucket has room for some of it, and against a
// refused claim that is in the store all the same.
TEST(claim_batch, a_bucket_takes_what_it_has_room_for)
{
    settings.bucket_bytes = 1'024;
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    auto held = std::size_t{0};
    for (auto const& result : results)
        if (result->has_value()) ++held;
    CHECK(held > 2);
    CHECK(held < keys.size());
    CHECK_EQUAL(held, stored().size());
    CHECK(store.entries[bucket].value.size() <= settings.bucket_bytes);
}

// Guards against an ending that overtakes or loses another claim of its batch.
TEST(claim_batch, endings_and_claims_share_a_swap)
{
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = taken{};
    begin(claims, "a", results);
    wait_for(results);
    auto const end = [](claim_store& in, std::string key, int& ended) -> asio::awaitable<void> {
        auto answer = std::optional<claim_answer>{claim_answer{200, "text/plain", "done"}};
        auto told = co_await in.finish(std::move(key), "a0", claim_state::answered, std::move(answer));
        if (told) ++ended;
    };
    auto ended = 0;
    asio::co_spawn(io, end(claims, keys[0], ended), asio::detached);
    keys.erase(keys.begin() + 1, keys.end());
    auto again = taken{};
    begin(claims, "b", again);
    wait_for(again);
    CHECK(held_by(again[0], "a0"));
    STRCMP_EQUAL("done", again[0]->value().answer.value().body.c_str());
    CHECK_EQUAL(1, ended);
    CHECK_EQUAL(2, store.writes[bucket]);
}
