// Tests that a prefix_watcher catches up over a slow link and after outages of the store.
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"
#include "support/scripted_endpoint.hpp"
#include "support/test_process.hpp"

#include <map>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(prefix_watcher)
{
    asio::io_context io;
    fake_store store{io};
    timeline events{"mirror", 16};
    http_client client{io, &events};
    random_source random{3};
    key_value_client kv{client, {store.where}, milliseconds{300}};
    std::vector<std::string> received;     // "all" or "change", and the value of k
    std::vector<bool> unavailable_seen;    // store_was_unavailable of each range
    std::vector<time_point> changed_since; // of each callback
    pause_detector pauses;
    std::unique_ptr<prefix_watcher> watcher;

    auto put(std::string value)->void
    {
        CHECK(run_coroutine(io, kv.put("p/k", std::move(value), std::nullopt)).has_value());
    }
    auto start_watcher(milliseconds batch_delay)->void
    {
        auto settings = prefix_watcher_settings{};
        settings.wait = milliseconds{200};
        settings.batch_delay = batch_delay;
        settings.pauses = &pauses;
        auto const on_range = [this](store_range const& found, bool unavailable) {
            changed_since.push_back(watcher->changed_since());
            unavailable_seen.push_back(unavailable);
            received.push_back("all " + (found.items.empty() ? std::string{} : found.items.front().value));
        };
        auto const on_change = [this](store_change const& update, bool) {
            changed_since.push_back(watcher->changed_since());
            received.push_back("change " + update.value.value_or(""));
        };
        watcher = std::make_unique<prefix_watcher>(kv, random, "p/", settings,
                                                   prefix_watcher_callbacks{on_range, on_change});
        asio::co_spawn(io, watcher->run(), asio::detached);
    }
    auto run_until(std::function<bool()> const& condition, milliseconds bound = milliseconds{3'000})->bool
    {
        auto const end = clock::now() + bound;
        io.restart();
        while (!condition() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return condition();
    }
    auto has_received(std::string const& what)->bool
    {
        return std::find(received.begin(), received.end(), what) != received.end();
    }
};

TEST(prefix_watcher, reads_range_then_receives_each_change)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    put("2");
    CHECK(run_until([&] { return has_received("change 2"); }));
}

// Guards against a watcher that requests every intermediate value and falls further and further behind: a
// large configuration changes twelve times a second over a link that carries three copies a second.
TEST(prefix_watcher, reads_newest_values_when_several_changes_arrive_at_once)
{
    put("1");
    start_watcher(milliseconds{150});
    CHECK(run_until([&] { return has_received("all 1"); }));
    put("2"); // arrives alone; the next two arrive together after batch_delay
    CHECK(run_until([&] { return has_received("change 2"); }));
    put("3");
    put("4");
    CHECK(run_until([&] { return has_received("change 4"); }));
    CHECK(run_until([&] { return has_received("all 4"); }));
}

// Guards against a watch that fails because its response does not arrive within the timeout, and is then
// retried unchanged.
TEST(prefix_watcher, reads_newest_values_after_a_failed_watch)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    store.down = true;
    CHECK(run_until([&] { return watcher->is_unavailable(); }));
    store.down = false;
    put("2");
    CHECK(run_until([&] { return has_received("all 2"); }));
    CHECK_FALSE(has_received("change 2"));
}

// A watch may stall without an error. Guards against a process that waits for its end although it knows that
// it lacks a change.
TEST(prefix_watcher, the_range_can_be_read_while_a_watch_waits)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    auto const covered = watcher->covered_revision();
    received.clear();
    asio::co_spawn(io, watcher->refresh(), asio::detached);
    CHECK(run_until([&] { return has_received("all 1"); }));
    CHECK(watcher->covered_revision() >= covered);
    put("2");
    CHECK(run_until([&] { return has_received("change 2"); }));
    CHECK(watcher->changed_revision() > covered);
    CHECK(watcher->covered_revision() >= watcher->changed_revision());
}

// Guards against deletions that an outage caused being taken for real ones, when only another call to the
// store has noticed the outage.
TEST(prefix_watcher, a_failure_of_another_call_tells_of_an_outage)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    CHECK(unavailable_seen.empty() || !unavailable_seen.back());
    store.down = true;
    CHECK_FALSE(run_coroutine(io, kv.find("p/k")).has_value());
    store.down = false;
    asio::co_spawn(io, watcher->refresh(), asio::detached);
    auto const before = unavailable_seen.size();
    CHECK(run_until([&] { return unavailable_seen.size() > before; }));
    CHECK(unavailable_seen.back());
}

// ---- when a change was made

TEST(prefix_watcher, a_change_that_a_waiting_watch_returns_was_made_just_now)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    run_until([] { return false; }, milliseconds{300});
    auto const before = clock::now();
    put("2");
    CHECK(run_until([&] { return has_received("change 2"); }));
    CHECK(changed_since.back() >= before);
}

// The store's calls get no response for a while, and the change was made meanwhile. Guards against a change
// that counts as new because it was received late.
TEST(prefix_watcher, a_change_found_after_failed_calls_may_be_as_old_as_the_last_response)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    store.down = true;
    CHECK(run_until([&] { return watcher->is_unavailable(); }));
    auto const lost = watcher->confirmed_at();
    run_until([] { return false; }, milliseconds{600});
    store.down = false;
    put("2");
    CHECK(run_until([&] { return has_received("all 2"); }));
    CHECK(changed_since.back() <= lost);
}

// The response waits in the socket while the process stands still.
TEST(prefix_watcher, a_change_received_after_a_pause_may_be_as_old_as_its_begin)
{
    put("1");
    start_watcher(milliseconds{0});
    CHECK(run_until([&] { return has_received("all 1"); }));
    auto const begun = clock::now();
    pauses.tick(begun);
    put("2");
    std::this_thread::sleep_for(milliseconds{500}); // nothing is handled meanwhile
    CHECK(run_until([&] { return has_received("change 2"); }));
    CHECK(changed_since.back() <= clock::now() - milliseconds{500});
}

// ---- a store behind a full link: its responses begin at once and end much later

TEST_GROUP(slow_store)
{
    static constexpr auto transfer_time = milliseconds{900};

    std::mutex lock;
    std::vector<std::string> responses; // bodies of the watches, in order; then nothing changes any more
    std::vector<milliseconds> delays;   // before each of them begins
    std::vector<time_point> begun;      // when each of them began
    scripted_endpoint store{[this](scripted_request const& request) { return respond(request); }};
    asio::io_context io;
    timeline events{"mirror", 16};
    http_client client{io, &events};
    random_source random{3};
    key_value_client kv{client, {store.where()}, milliseconds{3'000}};
    std::map<std::string, time_point> changed_since; // by key
    std::unique_ptr<prefix_watcher> watcher;

    static auto head(std::size_t size)->std::string
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    }

    static auto change(std::string const& key, int revision)->std::string
    {
        return R"({"key":"p/)" + key + R"(","value":"","revision":)" + std::to_string(revision) + "}";
    }

    static auto watched(std::string const& changes, int revision)->std::string
    {
        return R"({"events":[)" + changes + R"(],"currentRev":)" + std::to_string(revision) + "}";
    }

    auto respond(scripted_request const& request)->scripted_response
    {
        auto response = scripted_response{};
        auto const range = std::string{R"({"items":[],"hasMore":false,"currentRev":1})"};
        if (request.line.find("/kv-range") != std::string::npos) {
            response.bytes = head(range.size()) + range;
            return response;
        }
        auto const guard = std::lock_guard{lock};
        auto const number = begun.size();
        auto const last = number >= responses.size();
        auto const body = last ? watched("", 9) : responses[number];
        response.delay = last ? milliseconds{200} : delays[number];
        begun.push_back(clock::now() + response.delay);
        response.bytes = head(body.size());
        response.late_bytes = body;
        response.late_delay = transfer_time;
        return response;
    }

    // When the response of this number began, from 0.
    auto begin_of(std::size_t number)->time_point
    {
        auto const guard = std::lock_guard{lock};
        return begun.at(number);
    }

    auto run_until_received(std::string const& key)->bool
    {
        auto settings = prefix_watcher_settings{};
        settings.wait = milliseconds{4'000};
        auto const on_change = [this](store_change const& update, bool) {
            changed_since[update.key] = watcher->changed_since();
        };
        watcher = std::make_unique<prefix_watcher>(
            kv, random, "p/", settings, prefix_watcher_callbacks{[](store_range const&, bool) {}, on_change});
        asio::co_spawn(io, watcher->run(), asio::detached);
        auto const end = clock::now() + milliseconds{5'000};
        while (!changed_since.contains(key) && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return changed_since.contains(key);
    }
};

// Guards against a change that counts as made when its response has ended, although a large value of another
// key held up the end.
TEST(slow_store, a_change_is_as_old_as_the_begin_of_its_response)
{
    responses = {watched(change("large", 2) + "," + change("k", 3), 3)};
    delays = {milliseconds{1'500}};
    CHECK(run_until_received("p/k"));
    CHECK(changed_since["p/k"] <= begin_of(0) + milliseconds{300});
    CHECK(changed_since["p/k"] >= begin_of(0) - milliseconds{100});
}

// Guards against a change that counts as made when the next response begins, although it was made while the
// previous one was on its way.
TEST(slow_store, a_change_made_during_a_response_may_be_as_old_as_the_begin_of_that_response)
{
    responses = {watched(change("large", 2), 2), watched(change("k", 3), 3)};
    delays = {milliseconds{1'500}, milliseconds{30}};
    CHECK(run_until_received("p/k"));
    CHECK(changed_since["p/k"] <= begin_of(0) + milliseconds{300});
}
