// The stand-ins that the other tests rely on: a wrong stand-in would let a fault of the system pass.
#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/sha256.hpp"

#include "support/await_condition.hpp"
#include "support/http_caller.hpp"
#include "support/port_pool.hpp"
#include "support/process.hpp"

#include <filesystem>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(standins)
{
    std::filesystem::path log = std::filesystem::temp_directory_path() /
                                ("hibiscuswall-standins-" + std::to_string(getpid()) + ".log");
    std::vector<process> started;

    void teardown() override
    {
        started.clear();
        std::filesystem::remove(log);
    }

    auto start(std::string const& program, std::vector<std::string> arguments)->address
    {
        auto const where = port_pool::next();
        arguments.insert(arguments.begin(), {"--listen", where.text()});
        started.emplace_back(program, arguments, log);
        CHECK(await_condition(milliseconds{5'000}, [&] {
            return call(where, {"GET", "/readyz"}).status == 200;
        }));
        return where;
    }

    auto start_proxy(address const& target)->std::pair<address, address>
    {
        auto const listen = port_pool::next();
        auto const control = port_pool::next();
        started.emplace_back("fault-proxy",
                             std::vector<std::string>{"--listen", listen.text(), "--target", target.text(),
                                                      "--control", control.text()},
                             log);
        CHECK(await_condition(milliseconds{5'000}, [&] {
            return call(control, {"GET", "/readyz"}).status == 200;
        }));
        return {listen, control};
    }

    // Status of a transaction that sets one key; expect: revision that the key must have.
    static auto put(address const& where, std::string const& key, std::string const& value,
                    std::optional<std::uint64_t> expect = std::nullopt, std::uint64_t lease = 0)
        ->int
    {
        auto body =
            nlohmann::json{{"expected", nlohmann::json::array()},
                           {"puts", {{{"key", key}, {"value", encode_base64(value)}, {"lease", lease}}}},
                           {"remove", nlohmann::json::array()}};
        if (expect) body["expected"].push_back({{"key", key}, {"revision", *expect}});
        return call(where, {"POST", "/kv-txn", {}, body.dump()}).status;
    }

    static auto value(address const& where, std::string const& key)->std::string
    {
        auto const item = call_json(where, "GET", "/kv-key?key=" + key);
        return decode_base64(item.value("value", "")).value_or("not base64");
    }
};

// Guards against two writers who both believe that they won.
TEST(standins, a_swap_with_an_old_revision_is_refused)
{
    auto const kv = start("standin-kv", {});
    LONGS_EQUAL(200, put(kv, "a", "one", 0));
    LONGS_EQUAL(412, put(kv, "a", "two", 0));
    LONGS_EQUAL(200, put(kv, "a", "two", 1));
    LONGS_EQUAL(413, put(kv, "a", std::string(1024 * 1024 + 1, 'x')));
    STRCMP_EQUAL("two", value(kv, "a").c_str());
}

TEST(standins, a_watch_ends_with_the_change_or_with_its_time)
{
    auto const kv = start("standin-kv", {});
    auto const idle = call_json(kv, "GET", "/kv-watch?prefix=a&after=0&waitMs=50");
    CHECK(idle["events"].empty());
    auto waiting = std::async(std::launch::async,
                              [&] { return call_json(kv, "GET", "/kv-watch?prefix=a&after=0&waitMs=4000"); });
    CHECK(await_condition(milliseconds{2'000},
                          [&] { return call_json(kv, "GET", "/v1/stats")["waiting_watches"] == 1; }));
    put(kv, "a", "one");
    auto const news = waiting.get();
    LONGS_EQUAL(1, news["events"].size());
    STRCMP_EQUAL("a", news["events"][0].value("key", "").c_str());
    LONGS_EQUAL(1, news.value("currentRev", 0));
}

// Guards against a reader that takes a part of a range for the whole.
TEST(standins, a_range_comes_in_pages)
{
    auto const kv = start("standin-kv", {});
    for (auto i = 100; i < 701; ++i)
        put(kv, "k/" + std::to_string(i), "x");
    auto const first = call_json(kv, "GET", "/kv-range?prefix=k/");
    LONGS_EQUAL(500, first["items"].size());
    CHECK(first.value("hasMore", false));
    auto const second = call_json(kv, "GET", "/kv-range?prefix=k/&after=k/599");
    LONGS_EQUAL(101, second["items"].size());
    CHECK_FALSE(second.value("hasMore", true));
}

TEST(standins, a_lapsed_lease_takes_its_keys_along)
{
    auto const kv = start("standin-kv", {});
    auto const id = call_json(kv, "POST", "/kv-lease", {{"ttlMs", 100}}).value("lease", std::uint64_t{0});
    LONGS_EQUAL(200, put(kv, "a", "one", std::nullopt, id));
    CHECK(await_condition(milliseconds{2'000}, [&] {
        return call(kv, {"GET", "/kv-key?key=a"}).status == 404;
    }));
    LONGS_EQUAL(404, call(kv, {"POST", "/kv-keep/" + std::to_string(id)}).status);
}

// Guards against a test that takes a lost answer for a write that did not happen.
TEST(standins, the_proxy_drops_an_answer_after_the_write_took_effect)
{
    auto const kv = start("standin-kv", {});
    auto const [through, control] = start_proxy(kv);
    call_json(control, "POST", "/v1/faults", {{"drop_answers", 1}});
    LONGS_EQUAL(0, put(through, "a", "one"));
    STRCMP_EQUAL("one", value(through, "a").c_str());
}

TEST(standins, the_proxy_holds_cuts_and_delays)
{
    auto const kv = start("standin-kv", {});
    auto const [through, control] = start_proxy(kv);
    put(kv, "a", "one");
    auto const get = [&, where = through] {
        return call(where, {"GET", "/kv-key?key=a"}, milliseconds{300}).status;
    };
    LONGS_EQUAL(200, get());
    for (auto const* fault : {"stall", "hold_answers", "refuse"}) {
        call_json(control, "POST", "/v1/faults", {{fault, true}});
        LONGS_EQUAL(0, get());
        call(control, {"POST", "/v1/clear"});
        LONGS_EQUAL(200, get());
    }
    call_json(control, "POST", "/v1/faults", {{"cut_after", 10}});
    LONGS_EQUAL(0, get());
    call(control, {"POST", "/v1/clear"});
    call_json(control, "POST", "/v1/faults", {{"delay_ms", 60}});
    auto const begun = clock::now();
    LONGS_EQUAL(200, get());
    CHECK(clock::now() - begun >= milliseconds{120});
}

// Guards against weights that differ between store and origin, or between manifest and content.
TEST(standins, store_and_origin_hold_the_same_content)
{
    auto const arguments =
        std::vector<std::string>{"--model", "snow/v2:300000:2:1:1", "--chunk-bytes", "100000"};
    auto const store = start("standin-weights", arguments);
    auto const origin = start("standin-weights", arguments);
    auto const text = call(store, {"GET", "/v1/models/snow/v2/manifest"}).body;
    CHECK(text == call(origin, {"GET", "/v1/models/snow/v2/manifest"}).body);
    auto const manifest = nlohmann::json::parse(text);
    auto whole = std::string{};
    for (auto const& chunk : manifest["chunks"]) {
        auto const digest = chunk["sha256"].get<std::string>();
        auto const bytes = call(origin, {"GET", "/v1/blobs/" + digest}).body;
        CHECK(sha256(bytes) == digest);
        whole += bytes;
    }
    CHECK(sha256(whole) == manifest["sha256"].get<std::string>());
    LONGS_EQUAL(300'000, whole.size());
}

TEST(standins, a_link_sends_no_faster_than_its_rate)
{
    auto const store = start("standin-weights", {"--model", "snow/v1:200000:1", "--rate", "400000"});
    auto const manifest = call_json(store, "GET", "/v1/models/snow/v1/manifest");
    auto const begun = clock::now();
    call(store, {"GET", "/v1/blobs/" + manifest["chunks"][0]["sha256"].get<std::string>()});
    auto const took = std::chrono::duration<double>(clock::now() - begun).count();
    CHECK(took >= 0.45 && took < 1.5);
}

// An engine with loaded weights, which come from a plain HTTP source.
TEST_GROUP_BASE(standin_engine, TEST_GROUP_CppUTestGroupstandins)
{
    address engine;
    address source;

    auto begin(std::vector<std::string> arguments)->void
    {
        arguments.insert(arguments.begin(), {"--token-ms", "2", "--prefill-ms", "2"}); // the last one counts
        engine = start("standin-engine", arguments);
        source =
            start("standin-service", {"--service-ms", "1"}); // any path has a body, so it passes for weights
    }

    auto load(std::string const& version, int fencing)->int
    {
        auto const body =
            nlohmann::json{{"order", "load"},    {"model", "snow"},         {"version", version},
                           {"fencing", fencing}, {"source", source.text()}, {"manifest_digest", "d"}};
        return call(engine, {"POST", "/v1/orders", {}, body.dump()}).status;
    }

    auto complete(std::string const& headers = "")->streamed_response
    {
        auto request = http_request{"POST", "/v1/completions"};
        request.headers.set("X-Request-Id", "r1");
        if (!headers.empty()) request.headers.set("Last-Event-ID", headers);
        request.body = R"({"prompt":"hi","max_tokens":6,"stream":true})";
        return parse_stream(call(engine, std::move(request)));
    }
};

TEST(standin_engine, a_stream_names_prompt_and_weights)
{
    begin({});
    LONGS_EQUAL(503, complete().status);
    LONGS_EQUAL(200, load("v1", 1));
    auto const answer = complete();
    CHECK(answer.whole);
    CHECK(text_is_consistent(answer.text, "hi", 6));
    CHECK(!text_is_consistent(answer.text, "other", 6));
    CHECK(complete("4").body.starts_with("id: 5\n"));
}

TEST(standin_engine, an_old_fencing_number_is_refused_or_ignored)
{
    begin({"--fencing", "enforced"});
    LONGS_EQUAL(200, load("v2", 2));
    LONGS_EQUAL(409, load("v1", 1));
    begin({"--fencing", "ignored"});
    LONGS_EQUAL(200, load("v2", 2));
    LONGS_EQUAL(200, load("v1", 1));
    CHECK(call_json(engine, "GET", "/v1/status")["version"] == "v1");
}

TEST(standin_engine, load_beyond_the_cold_limit_fails_and_is_recorded)
{
    begin({"--cold-limit", "1", "--token-ms", "60"});
    load("v1", 1);
    auto first = std::async(std::launch::async, [&] { return complete(); });
    CHECK(await_condition(milliseconds{2'000},
                          [&] { return call_json(engine, "GET", "/v1/status")["running"] == 1; }));
    LONGS_EQUAL(500, complete().status);
    CHECK(first.get().whole);
    LONGS_EQUAL(1, call_json(engine, "GET", "/v1/records")["violations"].get<int>());
}
