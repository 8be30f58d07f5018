// Tests that what this process knows survives a store that comes back from an older copy: revisions are given
// out again, writes and leases are lost, and what operators and endpoints wrote is written again.
#include "hibiscuswall/config/restore_state.hpp"
#include "hibiscuswall/config/settled_era.hpp"
#include "hibiscuswall/fleet/declaration_watch.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"
#include "hibiscuswall/weights/fencing.hpp"
#include "platform/key_value_client.hpp"
#include "platform/store_revision.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_BASE(restored_store_base)
{
    asio::io_context io;
    fake_store store{io};
    timeline events{"mirror", 16};
    http_client client{io, &events};
    random_source random{3};
    key_value_client kv{client, {store.where}, milliseconds{300}};

    void setup() override { store.era = 1; }

    auto put(std::string key, std::string value)->std::uint64_t
    {
        return run_coroutine(io, kv.put(std::move(key), std::move(value), std::nullopt)).value();
    }
    auto find(std::string key)->std::optional<key_value_entry>
    {
        return run_coroutine(io, kv.find(std::move(key))).value();
    }
    auto run_for(milliseconds time)->void
    {
        io.restart();
        io.run_for(time);
    }
};

TEST_GROUP_BASE(restored_store, restored_store_base){};

// Guards against a change that counts as older than one before the restore, and is ignored.
TEST(restored_store, a_revision_given_out_again_is_newer_than_before)
{
    put("p/a", "1");
    auto const copy = store.copy();
    auto const lost = put("p/a", "2");
    put("p/a", "3");
    store.restore(copy);
    auto const again = put("p/a", "2");
    CHECK(store_revision::from_ordered(again).revision == store_revision::from_ordered(lost).revision);
    CHECK(again > lost);
    CHECK(find("p/a")->revision == again);
}

// Guards against a watch that goes on from a revision which now stands for another change: what was written
// between the copy and that revision would never be received.
TEST(restored_store, a_watch_does_not_go_on_from_a_revision_of_before)
{
    put("p/a", "1");
    auto const copy = store.copy();
    auto const known = put("p/a", "2");
    store.restore(copy);
    store.revision += 5; // it has given out the known revision again
    // The first call of this process, which tells it that the store was restored; then any later one.
    for (auto i = 0; i < 2; ++i) {
        auto const watched = run_coroutine(io, kv.watch_prefix("p/", known, milliseconds{1}));
        CHECK_FALSE(watched);
        CHECK(watched.error().code == result_code::history_unavailable);
    }
    CHECK_EQUAL(1U, store.calls["watch"]); // the second one was not sent
}

// Guards against an order of before the restore that an engine cannot tell from one after it.
TEST(restored_store, a_fencing_number_is_above_all_that_were_given_out_before)
{
    auto const next = [&] { return run_coroutine(io, next_fencing_number(kv, "host-1")).value(); };
    auto const first = next();
    auto const copy = store.copy();
    auto const lost = next();
    CHECK(lost > first);
    store.restore(copy);
    auto const after = next();
    CHECK(after > lost);
    CHECK(next() > after);
}

// Guards against a conditional write that succeeds because another change has the expected number.
TEST(restored_store, a_write_that_expects_a_revision_of_before_changes_nothing)
{
    auto const copy = store.copy();
    auto const known = put("p/a", "mine");
    store.restore(copy);
    auto const other = put("p/a", "another's");
    CHECK(store_revision::from_ordered(other).revision == store_revision::from_ordered(known).revision);
    auto const written = run_coroutine(io, kv.put("p/a", "mine, later", known));
    CHECK_FALSE(written);
    CHECK(written.error().code == result_code::revision_conflict);
    CHECK_FALSE(run_coroutine(io, kv.erase("p/a", known)));
    CHECK(find("p/a")->value == "another's");
}

// Guards against a process that believes itself listed because its lease's id was granted to another one.
TEST(restored_store, a_lease_of_before_has_ended)
{
    auto const mine = run_coroutine(io, kv.open_lease(milliseconds{10'000})).value();
    store.restore(store.copy());
    find("p/a");
    auto const renewed = run_coroutine(io, kv.renew_lease(mine));
    CHECK_FALSE(renewed);
    CHECK(renewed.error().code == result_code::resource_not_found);
    CHECK_FALSE(run_coroutine(io, kv.put("p/a", "1", std::nullopt, mine)));
}

// ---- a watcher of a restored store

TEST_GROUP_BASE(restored_store_watcher, restored_store_base)
{
    std::map<std::string, std::string> received; // newest value by key
    int ranges = 0;                              // read completely
    prefix_watcher watcher{
        kv,
        random,
        "p/",
        settings(),
        {[this](store_range const& found, bool) { take(found); },
         [this](store_change const& change, bool) { received[change.key] = change.value.value_or(""); }}};

    static auto settings()->prefix_watcher_settings
    {
        auto made = prefix_watcher_settings{};
        made.wait = milliseconds{200};
        return made;
    }
    auto take(store_range const& found)->void
    {
        ++ranges;
        for (auto const& item : found.items)
            received[item.key] = item.value;
    }
    // The watcher has seen ten changes that the store then loses.
    auto lose_changes()->void
    {
        put("p/a", "1");
        auto const copy = store.copy();
        for (auto i = 0; i < 10; ++i)
            put("p/lost", std::to_string(i));
        asio::co_spawn(io, watcher.run(), asio::detached);
        run_for(milliseconds{100});
        store.restore(copy);
    }
};

// Guards against a watcher that reads the range again and again, or hears of nothing, until the store has
// given out as many revisions as before.
TEST(restored_store_watcher, follows_the_changes_after_a_restore)
{
    lose_changes();
    run_for(milliseconds{300});
    CHECK(ranges <= 4);
    put("p/a", "2");
    run_for(milliseconds{100});
    CHECK(received["p/a"] == "2");
    CHECK(ranges <= 4);
}

// Guards against keys that the store lost and nobody wrote again, which would count as present for ever.
TEST(restored_store_watcher, reads_the_range_once_more_when_what_was_lost_had_time_to_be_written_again)
{
    lose_changes();
    run_for(milliseconds{500});
    CHECK(watcher.is_restoring(clock::now()));
    auto const before = ranges;
    run_for(milliseconds{3'200});
    CHECK_FALSE(watcher.is_restoring(clock::now()));
    CHECK_EQUAL(before + 1, ranges);
}

// ---- weights declarations, which have a watch of their own

TEST_GROUP_BASE(restored_store_declarations, restored_store_base)
{
    declared_state declared{{}};
    pause_detector pauses;
    declaration_watch watch{kv, random, declared, pauses};
};

// Guards against a declaration that is no longer passed on to peers because the store lost it.
TEST(restored_store_declarations, a_declaration_that_the_store_lost_is_kept)
{
    auto const copy = store.copy();
    put("op/version/m", R"({"model":"m","version":2})");
    asio::co_spawn(io, watch.run(), asio::detached);
    run_for(milliseconds{100});
    CHECK_EQUAL(2U, declared.newest_version("m"));
    store.restore(copy);
    run_for(milliseconds{300});
    CHECK_EQUAL(1U, declared.items("op/version/").size());
}

// ---- when all that the store lost is written again

TEST_GROUP(restore_state)
{
    static constexpr auto rewrite_time = milliseconds{3'000};
    time_point begin = time_point{} + seconds{100};
    restore_state state;
};

// Guards against work that is rejected in calm.
TEST(restore_state, a_store_that_was_never_restored_lacks_nothing)
{
    state.on_era(1, begin);
    CHECK(!state.must_ask(begin));
    CHECK(!state.may_lack_writes(begin));
    CHECK(!state.must_record(begin + rewrite_time));
}

TEST(restore_state, a_process_that_sees_the_era_rise_waits_whatever_is_recorded)
{
    state.on_era(1, begin);
    CHECK(state.on_era(2, begin));
    CHECK(state.knows_before());
    CHECK(!state.must_ask(begin));
    state.on_settled(2); // by another process, which noticed the restore earlier
    CHECK(state.may_lack_writes(begin + rewrite_time - milliseconds{1}));
    CHECK(!state.may_lack_writes(begin + rewrite_time));
}

// Guards against a process that takes an era for settled because it has known no other.
TEST(restore_state, a_process_that_starts_waits_unless_the_store_names_the_era_as_settled)
{
    CHECK(!state.on_era(4, begin));
    CHECK(state.must_ask(begin));
    CHECK(state.may_lack_writes(begin)); // also while the record cannot be read
    CHECK(!state.knows_before());

    state.on_settled(3);
    CHECK(!state.must_ask(begin));
    CHECK(state.may_lack_writes(begin));
    CHECK(!state.must_record(begin));
    CHECK(!state.may_lack_writes(begin + rewrite_time));
    CHECK(state.must_record(begin + rewrite_time));

    state.on_settled(4);
    CHECK(!state.may_lack_writes(begin));
    CHECK(!state.must_record(begin + rewrite_time));
}

// Guards against a second restore that makes a process forget that it started after the first.
TEST(restore_state, a_process_that_starts_between_two_restores_does_not_know_what_was_lost)
{
    state.on_era(2, begin);
    state.on_settled(1);
    CHECK(state.on_era(3, begin + seconds{1}));
    CHECK(!state.knows_before());
    CHECK(state.may_lack_writes(begin + seconds{1}));

    auto other = restore_state{};
    other.on_era(1, begin);
    other.on_era(2, begin);
    CHECK(other.on_era(3, begin + seconds{1}));
    CHECK(other.knows_before());
}

TEST_GROUP_BASE(settled_era, restored_store_base){};

// Guards against a record that counts for an era in which it was not written.
TEST(settled_era, a_record_of_before_the_restore_names_an_earlier_era)
{
    CHECK_EQUAL(0U, run_coroutine(io, read_settled_era(kv)).value());
    CHECK_EQUAL(1U, run_coroutine(io, record_settled_era(kv, 1)).value());
    auto copy = store.copy();
    store.restore(std::move(copy));
    CHECK_EQUAL(1U, run_coroutine(io, read_settled_era(kv)).value());
    CHECK_EQUAL(2U, run_coroutine(io, record_settled_era(kv, 2)).value());
    CHECK_EQUAL(2U, run_coroutine(io, read_settled_era(kv)).value());
}

// Guards against a slow process that takes back the record of a later era.
TEST(settled_era, a_later_record_stays)
{
    CHECK_EQUAL(3U, run_coroutine(io, record_settled_era(kv, 3)).value());
    CHECK_EQUAL(3U, run_coroutine(io, record_settled_era(kv, 2)).value());
    CHECK_EQUAL(3U, run_coroutine(io, read_settled_era(kv)).value());
}

// Guards against an odd value of another writer that keeps every later record out.
TEST(settled_era, a_record_that_is_no_number_is_reported_and_replaced)
{
    put("restore/settled_era", "2x");
    CHECK(run_coroutine(io, read_settled_era(kv)).error().code == result_code::response_malformed);
    CHECK_EQUAL(2U, run_coroutine(io, record_settled_era(kv, 2)).value());
    CHECK_EQUAL(2U, run_coroutine(io, read_settled_era(kv)).value());
}
