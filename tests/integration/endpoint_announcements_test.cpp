// What endpoints say about themselves in their responses: that they leave, or that they want a pause. The
// real entry program with scripted endpoints.
#include <thread>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto calls_to_each = 12;

auto rejection(scripted_request const& request, std::string const& extra) -> std::string
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Hibiscuswall-Attempt-Id: " +
           request.header("x-hibiscuswall-attempt-id") + "\r\nX-Hibiscuswall-Not-Executed: 1\r\n" + extra +
           "Content-Length: 0\r\n\r\n";
}

auto count_of(scripted_endpoint& endpoint) -> std::size_t { return endpoint.requests().size(); }

} // namespace

TEST_GROUP_BASE(leaving_endpoints, direct_entry_base){
    // Calls until the endpoint has received one.
    auto call_until_received(scripted_endpoint & endpoint, std::string const& path)
        ->void{CHECK(await_condition(seconds{3}, [&] {
            std::ignore = ask(path);
            return count_of(endpoint) > 0;
        }));
}
}
;

// Guards against calls that reach an endpoint after it said in a response that it is leaving, while its
// record still says that it is ready.
TEST(leaving_endpoints, after_a_response_that_announces_it_they_get_no_further_call)
{
    auto leaving = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_ok(request, "last", "Server-Leaving: 1\r\n")};
    }};
    auto staying =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&leaving, &staying});
    call_until_received(leaving, "/read/a");
    for (auto i = 0; i < calls_to_each; ++i)
        CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(1U, count_of(leaving));

    // Its record is deleted and written again for the same run, as after an outage of the store.
    remove("servers/i-1");
    put_endpoint("i-1", leaving);
    std::this_thread::sleep_for(milliseconds{1'000}); // longer than the entry gathers changes of records
    for (auto i = 0; i < calls_to_each; ++i)
        CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(1U, count_of(leaving));
}

// The head of a stream announces the departure. The stream still ends normally.
TEST(leaving_endpoints, a_stream_whose_head_announces_it_is_delivered_completely)
{
    auto leaving = scripted_endpoint{[](auto const& request) {
        auto bytes = events_from(request, 1, 3) + end_of_chunks;
        bytes.insert(bytes.find("\r\n") + 2, "Server-Leaving: 1\r\n");
        return scripted_response{bytes};
    }};
    start_entry_with({&leaving});
    auto const response = ask("/draft/a", "POST");
    CHECK_EQUAL(200, response.status);
    CHECK(response.body.find("id: 3") != std::string::npos);
    CHECK_EQUAL(503, ask("/draft/a", "POST").status);
    CHECK_EQUAL(1U, count_of(leaving));
}

// Guards against a call that was not run being reported otherwise when the endpoint that rejects it is
// leaving.
TEST(leaving_endpoints, a_rejection_that_announces_it_sends_the_call_elsewhere)
{
    auto leaving = scripted_endpoint{
        [](auto const& request) { return scripted_response{rejection(request, "Server-Leaving: 1\r\n")}; }};
    auto staying =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entry_with({&leaving, &staying});
    for (auto i = 0; i < 2 * calls_to_each; ++i)
        CHECK_EQUAL(200, ask("/book/a", "POST").status);
    CHECK(count_of(leaving) <= 1);
}

TEST_GROUP_BASE(endpoints_that_ask_for_a_pause, direct_entry_base){};

// Guards against calls to an endpoint that answered 503 with Retry-After, within the time that it stated.
TEST(endpoints_that_ask_for_a_pause, they_get_no_call_until_it_has_passed)
{
    auto overloaded = scripted_endpoint{
        [](auto const& request) { return scripted_response{rejection(request, "Retry-After: 1.5\r\n")}; }};
    start_entry_with({&overloaded});
    CHECK_EQUAL(503, ask("/read/a").status);
    auto const asked_at = clock::now();
    auto const before = count_of(overloaded);
    while (clock::now() - asked_at < milliseconds{1'200}) {
        auto const response = ask("/read/a");
        // Rejected at once, with the time at which the endpoint accepts calls again.
        CHECK_EQUAL(503, response.status);
        CHECK(std::atof(std::string{response.headers.find("Retry-After")}.c_str()) > 0.1);
        std::this_thread::sleep_for(milliseconds{50});
    }
    CHECK_EQUAL(before, count_of(overloaded));
    std::this_thread::sleep_until(asked_at + milliseconds{1'600});
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK(count_of(overloaded) > before);
}

// Guards against an endpoint that is given up for ever, or an entry that ends, because of an odd number.
TEST(endpoints_that_ask_for_a_pause, a_number_that_cannot_be_read_asks_for_none)
{
    for (auto const* odd : {"abc", "-3", "nan", "", "1 second", "0"}) {
        auto headers = http_headers{};
        headers.set("Retry-After", odd);
        CHECK(!platform::decode_response(503, headers).backoff);
    }
    auto huge = http_headers{};
    huge.set("Retry-After", "1e300");
    CHECK(platform::decode_response(503, huge).backoff == milliseconds{600'000});
    auto fraction = http_headers{};
    fraction.set("Retry-After", "0.25");
    CHECK(platform::decode_response(503, fraction).backoff == milliseconds{250});
}
