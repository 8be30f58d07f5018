// hibiscus-entry on a platform with a shared store: the real program, a stand-in store, and scripted
// endpoints. Each guarantee to callers is tested once.
#include <csignal>
#include <future>
#include <set>
#include <thread>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

// ---- configuration and endpoint records

TEST_GROUP_BASE(direct_entry_state, direct_entry_base){};

// Guards against status 404 or 401 from an entry that has no configuration yet.
TEST(direct_entry_state, without_a_configuration_every_call_is_rejected_with_503)
{
    start_entry();
    CHECK(await_condition(seconds{5}, [&] { return call(ready, {"GET", "/"}).status == 503; }));
    auto const response = ask("/read/a");
    CHECK_EQUAL(503, response.status);
    CHECK(response.headers.contains("Retry-After"));
    configure();
    await_ready();
    CHECK_EQUAL(503, ask("/read/a").status); // no endpoint yet
    CHECK_EQUAL(404, ask("/elsewhere/a").status);
    CHECK_EQUAL(401, ask("/read/a", "GET", "wrong").status);
    CHECK_EQUAL(401, ask("/read/a", "GET", "").status);
}

TEST(direct_entry_state, draining_endpoints_and_evacuated_domains_get_no_new_calls)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    configure();
    put_endpoint("i-1", endpoint);
    start_entry();
    await_ready();
    CHECK_EQUAL(200, ask("/read/a").status);
    put("op/evacuate/north-a", json::object());
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 503; }));
    remove("op/evacuate/north-a");
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 200; }));
    put_endpoint("i-1", endpoint, "draining");
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 503; }));
    put("servers/i-1", json{{"service", 7}}); // a record of another writer
    put_endpoint("i-2", endpoint);
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 200; }));
}

// Guards against an entry that keeps an old configuration when the store compacts its history during a watch.
TEST(direct_entry_state, after_lost_history_the_configuration_is_read_again)
{
    configure();
    start_entry();
    await_ready();
    call_json(store, "POST", "/v1/fault", json{{"compact", true}});
    put("op/config", json{{"version", 9}, {"routes", json::array()}, {"services", json::array()}});
    CHECK(await_condition(seconds{4}, [&] { return ask("/read/a").status == 404; }));
}

// The store drops a change with its history and tells a waiting watch nothing. Guards against an entry that
// waits for the end of a long watch meanwhile; a host is expected to be up to date 3 s after the store has
// settled.
TEST(direct_entry_state, a_change_that_a_silent_watch_misses_is_read_within_the_settle_time)
{
    configure();
    start_entry();
    await_ready();
    call_json(store, "POST", "/v1/fault", json{{"silent_watches", true}});
    put("op/config", json{{"version", 9}, {"routes", json::array()}, {"services", json::array()}});
    call_json(store, "POST", "/v1/fault", json{{"silent_watches", true}, {"compact", true}});
    CHECK(await_condition(seconds{3}, [&] { return ask("/read/a").status == 404; }));
}

// Guards against calls that are still served with a key that operators have revoked.
TEST(direct_entry_state, a_call_with_a_revoked_key_gets_401)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    configure();
    put_endpoint("i-1", endpoint);
    start_entry();
    await_ready();
    CHECK_EQUAL(200, ask("/read/a").status);
    account_keys = {"k2"};
    configure();
    CHECK(await_condition(seconds{2}, [&] { return ask("/read/a").status == 401; }));
    CHECK_EQUAL(200, ask("/read/a", "GET", "k2").status);
}

// The store is unavailable when the entry starts. Guards against an entry that reports ready or an unknown
// route meanwhile, and against one that does not reconnect to the store.
TEST(direct_entry_state, an_entry_that_starts_without_the_store_serves_once_the_store_is_back)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    configure();
    put_endpoint("i-1", endpoint);
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

TEST_GROUP_BASE(direct_calls, direct_entry_base){};

TEST(direct_calls, an_endpoint_gets_the_call_without_the_key_and_the_caller_gets_its_response_unchanged)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&endpoint});
    auto const response = ask("/book/x?y=1", "POST");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL("hello", response.body.c_str());
    STRCMP_EQUAL("s1", std::string{response.headers.find("X-Hibiscuswall-Response-Signature")}.c_str());
    auto const received = endpoint.requests().front();
    STRCMP_EQUAL("POST /book/x?y=1 HTTP/1.1", received.line.c_str());
    STRCMP_EQUAL("{}", received.body.c_str());
    STRCMP_EQUAL("a.example", received.header("host").c_str());
    STRCMP_EQUAL("guild", received.header("x-hibiscuswall-tenant").c_str());
    STRCMP_EQUAL("i-1", received.header("x-hibiscuswall-expect-instance").c_str());
    STRCMP_EQUAL("", received.header("x-hibiscuswall-key").c_str());
    auto const remaining = std::atoi(received.header("x-hibiscuswall-deadline-ms").c_str());
    CHECK(remaining > 1'000 && remaining <= 1'500);
}

// Guards against a booking that is made twice, and against a response that says "not run" for a call that may
// have run.
TEST(direct_calls, a_call_that_may_have_run_is_not_retried_and_gets_502)
{
    auto const cut = [](auto const& request) {
        return scripted_response{signed_ok(request, "hello").substr(0, 60), true};
    };
    auto one = scripted_endpoint{cut};
    auto two = scripted_endpoint{cut};
    start_entry_with({&one, &two});
    CHECK_EQUAL(502, ask("/book/x", "POST").status);
    CHECK_EQUAL(1U, one.requests().size() + two.requests().size());
}

TEST(direct_calls, a_retryable_call_is_sent_to_another_endpoint_after_a_failure)
{
    auto one = scripted_endpoint{[](auto const&) { return scripted_response{"no answer", true}; }};
    auto two =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&one, &two});
    for (auto i = 0; i < 6; ++i)
        CHECK_EQUAL(200, ask("/read/x").status);
}

TEST(direct_calls, a_call_rejected_by_every_endpoint_gets_503)
{
    auto const reject = [](auto const& request) {
        return scripted_response{"HTTP/1.1 503 Service Unavailable\r\nX-Hibiscuswall-Attempt-Id: " +
                                 request.header("x-hibiscuswall-attempt-id") +
                                 "\r\nX-Hibiscuswall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    };
    auto one = scripted_endpoint{reject};
    auto two = scripted_endpoint{reject};
    start_entry_with({&one, &two});
    auto const response = ask("/book/x", "POST");
    CHECK_EQUAL(503, response.status);
    CHECK(response.headers.contains("Retry-After"));
    CHECK_EQUAL(2U, one.requests().size() + two.requests().size());
}

// Guards against excess bytes after a response, and a second response, that reach the next caller.
TEST(direct_calls, bytes_that_belong_to_no_call_reach_no_caller)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_ok(request, "hello") + signed_ok(request, "again") + "rest"};
    }};
    start_entry_with({&endpoint});
    for (auto i = 0; i < 10; ++i) {
        auto const response = ask("/read/x");
        CHECK_EQUAL(200, response.status);
        STRCMP_EQUAL("hello", response.body.c_str());
        STRCMP_EQUAL(("call-" + std::to_string(calls)).c_str(),
                     std::string{response.headers.find("X-Hibiscuswall-Attempt-Id")}.c_str());
    }
}

TEST(direct_calls, a_success_without_a_signature_gets_502)
{
    auto endpoint = scripted_endpoint{
        [](auto const&) { return scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"}; }};
    start_entry_with({&endpoint});
    CHECK_EQUAL(502, ask("/book/x", "POST").status);
}

// Guards against an answer whose status is 000 that reaches the caller. What may have run is not sent again.
TEST(direct_calls, an_answer_without_a_valid_status_is_a_failure_of_its_endpoint)
{
    auto broken = scripted_endpoint{[](auto const& request) {
        auto bytes = signed_ok(request, "hello");
        return scripted_response{bytes.replace(bytes.find("200"), 3, "000")};
    }};
    auto sound =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&broken});
    CHECK_EQUAL(502, ask("/book/a", "POST").status);
    CHECK_EQUAL(1U, broken.requests().size());
    put_endpoint("i-2", sound);
    CHECK(await_condition(seconds{3}, [&] { return ask("/read/a").status == 200; }));
    for (auto i = 0; i < 6; ++i)
        CHECK_EQUAL(200, ask("/read/a").status);
}

// Guards against an idempotent call that waits for a stalled endpoint until its deadline.
TEST(direct_calls, a_call_to_a_stalled_endpoint_is_retried_at_another)
{
    auto one = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_ok(request, "slow"), false, milliseconds{1'200}};
    }};
    auto two =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "quick")}; }};
    start_entry_with({&one, &two});
    for (auto i = 0; i < 4; ++i) {
        auto const started_at = clock::now();
        auto const response = ask("/read/x");
        CHECK_EQUAL(200, response.status);
        CHECK(clock::now() - started_at < milliseconds{900});
    }
}

// Guards against an endpoint that keeps working for a caller that has disconnected.
TEST(direct_calls, a_disconnected_caller_ends_the_call_at_its_endpoint)
{
    auto one = scripted_endpoint{[](auto const&) { return scripted_response{}; }}; // never responds
    start_entry_with({&one});
    auto request = http_request{"POST", "/book/x", {}, "{}"}; // not retried at another endpoint
    request.headers.set("Host", "a.example");
    request.headers.set("X-Hibiscuswall-Attempt-Id", "call-gone");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "1500");
    request.headers.set("X-Hibiscuswall-Key", "k1");
    call(callers, std::move(request), milliseconds{200});
    CHECK(await_condition(milliseconds{500}, [&] { return one.closed() == 1; }));
    CHECK_EQUAL(1U, one.requests().size());
}

// Guards against endpoints that get a longer deadline than the caller has remaining, also in retries.
TEST(direct_calls, an_endpoint_gets_no_longer_deadline_than_remains_for_the_caller)
{
    auto slow = scripted_endpoint{[](auto const&) { return scripted_response{}; }};
    auto quick =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "quick")}; }};
    start_entry_with({&slow, &quick});
    CHECK(await_condition(seconds{5}, [&] {
        ask("/read/x");
        return !slow.requests().empty() && !quick.requests().empty();
    }));
    auto const time_of = [](scripted_request const& request) {
        return std::atoi(request.header("x-hibiscuswall-deadline-ms").c_str());
    };
    auto retries = 0; // sent to the second endpoint after the first had stalled
    for (auto const& first : slow.requests()) {
        CHECK(time_of(first) > 0);
        CHECK(time_of(first) <= 1'500);
        for (auto const& second : quick.requests()) {
            if (second.header("x-hibiscuswall-attempt-id") != first.header("x-hibiscuswall-attempt-id"))
                continue;
            CHECK(time_of(second) <= time_of(first) - 200); // a stall is detected after 250 ms
            ++retries;
        }
    }
    CHECK(retries > 0);
}

// Guards against a caller that gets no response because its own deadline is longer than the route's timeout.
TEST(direct_calls, a_call_ends_at_the_timeout_of_its_route)
{
    auto stalled = scripted_endpoint{[](auto const&) { return scripted_response{}; }};
    start_entry_with({&stalled});
    auto request = http_request{"POST", "/book/x", {}, "{}"};
    request.headers.set("Host", "a.example");
    request.headers.set("X-Hibiscuswall-Attempt-Id", "call-long");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "8000");
    request.headers.set("X-Hibiscuswall-Key", "k1");
    auto const started_at = clock::now();
    auto const response = call(callers, std::move(request), milliseconds{8'000});
    CHECK_EQUAL(504, response.status); // it may have run
    CHECK(clock::now() - started_at >= milliseconds{1'900});
    CHECK(clock::now() - started_at <= milliseconds{2'500}); // the route's timeout of 2 s plus 500 ms
}

// The call waits unread in the socket of an entry that is paused or has too little CPU time. Guards against
// an endpoint that works past the caller's deadline because that wait is not subtracted.
TEST(direct_calls, the_deadline_sent_to_an_endpoint_excludes_time_that_the_call_waited_in_the_socket)
{
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&endpoint});
    CHECK_EQUAL(200, ask("/read/first").status);
    entry.send_signal(SIGSTOP);
    auto response = std::async(std::launch::async, [&] { return ask("/read/waited"); });
    std::this_thread::sleep_for(milliseconds{800});
    entry.send_signal(SIGCONT);
    CHECK_EQUAL(200, response.get().status);
    auto const remaining = std::atoi(endpoint.requests().back().header("x-hibiscuswall-deadline-ms").c_str());
    CHECK_TEXT(remaining > 0 && remaining <= 750,
               std::to_string(remaining).c_str()); // 1500 ms minus the pause
}

// ---- streams

TEST_GROUP_BASE(direct_streams, direct_entry_base){};

// Guards against missing, duplicate or truncated events when an endpoint disconnects within an event.
TEST(direct_streams, a_stream_resumes_at_another_endpoint_after_its_last_complete_event)
{
    auto const respond = [](scripted_request const& request) {
        auto const after = request.header("last-event-id");
        if (after.empty()) {
            auto truncated = events_from(request, 1, 3);
            truncated.resize(truncated.size() - 9); // within the third event
            return scripted_response{truncated, true};
        }
        return scripted_response{events_from(request, std::atoi(after.c_str()) + 1, 5) + end_of_chunks};
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_entry_with({&one, &two});
    auto const response = ask("/draft/x", "POST");
    CHECK_EQUAL(200, response.status);
    auto expected = std::string{};
    for (auto i = 1; i <= 5; ++i)
        expected += "id: " + std::to_string(i) + "\ndata: t\n\n";
    STRCMP_EQUAL(expected.c_str(), response.body.c_str());
    STRCMP_EQUAL("s1", std::string{response.headers.find("X-Hibiscuswall-Response-Signature")}.c_str());
}

// Guards against a stream that looks complete although its endpoint disconnected.
TEST(direct_streams, a_stream_that_cannot_resume_does_not_look_complete)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{events_from(request, 1, 2), true};
    }};
    start_entry_with({&endpoint});
    auto const response = ask("/draft/x", "POST");
    CHECK_EQUAL(0, response.status); // the test's client reports a truncated response as status 0
}

// ---- stopping

TEST_GROUP_BASE(direct_stop, direct_entry_base){
    // Routes whose calls may last longer than the stop.
    auto configure_slow_routes()->void{auto const route = [](char const* name, char const* prefix,
                                                             char const* kind) {
        return json{{"name", name},        {"host", "a.example"},    {"prefix", prefix}, {"kind", kind},
                    {"timeoutMs", 20'000}, {"targetLatencyMs", 200}, {"maxAttempts", 2}, {"service", "s"}};
    };
auto document = json{{"version", version++}};
document["routes"] = json::array();
document["routes"].push_back(route("read", "/read/", "idempotent"));
document["routes"].push_back(route("book", "/book/", "non_idempotent"));
document["services"] = json::array();
document["services"].push_back(json{{"name", "s"}, {"maxConnections", 50}});
document["tenants"] = json::array();
document["tenants"].push_back(json{{"name", "guild"}, {"apiKeys", account_keys}});
put("op/config", document);
}

auto ask_patiently(std::string const& path, std::string const& method) -> std::future<int>
{
    auto request = next_request(path, method);
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "15000");
    return std::async(std::launch::async, [this, request] { return call(callers, request).status; });
}
}
;

// Guards against a planned stop that aborts calls already received.
TEST(direct_stop,
     during_a_planned_stop_running_calls_finish_and_new_calls_are_served_while_the_balancer_still_sends)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_ok(request, "hello"), false, milliseconds{400}};
    }};
    configure();
    put_endpoint("i-1", endpoint);
    start_entry();
    await_ready();
    auto running = std::async(std::launch::async, [&] { return ask("/book/x", "POST").status; });
    CHECK(await_condition(seconds{2}, [&] { return !endpoint.requests().empty() || calls > 0; }));
    entry.send_signal(SIGHUP); // a reload aborts no calls either
    entry.send_signal(SIGTERM);
    CHECK_EQUAL(200, running.get());
    CHECK(await_condition(seconds{2}, [&] { return !is_ready(); }));
    auto const late = ask("/book/y", "POST");
    CHECK_EQUAL(200, late.status);
    CHECK_EQUAL(0, entry.wait(seconds{6}).value_or(-1));
}

// Guards against calls that are taken during a planned stop, passed on, and cut without an answer when the
// stop's time is over; also those that must not be sent twice, and those that still wait for a slot.
TEST(direct_stop, calls_that_outlast_a_planned_stop_get_an_answer)
{
    constexpr auto count = 30; // more than the endpoint takes at once
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_ok(request, "late"), false, milliseconds{7'000}};
    }};
    entry_settings["stop_time_ms"] = 5'000; // the callers of this test wait for 5 s
    configure_slow_routes();
    put_endpoint("i-1", endpoint);
    start_entry();
    await_ready();
    entry.send_signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{300});
    auto answers = std::map<std::string, std::future<int>>{}; // by call id
    for (auto i = 0; i < count; ++i) {
        auto answer = ask_patiently(i % 2 == 0 ? "/book/x" : "/read/x", i % 2 == 0 ? "POST" : "GET");
        answers.emplace("call-" + std::to_string(calls), std::move(answer));
    }
    auto statuses = std::map<std::string, int>{};
    for (auto& [id, answer] : answers)
        statuses[id] = answer.get();
    CHECK_EQUAL(0, entry.wait(seconds{3}).value_or(-1));

    auto sent = std::set<std::string>{};
    for (auto const& request : endpoint.requests()) {
        sent.insert(request.header("x-hibiscuswall-attempt-id"));
        // What is left of the stop, not of the caller's time.
        CHECK(std::stoi(request.header("x-hibiscuswall-deadline-ms")) <= 5'000);
    }
    CHECK(!sent.empty() && sent.size() < count);
    for (auto const& [id, status] : statuses) {
        // One that may have run is not said not to have run.
        auto const expected = sent.contains(id) ? 504 : 503;
        CHECK_EQUAL_TEXT(expected, status, id.c_str());
    }
}
