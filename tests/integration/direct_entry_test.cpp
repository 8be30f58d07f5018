// An entry on a platform with a shared store: the real program, a stand-in store, and endpoints whose bytes
// this test writes. Each rule that a caller relies on is provoked once.
#include "hibiscuswall/core/base64.hpp"

#include "support/await_condition.hpp"
#include "support/http_caller.hpp"
#include "support/scripted_endpoint.hpp"
#include "support/port_pool.hpp"
#include "support/process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

using nlohmann::json;

auto whole(played_request const& request, std::string const& body, std::string const& extra = "")
    -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s1\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto events_from(played_request const& request, int first, int last) -> std::string
{
    auto body = std::string{};
    for (auto i = first; i <= last; ++i)
        body += "id: " + std::to_string(i) + "\ndata: t\n\n";
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s" + std::to_string(first) +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
           [&] {
               auto size = std::array<char, 16>{};
               std::snprintf(size.data(), size.size(), "%zx", body.size());
               return std::string{size.data()};
           }() +
           "\r\n" + body + "\r\n";
}

auto const end_of_chunks = std::string{"0\r\n\r\n"};

} // namespace

TEST_BASE(direct_base)
{
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("hibiscuswall-direct-" + std::to_string(getpid()));
    address store = port_pool::next();
    address callers = port_pool::next();
    address ready = port_pool::next();
    address peers = port_pool::next();
    process kv;
    process entry;
    std::uint64_t version = 1;
    std::vector<std::string> account_keys{"k1"};
    int calls = 0;

    void setup() override
    {
        std::filesystem::create_directories(folder);
        kv = process{"standin-kv", {"--listen", store.text()}, folder / "kv.log"};
        CHECK(await_condition(seconds{5}, [&] { return call(store, {"GET", "/readyz"}).status == 200; }));
    }

    void teardown() override
    {
        entry.kill();
        kv.kill();
        std::filesystem::remove_all(folder);
    }

    auto start_entry()->void
    {
        auto const settings = json{{"name", "e1"},
                                   {"region", "north"},
                                   {"failure_domain", "north-a"},
                                   {"store", store.text()},
                                   {"peer_listen", peers.text()},
                                   {"caller_listen", callers.text()},
                                   {"ready_listen", ready.text()},
                                   {"regions", {{"north-a", "north"}}},
                                   {"stop_time_ms", 6000},
                                   {"limits", {{"repeat_ratio", 0.2}, {"repeat_reserve", 320}}}};
        std::ofstream{folder / "entry.json"} << settings.dump();
        entry =
            process{"hibiscus-entry", {"--settings", (folder / "entry.json").string()}, folder / "entry.log"};
    }

    auto put(std::string const& key, json const& value)->void
    {
        auto const row = json{{"key", key}, {"value", encode_base64(value.dump())}, {"lease", 0}};
        auto body =
            json{{"expected", json::array()}, {"puts", json::array({row})}, {"remove", json::array()}};
        CHECK_EQUAL(200, call(store, {"POST", "/kv-txn", {}, body.dump()}).status);
    }

    auto remove(std::string const& key)->void
    {
        auto body =
            json{{"expected", json::array()}, {"puts", json::array()}, {"remove", json::array({key})}};
        CHECK_EQUAL(200, call(store, {"POST", "/kv-txn", {}, body.dump()}).status);
    }

    auto configure()->void
    {
        auto const route = [](char const* name, char const* prefix, char const* kind, int attempts) {
            return json{
                {"name", name},      {"host", "a.example"},    {"prefix", prefix},        {"kind", kind},
                {"timeoutMs", 2000}, {"targetLatencyMs", 200}, {"maxAttempts", attempts}, {"service", "s"},
                {"resumable", true}};
        };
        put("op/config",
            json{{"version", version++},
                 {"routes", json::array({route("read", "/read/", "idempotent", 2),
                                         route("book", "/book/", "non_idempotent", 1),
                                         route("draft", "/draft/", "streaming", 2)})},
                 {"services", json::array({json{{"name", "s"}, {"maxConnections", 50}}})},
                 {"tenants", json::array({json{{"name", "guild"}, {"apiKeys", account_keys}}})}});
    }

    auto list(std::string const& id, played_endpoint const& endpoint, std::string const& state = "ready")
        ->void
    {
        put("servers/" + id, json{{"service", "s"},
                                  {"address", endpoint.where().text()},
                                  {"zone", "north-a"},
                                  {"version", "v1"},
                                  {"slots", 4},
                                  {"state", state},
                                  {"sequence", 1}});
    }

    auto is_ready()->bool { return call(ready, {"GET", "/"}).status == 200; }
    auto await_ready()->void
    {
        CHECK(await_condition(seconds{5}, [&] { return is_ready(); }));
    }

    // An entry that serves with these endpoints, i-1 and on.
    auto begin(std::vector<played_endpoint const*> const& endpoints)->void
    {
        configure();
        for (auto i = std::size_t{0}; i < endpoints.size(); ++i)
            list("i-" + std::to_string(i + 1), *endpoints[i]);
        start_entry();
        await_ready();
    }

    auto ask(std::string const& path, std::string const& method = "GET", std::string const& key = "k1")
        ->http_response
    {
        auto request = http_request{method, path, {}, method == "POST" ? "{}" : ""};
        request.headers.set("Host", "a.example");
        request.headers.set("X-Hibiscuswall-Attempt-Id", "call-" + std::to_string(++calls));
        request.headers.set("X-Hibiscuswall-Deadline-Ms", "1500");
        if (!key.empty()) request.headers.set("X-Hibiscuswall-Key", key);
        return call(callers, std::move(request));
    }
};

// ---- what an entry believes

TEST_GROUP_BASE(direct_beliefs, direct_base){};

// Guards against a 404 or 401 from an entry that knows no configuration yet.
TEST(direct_beliefs, without_a_configuration_every_call_is_refused_as_not_run)
{
    start_entry();
    CHECK(await_condition(seconds{5}, [&] { return call(ready, {"GET", "/"}).status == 503; }));
    auto const answer = ask("/read/a");
    CHECK_EQUAL(503, answer.status);
    CHECK(answer.headers.contains("Retry-After"));
    configure();
    await_ready();
    CHECK_EQUAL(503, ask("/read/a").status); // no endpoint yet
    CHECK_EQUAL(404, ask("/elsewhere/a").status);
    CHECK_EQUAL(401, ask("/read/a", "GET", "wrong").status);
    CHECK_EQUAL(401, ask("/read/a", "GET", "").status);
}

TEST(direct_beliefs, leaving_endpoints_and_evacuated_domains_get_nothing_new)
{
    auto endpoint =
        played_endpoint{[](auto const& request) { return played_answer{whole(request, "hello")}; }};
    configure();
    list("i-1", endpoint);
    start_entry();
    await_ready();
    CHECK_EQUAL(200, ask("/read/a").status);
    put("op/evacuate/north-a", json::object());
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 503; }));
    remove("op/evacuate/north-a");
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 200; }));
    list("i-1", endpoint, "draining");
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 503; }));
    put("servers/i-1", json{{"service", 7}}); // an entry of another writer
    list("i-2", endpoint);
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 200; }));
}

// Guards against an entry that goes on with an old configuration when history is lost while it watches.
TEST(direct_beliefs, lost_history_is_read_again)
{
    configure();
    start_entry();
    await_ready();
    call_json(store, "POST", "/v1/fault", json{{"compact", true}});
    put("op/config", json{{"version", 9}, {"routes", json::array()}, {"services", json::array()}});
    CHECK(await_condition(seconds{4}, [&] { return ask("/read/a").status == 404; }));
}

// Guards against an account that is served on with a key that operators took back.
TEST(direct_beliefs, a_revoked_key_is_refused)
{
    auto endpoint =
        played_endpoint{[](auto const& request) { return played_answer{whole(request, "hello")}; }};
    configure();
    list("i-1", endpoint);
    start_entry();
    await_ready();
    CHECK_EQUAL(200, ask("/read/a").status);
    account_keys = {"k2"};
    configure();
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 401; }));
    CHECK_EQUAL(200, ask("/read/a", "GET", "k2").status);
}

// Guards against an entry that counts as ready, or says that a route is unknown, because the store was away
// when it started, and against one that does not find the store again.
TEST(direct_beliefs, an_entry_that_starts_without_the_store_serves_once_the_store_is_back)
{
    auto endpoint =
        played_endpoint{[](auto const& request) { return played_answer{whole(request, "hello")}; }};
    configure();
    list("i-1", endpoint);
    call_json(store, "POST", "/v1/fault", json{{"unavailable", true}});
    start_entry();
    CHECK(await_condition(seconds{5}, [&] { return call(ready, {"GET", "/"}).status == 503; }));
    CHECK_EQUAL(503, ask("/read/a").status);
    std::this_thread::sleep_for(milliseconds{500});
    CHECK(!is_ready());
    call_json(store, "POST", "/v1/fault", json::object());
    CHECK(await_condition(seconds{3}, [&] { return is_ready(); }));
    CHECK_EQUAL(200, ask("/read/a").status);
}

// ---- one call

TEST_GROUP_BASE(direct_calls, direct_base){};

TEST(direct_calls, an_endpoint_gets_the_call_without_the_key_and_the_caller_its_answer_unchanged)
{
    auto endpoint =
        played_endpoint{[](auto const& request) { return played_answer{whole(request, "hello")}; }};
    begin({&endpoint});
    auto const answer = ask("/book/x?y=1", "POST");
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL("hello", answer.body.c_str());
    STRCMP_EQUAL("s1", std::string{answer.headers.find("X-Hibiscuswall-Response-Signature")}.c_str());
    auto const got = endpoint.requests().front();
    STRCMP_EQUAL("POST /book/x?y=1 HTTP/1.1", got.line.c_str());
    STRCMP_EQUAL("{}", got.body.c_str());
    STRCMP_EQUAL("a.example", got.header("host").c_str());
    STRCMP_EQUAL("guild", got.header("x-hibiscuswall-tenant").c_str());
    STRCMP_EQUAL("i-1", got.header("x-hibiscuswall-expect-instance").c_str());
    STRCMP_EQUAL("", got.header("x-hibiscuswall-key").c_str());
    auto const left = std::atoi(got.header("x-hibiscuswall-deadline-ms").c_str());
    CHECK(left > 1'000 && left <= 1'500);
}

// Guards against a booking that is made twice, and against "not run" where it may have run.
TEST(direct_calls, a_call_that_may_have_run_is_not_sent_again_and_not_called_refused)
{
    auto const cut = [](auto const& request) {
        return played_answer{whole(request, "hello").substr(0, 60), true};
    };
    auto one = played_endpoint{cut};
    auto two = played_endpoint{cut};
    begin({&one, &two});
    CHECK_EQUAL(502, ask("/book/x", "POST").status);
    CHECK_EQUAL(1U, one.requests().size() + two.requests().size());
}

TEST(direct_calls, a_call_that_may_run_again_goes_to_another_endpoint)
{
    auto one = played_endpoint{[](auto const&) { return played_answer{"no answer", true}; }};
    auto two = played_endpoint{[](auto const& request) { return played_answer{whole(request, "hello")}; }};
    begin({&one, &two});
    for (auto i = 0; i < 6; ++i)
        CHECK_EQUAL(200, ask("/read/x").status);
}

TEST(direct_calls, a_refusal_of_every_endpoint_is_a_true_refusal)
{
    auto const refuse = [](auto const& request) {
        return played_answer{"HTTP/1.1 503 Service Unavailable\r\nX-Hibiscuswall-Attempt-Id: " +
                             request.header("x-hibiscuswall-attempt-id") +
                             "\r\nX-Hibiscuswall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    };
    auto one = played_endpoint{refuse};
    auto two = played_endpoint{refuse};
    begin({&one, &two});
    auto const answer = ask("/book/x", "POST");
    CHECK_EQUAL(503, answer.status);
    CHECK(answer.headers.contains("Retry-After"));
    CHECK_EQUAL(2U, one.requests().size() + two.requests().size());
}

// Guards against bytes after an answer, and a late second answer, that reach the next caller.
TEST(direct_calls, bytes_that_belong_to_no_call_reach_nobody)
{
    auto endpoint = played_endpoint{[](auto const& request) {
        return played_answer{whole(request, "hello") + whole(request, "again") + "rest"};
    }};
    begin({&endpoint});
    for (auto i = 0; i < 10; ++i) {
        auto const answer = ask("/read/x");
        CHECK_EQUAL(200, answer.status);
        STRCMP_EQUAL("hello", answer.body.c_str());
        STRCMP_EQUAL(("call-" + std::to_string(calls)).c_str(),
                     std::string{answer.headers.find("X-Hibiscuswall-Attempt-Id")}.c_str());
    }
}

TEST(direct_calls, a_success_without_a_signature_is_no_success)
{
    auto endpoint = played_endpoint{
        [](auto const&) { return played_answer{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"}; }};
    begin({&endpoint});
    CHECK_EQUAL(502, ask("/book/x", "POST").status);
}

// Guards against an idempotent call that waits for a dead endpoint until its deadline.
TEST(direct_calls, a_silent_endpoint_is_given_up_for_another)
{
    auto one = played_endpoint{[](auto const& request) {
        return played_answer{whole(request, "slow"), false, milliseconds{1'200}};
    }};
    auto two = played_endpoint{[](auto const& request) { return played_answer{whole(request, "quick")}; }};
    begin({&one, &two});
    for (auto i = 0; i < 4; ++i) {
        auto const begun = clock::now();
        auto const answer = ask("/read/x");
        CHECK_EQUAL(200, answer.status);
        CHECK(clock::now() - begun < milliseconds{900});
    }
}

// Guards against an endpoint that works on for a caller who left.
TEST(direct_calls, a_caller_who_leaves_ends_the_call_at_its_endpoint)
{
    auto one = played_endpoint{[](auto const&) { return played_answer{}; }}; // never answers
    begin({&one});
    auto request = http_request{"POST", "/book/x", {}, "{}"}; // not given up for another endpoint
    request.headers.set("Host", "a.example");
    request.headers.set("X-Hibiscuswall-Attempt-Id", "call-gone");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "1500");
    request.headers.set("X-Hibiscuswall-Key", "k1");
    call(callers, std::move(request), milliseconds{200});
    CHECK(await_condition(milliseconds{500}, [&] { return one.closed() == 1; }));
    CHECK_EQUAL(1U, one.requests().size());
}

// Guards against endpoints that are handed more time than the caller has left, also when a call is sent
// again.
TEST(direct_calls, an_endpoint_gets_no_more_time_than_is_left)
{
    auto slow = played_endpoint{[](auto const&) { return played_answer{}; }};
    auto quick = played_endpoint{[](auto const& request) { return played_answer{whole(request, "quick")}; }};
    begin({&slow, &quick});
    CHECK(await_condition(seconds{5}, [&] {
        ask("/read/x");
        return !slow.requests().empty() && !quick.requests().empty();
    }));
    auto const time_of = [](played_request const& request) {
        return std::atoi(request.header("x-hibiscuswall-deadline-ms").c_str());
    };
    auto again = 0; // sent to the second endpoint after the first was silent
    for (auto const& first : slow.requests()) {
        CHECK(time_of(first) > 0);
        CHECK(time_of(first) <= 1'500);
        for (auto const& second : quick.requests()) {
            if (second.header("x-hibiscuswall-attempt-id") != first.header("x-hibiscuswall-attempt-id"))
                continue;
            CHECK(time_of(second) <= time_of(first) - 200); // silence is noticed after 250 ms
            ++again;
        }
    }
    CHECK(again > 0);
}

// Guards against a caller who is left without an answer when its own deadline is longer than the route's
// time.
TEST(direct_calls, a_call_ends_at_the_time_of_its_route)
{
    auto silent = played_endpoint{[](auto const&) { return played_answer{}; }};
    begin({&silent});
    auto request = http_request{"POST", "/book/x", {}, "{}"};
    request.headers.set("Host", "a.example");
    request.headers.set("X-Hibiscuswall-Attempt-Id", "call-long");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "8000");
    request.headers.set("X-Hibiscuswall-Key", "k1");
    auto const begun = clock::now();
    auto const answer = call(callers, std::move(request), milliseconds{8'000});
    CHECK_EQUAL(504, answer.status); // it may have run
    CHECK(clock::now() - begun >= milliseconds{1'900});
    CHECK(clock::now() - begun <= milliseconds{2'500}); // the route's 2 s and half a second
}

// Guards against an endpoint that works past the caller's deadline because the call waited in the socket of
// an entry that was paused, or that lacked the processor time to read it.
TEST(direct_calls, time_that_a_call_waited_unread_is_not_handed_on)
{
    auto endpoint =
        played_endpoint{[](auto const& request) { return played_answer{whole(request, "hello")}; }};
    begin({&endpoint});
    CHECK_EQUAL(200, ask("/read/first").status);
    entry.send_signal(SIGSTOP);
    auto answer = std::async(std::launch::async, [&] { return ask("/read/waited"); });
    std::this_thread::sleep_for(milliseconds{800});
    entry.send_signal(SIGCONT);
    CHECK_EQUAL(200, answer.get().status);
    auto const left = std::atoi(endpoint.requests().back().header("x-hibiscuswall-deadline-ms").c_str());
    CHECK_TEXT(left > 0 && left <= 750, std::to_string(left).c_str()); // 1500 less the pause
}

// ---- streams

TEST_GROUP_BASE(direct_streams, direct_base){};

// Guards against events that are missing, doubled or cut when an endpoint breaks off within one.
TEST(direct_streams, a_stream_goes_on_elsewhere_after_its_last_whole_event)
{
    auto const play = [](played_request const& request) {
        auto const after = request.header("last-event-id");
        if (after.empty()) {
            auto begun = events_from(request, 1, 3);
            begun.resize(begun.size() - 9); // within the third event
            return played_answer{begun, true};
        }
        return played_answer{events_from(request, std::atoi(after.c_str()) + 1, 5) + end_of_chunks};
    };
    auto one = played_endpoint{play};
    auto two = played_endpoint{play};
    begin({&one, &two});
    auto const answer = ask("/draft/x", "POST");
    CHECK_EQUAL(200, answer.status);
    auto expected = std::string{};
    for (auto i = 1; i <= 5; ++i)
        expected += "id: " + std::to_string(i) + "\ndata: t\n\n";
    STRCMP_EQUAL(expected.c_str(), answer.body.c_str());
    STRCMP_EQUAL("s1", std::string{answer.headers.find("X-Hibiscuswall-Response-Signature")}.c_str());
}

// Guards against a stream that looks complete although its endpoint broke off.
TEST(direct_streams, a_stream_that_cannot_go_on_does_not_look_whole)
{
    auto endpoint = played_endpoint{[](auto const& request) {
        return played_answer{events_from(request, 1, 2), true};
    }};
    begin({&endpoint});
    auto const answer = ask("/draft/x", "POST");
    CHECK_EQUAL(0, answer.status); // the test's client reports a cut answer as none
}

// ---- stopping

TEST_GROUP_BASE(direct_stop, direct_base){};

// Guards against a planned stop that cuts what was read.
TEST(direct_stop, running_calls_end_and_new_ones_are_served_while_the_balancer_still_sends)
{
    auto endpoint = played_endpoint{[](auto const& request) {
        return played_answer{whole(request, "hello"), false, milliseconds{400}};
    }};
    configure();
    list("i-1", endpoint);
    start_entry();
    await_ready();
    auto running = std::async(std::launch::async, [&] { return ask("/book/x", "POST").status; });
    CHECK(await_condition(seconds{2}, [&] { return !endpoint.requests().empty() || calls > 0; }));
    entry.send_signal(SIGHUP); // a reload cuts nothing either
    entry.send_signal(SIGTERM);
    CHECK_EQUAL(200, running.get());
    CHECK(await_condition(seconds{2}, [&] { return !is_ready(); }));
    auto const late = ask("/book/y", "POST");
    CHECK_EQUAL(200, late.status);
    CHECK_EQUAL(0, entry.wait(seconds{6}).value_or(-1));
}
