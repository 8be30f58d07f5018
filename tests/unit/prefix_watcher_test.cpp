// A process that follows the operators' keys through a narrow link and outages of the store.
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"
#include "support/test_process.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(prefix_mirror)
{
    asio::io_context io;
    fake_store store{io};
    timeline events{"mirror", 16};
    http_client client{io, &events};
    random_source random{3};
    key_value_client kv{client, {store.where}, milliseconds{300}};
    std::vector<std::string> seen; // "all" or "change", and the value of k
    std::unique_ptr<prefix_mirror> mirror;

    auto put(std::string value)->void
    {
        CHECK(run_coroutine(io, kv.put("p/k", std::move(value), std::nullopt)).has_value());
    }
    auto follow(milliseconds gather)->void
    {
        auto settings = mirror_settings{};
        settings.wait = milliseconds{200};
        settings.gather = gather;
        auto const all = [this](store_range const& found, bool) {
            seen.push_back("all " + (found.items.empty() ? std::string{} : found.items.front().value));
        };
        auto const change = [this](store_change const& each, bool) {
            seen.push_back("change " + each.value.value_or(""));
        };
        mirror = std::make_unique<prefix_mirror>(kv, random, "p/", settings, mirror_events{all, change});
        asio::co_spawn(io, mirror->run(), asio::detached);
    }
    auto run_until(std::function<bool()> const& check)->bool
    {
        auto const end = clock::now() + seconds{3};
        io.restart();
        while (!check() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return check();
    }
    auto has_seen(std::string const& what)->bool
    {
        return std::find(seen.begin(), seen.end(), what) != seen.end();
    }
};

TEST(prefix_mirror, reads_all_and_then_each_change)
{
    put("1");
    follow(milliseconds{0});
    CHECK(run_until([&] { return has_seen("all 1"); }));
    put("2");
    CHECK(run_until([&] { return has_seen("change 2"); }));
}

// Pattern: a large configuration changes twelve times a second behind a link that carries three copies a
// second. Guards against a process that asks for every copy in between and falls behind further and further.
TEST(prefix_mirror, that_is_behind_reads_the_newest_values)
{
    put("1");
    follow(milliseconds{150});
    CHECK(run_until([&] { return has_seen("all 1"); }));
    put("2"); // arrives alone; the next two arrive together after the pause
    CHECK(run_until([&] { return has_seen("change 2"); }));
    put("3");
    put("4");
    CHECK(run_until([&] { return has_seen("change 4"); }));
    CHECK(run_until([&] { return has_seen("all 4"); }));
}

// Guards against a watch that fails because its answer is too large for the time, and is asked again as it
// was.
TEST(prefix_mirror, reads_the_newest_values_after_a_failure)
{
    put("1");
    follow(milliseconds{0});
    CHECK(run_until([&] { return has_seen("all 1"); }));
    store.down = true;
    CHECK(run_until([&] { return mirror->is_away(); }));
    store.down = false;
    put("2");
    CHECK(run_until([&] { return has_seen("all 2"); }));
    CHECK_FALSE(has_seen("change 2"));
}
