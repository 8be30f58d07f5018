// Responses that never end: bytes that come without limit, or one at a time. The real entry program with
// scripted endpoints.
#include <fstream>
#include <thread>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto memory_limit_kb = 160L * 1024; // of an entry on the smallest host
constexpr auto calls_at_once = 24;
constexpr auto many_calls = 150;

// Which of two equally loaded endpoints gets a call is random. So many calls reach both but once in 2^40
// runs.
constexpr auto calls_until_chosen = 40;

auto head(scripted_request const& request, std::string const& status, std::string const& rest) -> std::string
{
    return "HTTP/1.1 " + status +
           "\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s1\r\n" + rest;
}

auto endless(std::string first, std::string repeated, milliseconds interval = milliseconds{0})
    -> scripted_response
{
    auto response = scripted_response{std::move(first)};
    response.repeated = std::move(repeated);
    response.repeat_interval = interval;
    return response;
}

} // namespace

TEST_GROUP_BASE(endless_responses, direct_entry_base){auto peak_memory_kb() const->long{
    auto status = std::ifstream{"/proc/" + std::to_string(entry.id()) + "/status"};
for (auto line = std::string{}; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::atol(line.c_str() + 6);
return 0;
}

// Calls the endpoint many times at once. Returns the statuses.
auto call_at_once(std::string const& path, std::string const& method, int count = calls_at_once)
    -> std::vector<int>
{
    auto results = std::vector<std::future<int>>{};
    for (auto i = 0; i < count; ++i)
        results.push_back(std::async(std::launch::async, [&, i] {
            auto request = http_request{method, path, {}, method == "POST" ? "{}" : ""};
            request.headers.set("Host", "a.example");
            request.headers.set("X-Hibiscuswall-Attempt-Id", "many-" + std::to_string(i));
            request.headers.set("X-Hibiscuswall-Deadline-Ms", "1500");
            request.headers.set("X-Hibiscuswall-Key", "k1");
            return call(callers, std::move(request)).status;
        }));
    auto statuses = std::vector<int>{};
    for (auto& each : results)
        statuses.push_back(each.get());
    return statuses;
}
}
;

// Guards against an entry whose memory an endpoint fills.
TEST(endless_responses, an_endless_body_ends_its_call_and_leaves_memory_bounded)
{
    auto const chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    auto endpoint = scripted_endpoint{[&](auto const& request) {
        return endless(head(request, "500 Internal Server Error", "Transfer-Encoding: chunked\r\n\r\n"),
                       chunk);
    }};
    start_entry_with({&endpoint});
    for (auto const status : call_at_once("/book/a", "POST"))
        CHECK(status == 502 || status == 503 || status == 504);
    CHECK(peak_memory_kb() < memory_limit_kb);
    CHECK(is_ready());
}

TEST(endless_responses, an_endless_chunk_header_ends_its_call)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return endless(head(request, "200 OK", "Transfer-Encoding: chunked\r\n\r\n5;a="),
                       std::string(4'096, 'y'));
    }};
    start_entry_with({&endpoint});
    auto const begun = clock::now();
    CHECK_EQUAL(502, ask("/book/a", "POST").status);
    CHECK(clock::now() - begun < seconds{1});
    CHECK(await_condition(seconds{2}, [&] { return endpoint.closed() >= 1; }));
}

TEST(endless_responses, endless_interim_responses_end_their_call)
{
    auto endpoint = scripted_endpoint{[](auto const&) {
        return endless("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    }};
    start_entry_with({&endpoint});
    auto const begun = clock::now();
    CHECK_EQUAL(502, ask("/book/a", "POST").status);
    CHECK(clock::now() - begun < seconds{1});
}

// Guards against a call that stays at an endpoint until its deadline because a byte arrives now and then.
TEST(endless_responses, a_retryable_call_leaves_an_endpoint_whose_response_trickles)
{
    auto slow = scripted_endpoint{[](auto const& request) {
        return endless(head(request, "200 OK", "Content-Length: 10000\r\n\r\n"), "z", milliseconds{60});
    }};
    auto sound =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&slow, &sound});
    for (auto i = 0; i < 8 || (i < calls_until_chosen && slow.requests().empty()); ++i) {
        auto const begun = clock::now();
        CHECK_EQUAL(200, ask("/read/a").status);
        CHECK(clock::now() - begun < milliseconds{1'000});
    }
    CHECK(slow.requests().size() >= 1);
}

// Comment lines and parts of an event are no progress of a stream.
TEST(endless_responses, a_stream_leaves_an_engine_that_sends_only_comments)
{
    auto const comments = std::string{"3\r\n:\n\n\r\n"};
    auto silent = scripted_endpoint{[&](auto const& request) {
        return endless(
            head(request, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"),
            comments, milliseconds{100});
    }};
    auto sound = scripted_endpoint{
        [](auto const& request) { return scripted_response{events_from(request, 1, 3) + end_of_chunks}; }};
    start_entry_with({&silent, &sound});
    for (auto i = 0; i < calls_until_chosen && silent.requests().empty(); ++i)
        CHECK(ask("/draft/a", "POST").body.find("id: 3") != std::string::npos);
    CHECK_EQUAL(1U, silent.requests().size());
    CHECK(await_condition(seconds{1}, [&] { return silent.closed() >= 1; }));
}

// Each response is below its own limit. Guards against an entry whose memory many of them fill together, and
// against large responses that make small ones fail.
TEST(endless_responses, many_large_responses_at_once_leave_memory_bounded)
{
    auto const chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    auto faulty = scripted_endpoint{[&](auto const& request) {
        return endless(head(request, "500 Internal Server Error", "Transfer-Encoding: chunked\r\n\r\n"),
                       chunk, milliseconds{10});
    }};
    configure();
    put_endpoint("i-1", faulty, "ready", many_calls);
    start_entry();
    await_ready();
    for (auto const status : call_at_once("/book/a", "POST", many_calls))
        CHECK(status == 502 || status == 504 || status == 503);
    CHECK_TEXT(peak_memory_kb() < memory_limit_kb, std::to_string(peak_memory_kb()).c_str());
    CHECK(entry.running());
}
