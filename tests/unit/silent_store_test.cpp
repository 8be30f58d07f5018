// Tests how soon a process is up to date after its store, or one connection to it, answered nothing for a
// while. Bound: the time after a fault until a host has to be up to date.
#include "hibiscuswall/daemon/direct_settings.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(silent_store)
{
    asio::io_context io;
    fake_store store{io};
    timeline events{"entry", 16};
    http_client client{io, &events};
    random_source random{3};
    direct_settings defaults;
    key_value_client kv{client, {store.where}, defaults.store_timeout};
    prefix_watcher_settings settings;
    std::unique_ptr<prefix_watcher> watcher;
    std::string known; // newest value that the watcher brought

    void setup() override { settings.wait = milliseconds{200}; }

    auto put(std::string const& value)->void { store.put("op/config", value); }

    auto start_watcher()->void
    {
        auto const on_range = [this](store_range const& found, bool) {
            for (auto const& item : found.items)
                known = item.value;
        };
        auto const on_change = [this](store_change const& change, bool) {
            known = change.value.value_or("");
        };
        watcher = std::make_unique<prefix_watcher>(kv, random, "op/", settings,
                                                   prefix_watcher_callbacks{on_range, on_change});
        asio::co_spawn(io, watcher->run(), asio::detached);
        CHECK(run_until(
            io, [&] { return known == "1"; }, milliseconds{2'000}));
    }
    auto pause_until_a_range_is_sent()->void
    {
        auto const before = store.calls["list"];
        CHECK(run_until(
            io, [&] { return store.calls["list"] > before; }, milliseconds{8'000}));
    }
    auto is_up_to_date_in_time(std::string const& value)->bool
    {
        return run_until(
            io, [&] { return known == value; }, defaults.settle_time);
    }
};

// Guards against one call that uses up the whole time until the host has to be up to date: it is sent just
// before the store answers again, and is never answered.
TEST(silent_store, a_range_that_is_never_answered_leaves_time_for_the_next)
{
    put("1");
    start_watcher();
    store.silent = true;
    pause_until_a_range_is_sent();
    store.silent = false;
    put("2");
    CHECK(is_up_to_date_in_time("2"));
}

// The same where one more call is lost afterwards.
TEST(silent_store, a_second_call_that_is_never_answered_leaves_time_as_well)
{
    put("1");
    start_watcher();
    store.silent = true;
    pause_until_a_range_is_sent();
    store.silent = false;
    store.unanswered = 1;
    put("2");
    CHECK(is_up_to_date_in_time("2"));
}

// Guards against a watch on a connection that went silent, beside a store that works: the range that replaces
// it may lose a call, too.
TEST(silent_store, a_watch_that_is_never_answered_is_replaced_in_time)
{
    settings.wait = watch_wait(defaults.settle_time, milliseconds{0});
    put("1");
    store.unanswered = 0;
    start_watcher();
    store.silent = true; // the watch that waits now
    run_until(
        io, [] { return false; }, milliseconds{20});
    auto const fell_silent_at = clock::now();
    put("2");
    run_until(
        io, [] { return false; }, milliseconds{20});
    store.silent = false;
    store.unanswered = 1;
    auto const left = defaults.settle_time - (clock::now() - fell_silent_at);
    CHECK(run_until(
        io, [&] { return known == "2"; }, std::chrono::duration_cast<milliseconds>(left)));
}

TEST(silent_store, a_client_without_an_address_answers_with_an_error)
{
    auto nowhere = key_value_client{client, {}, defaults.store_timeout};
    CHECK(run_coroutine(io, nowhere.range("op/")).error().code == result_code::store_unavailable);
    CHECK(run_coroutine(io, nowhere.find("op/config")).error().code == result_code::store_unavailable);
}
