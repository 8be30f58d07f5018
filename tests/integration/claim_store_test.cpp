// Operations on claims of one bucket that share a compare-and-swap, with a store in the test's process.
#include "hibiscuswall/calls/claim_store.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"

#include "support/fake_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_BASE(claim_store_fixture)
{
    member self;
    daemon_base base{self, 1};
    process_context& context = base.context();
    asio::io_context& io = context.io;
    fake_store store{io};
    key_value_client kv{context.client, {store.where}, milliseconds{500}};
    claim_settings settings;
    std::string bucket = claim_bucket_key("guild/0");
    std::vector<std::string> keys; // All in one bucket.

    void setup() override
    {
        for (auto i = 0; keys.size() < 12; ++i)
            if (auto const key = claim_key("guild", std::to_string(i)); claim_bucket_key(key) == bucket)
                keys.push_back(key);
        settings.retry_delay = milliseconds{1};
    }

    void teardown() override
    {
        store.server.stop_accepting();
        io.restart();
        io.run_for(milliseconds{30});
    }

    auto make_claim(std::string id)->claim
    {
        auto value = claim{};
        value.call_id = std::move(id);
        value.claimed_at_ms = wall_clock_ms();
        return value;
    }

    using acquisitions = std::vector<std::optional<result<claim>>>;

    // Acquires all keys concurrently, for calls whose ids have this prefix. The results are in the order of
    // the keys.
    auto begin(claim_store & claims, std::string const& prefix, acquisitions& results)->void
    {
        results.resize(keys.size());
        for (auto i = std::size_t{0}; i < keys.size(); ++i)
            asio::co_spawn(io,
                           acquire_into(claims, keys[i], make_claim(prefix + std::to_string(i)), results[i]),
                           asio::detached);
    }

    static auto acquire_into(claim_store & claims, std::string key, claim value,
                             std::optional<result<claim>> & into)
        ->asio::awaitable<void>
    {
        into.emplace(co_await claims.acquire(std::move(key), std::move(value), {}));
    }

    auto wait_for(acquisitions const& results)->void
    {
        io.restart();
        while (!std::all_of(results.begin(), results.end(),
                            [](auto const& acquired) { return acquired.has_value(); }))
            io.run_one();
    }

    auto stored()->claim_bucket { return claim_bucket::parse(store.entries[bucket].value).value(); }

    static auto held_by(std::optional<result<claim>> const& result, std::string const& id)->bool
    {
        return result->has_value() && result->value().call_id == id;
    }
};

TEST_GROUP_BASE(claim_batch, claim_store_fixture){};

TEST(claim_batch, concurrent_claims_of_one_bucket_share_one_write)
{
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        CHECK(held_by(results[i], "a" + std::to_string(i)));
    CHECK_EQUAL(keys.size(), stored().size());
    CHECK_EQUAL(1, store.writes[bucket]);
}

// Guards against several calls with the same key in one batch that all acquire it.
TEST(claim_batch, concurrent_claims_of_one_key_are_held_by_the_first_call)
{
    std::fill(keys.begin(), keys.end(), keys.front());
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto const& result : results)
        CHECK(held_by(result, "a0"));
}

// Guards against a batch that is lost or duplicated when the store's response is lost or another entry wrote
// the bucket first.
TEST(claim_batch, lost_response_and_write_conflict_are_retried)
{
    store.loses = bucket;
    store.drop_responses = 1;
    auto races = 2;
    store.before_write = [&](std::string const& key) {
        if (--races >= 0) store.entries[key] = {"{}", ++store.revision};
    };
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        CHECK(held_by(results[i], "a" + std::to_string(i)));
    CHECK_EQUAL(keys.size(), stored().size());
}

// Guards against a key that is held by two entries.
TEST(claim_batch, key_claimed_by_two_entries_is_held_by_one)
{
    auto left = claim_store{kv, settings, context.metrics_registry, context.random};
    auto right = claim_store{kv, settings, context.metrics_registry, context.random};
    auto of_left = acquisitions{};
    auto of_right = acquisitions{};
    begin(left, "l", of_left);
    std::reverse(keys.begin(), keys.end());
    begin(right, "r", of_right);
    wait_for(of_left);
    wait_for(of_right);
    std::reverse(of_right.begin(), of_right.end());
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        STRCMP_EQUAL(of_left[i]->value().call_id.c_str(), of_right[i]->value().call_id.c_str());
}

// Guards against a retry that cannot get the response of its first call because the bucket cannot be written.
TEST(claim_batch, holder_of_a_key_is_returned_although_every_write_fails)
{
    auto before = claim_bucket{};
    before.set(keys[3], make_claim("earlier"));
    auto const text = before.text();
    store.entries[bucket] = {text, ++store.revision};
    store.before_write = [&](std::string const& key) { store.entries[key] = {text, ++store.revision}; };
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    for (auto i = std::size_t{0}; i < keys.size(); ++i)
        CHECK(i == 3 ? held_by(results[i], "earlier")
                     : results[i]->error().code == result_code::claim_unavailable);
    CHECK_EQUAL(0, store.writes[bucket]);
}

TEST(claim_batch, claims_beyond_the_queue_limit_fail_at_once)
{
    settings.max_queued = 4;
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    CHECK_EQUAL(4, std::count_if(results.begin(), results.end(),
                                 [](auto const& acquired) { return acquired->has_value(); }));
    CHECK_EQUAL(4U, stored().size());
    CHECK_EQUAL(8.0, context.metrics_registry.value("claims_queue_full_total"));
}

// Guards against the failure of a complete batch when the bucket has capacity for some of it, and against a
// failed claim that is stored nevertheless.
TEST(claim_batch, bucket_near_its_size_limit_stores_the_claims_that_fit)
{
    settings.max_bucket_bytes = 1'024;
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    auto acquired = std::size_t{0};
    for (auto const& result : results)
        if (result->has_value()) ++acquired;
    CHECK(acquired > 2);
    CHECK(acquired < keys.size());
    CHECK_EQUAL(acquired, stored().size());
    CHECK(store.entries[bucket].value.size() <= settings.max_bucket_bytes);
}

// Guards against a finished claim that overtakes or removes another claim of its batch.
TEST(claim_batch, finishing_and_acquiring_share_one_write)
{
    auto claims = claim_store{kv, settings, context.metrics_registry, context.random};
    auto results = acquisitions{};
    begin(claims, "a", results);
    wait_for(results);
    auto const end = [](claim_store& in, std::string key, int& ended) -> asio::awaitable<void> {
        auto response = std::optional<claim_response>{claim_response{200, "text/plain", "done"}};
        auto finished = co_await in.finish(std::move(key), "a0", claim_state::answered, std::move(response));
        if (finished) ++ended;
    };
    auto ended = 0;
    asio::co_spawn(io, end(claims, keys[0], ended), asio::detached);
    keys.erase(keys.begin() + 1, keys.end());
    auto later = acquisitions{};
    begin(claims, "b", later);
    wait_for(later);
    CHECK(held_by(later[0], "a0"));
    STRCMP_EQUAL("done", later[0]->value().response.value().body.c_str());
    CHECK_EQUAL(1, ended);
    CHECK_EQUAL(2, store.writes[bucket]);
}

// ---- a store that comes back from an older copy

// Guards against a booking that runs twice, since the store lost the claim of the call that ran. Two entries,
// each with a client of its own.
TEST_GROUP_BASE(restored_claims, claim_store_fixture)
{
    http_client other_client{io, nullptr};
    key_value_client other_kv{other_client, {store.where}, milliseconds{500}};
    claim_store ran{kv, settings, context.metrics_registry, context.random};
    claim_store repeats{other_kv, settings, context.metrics_registry, context.random};
    http_client started_client{io, nullptr};
    key_value_client started_kv{started_client, {store.where}, milliseconds{500}};
    claim_store started{started_kv, settings, context.metrics_registry, context.random}; // by start()
    key_value_table::store_copy copy;

    void setup() override
    {
        claim_store_fixture::setup();
        keys.resize(1);
        store.era = 1;
        copy = store.copy();
        asio::co_spawn(io, ran.run_rewrites(), asio::detached);
        asio::co_spawn(io, repeats.run_rewrites(), asio::detached);
        CHECK(held_by(acquire(ran, "first"), "first0"));
    }
    // Starts an entry that knows of no earlier era of the store.
    auto start()->void { asio::co_spawn(io, started.run_rewrites(), asio::detached); }
    auto acquire(claim_store & claims, std::string const& id)->std::optional<result<claim>>
    {
        auto results = acquisitions{};
        begin(claims, id, results);
        wait_for(results);
        return results.front();
    }
    auto run_for(milliseconds time)->void
    {
        io.restart();
        io.run_for(time);
    }
};

TEST(restored_claims, a_claim_that_the_store_lost_is_not_given_to_another_call)
{
    CHECK(held_by(acquire(repeats, "x"), "first0")); // the other entry has called the store before
    store.restore(copy);
    auto const repeated = acquire(repeats, "second");
    CHECK(repeated->has_error() && repeated->error().code == result_code::claim_unavailable);

    kv.learn_era(2); // as the configuration tells
    run_for(milliseconds{300});
    CHECK(stored().find(keys.front()) != nullptr);
    CHECK(held_by(acquire(repeats, "third"), "first0"));
}

TEST(restored_claims, other_keys_can_be_claimed_again_after_some_seconds)
{
    CHECK(held_by(acquire(repeats, "x"), "first0"));
    store.restore(copy);
    kv.learn_era(2);
    keys.front() = claim_key("guild", "another");
    CHECK(acquire(repeats, "second")->has_error());
    run_for(milliseconds{3'100});
    CHECK(held_by(acquire(repeats, "third"), "third0"));
}

// Guards against a booking that runs twice, since an entry that started after the restore takes a lost claim
// for one that never was.
TEST(restored_claims, an_entry_that_starts_after_the_restore_gives_no_lost_claim_to_another_call)
{
    store.restore(copy);
    start();
    auto const repeated = acquire(started, "second");
    CHECK(repeated->has_error() && repeated->error().code == result_code::claim_unavailable);

    kv.learn_era(2); // the entry whose call ran hears of the restore
    run_for(milliseconds{300});
    CHECK(held_by(acquire(started, "third"), "first0"));
}

// Guards against an entry that rejects every new key for seconds whenever it starts, long after a restore.
TEST(restored_claims, an_entry_that_starts_when_lost_claims_are_written_again_takes_new_keys_at_once)
{
    store.restore(copy);
    kv.learn_era(2);
    run_for(milliseconds{3'400});
    start();
    CHECK(held_by(acquire(started, "repeated"), "first0"));
    keys.front() = claim_key("guild", "another");
    CHECK(held_by(acquire(started, "second"), "second0"));
}

// Guards against new keys that are rejected without end, since no entry that knew the earlier era is left.
TEST(restored_claims, an_entry_that_starts_alone_after_the_restore_takes_new_keys_after_some_seconds)
{
    store.restore(copy);
    start();
    keys.front() = claim_key("guild", "another");
    CHECK(acquire(started, "second")->has_error());
    run_for(milliseconds{3'100});
    CHECK(held_by(acquire(started, "third"), "third0"));
}
