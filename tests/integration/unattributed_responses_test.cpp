// Rejections and other responses that an endpoint writes once more or without a call id. The real entry
// program with scripted endpoints. A caller may be told "not run" only by the response to its own call.
#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto late = milliseconds{60}; // between a response and what the endpoint sends after it

auto id_line(std::string const& call_id) -> std::string
{
    return call_id.empty() ? "" : "X-Hibiscuswall-Attempt-Id: " + call_id + "\r\n";
}

auto rejection_of(std::string const& call_id) -> std::string
{
    return "HTTP/1.1 503 Service Unavailable\r\n" + id_line(call_id) +
           "X-Hibiscuswall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

auto wrong_endpoint_of(std::string const& call_id) -> std::string
{
    return "HTTP/1.1 421 Misdirected Request\r\n" + id_line(call_id) + "Content-Length: 0\r\n\r\n";
}

auto success_without_id(std::string const& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Response-Signature: s0\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto is_promise_of_not_run(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

// One endpoint, so that the entry reuses its connection to it. The first call is answered by `first`, and
// each later one by `later`.
TEST_GROUP_BASE(unattributed_responses, direct_entry_base)
{
    using respond_function = std::function<scripted_response(scripted_request const&)>;
    std::unique_ptr<scripted_endpoint> endpoint;

    auto respond_with(respond_function const& first, respond_function const& later)->void
    {
        endpoint = std::make_unique<scripted_endpoint>([first, later](auto const& request) {
            return request.header("x-hibiscuswall-attempt-id") == "call-1" ? first(request) : later(request);
        });
        start_entry_with({endpoint.get()});
    }

    void teardown() override
    {
        direct_entry_base::teardown();
        endpoint.reset();
    }

    static auto reject(scripted_request const& request)->scripted_response
    {
        return {rejection_of(request.header("x-hibiscuswall-attempt-id"))};
    }

    static auto answer(scripted_request const& request)->scripted_response
    {
        return {signed_ok(request, "own")};
    }

    // The response to the own call is sent after other bytes, with them or later.
    static auto answer_after(std::string const& bytes, milliseconds delay)->respond_function
    {
        return [=](scripted_request const& request) {
            if (delay.count() == 0) return scripted_response{bytes + signed_ok(request, "own")};
            auto response = scripted_response{bytes};
            response.late_bytes = signed_ok(request, "own");
            response.late_delay = delay;
            return response;
        };
    }
};

// ---- with the id of an earlier call

TEST(unattributed_responses, a_repeated_rejection_of_an_earlier_call_is_skipped)
{
    for (auto const delay : {milliseconds{0}, late}) {
        calls = 0;
        respond_with(reject, answer_after(rejection_of("call-1"), delay));
        CHECK_EQUAL(503, ask("/read/a").status);
        auto const response = ask("/read/a");
        CHECK_EQUAL(200, response.status);
        STRCMP_EQUAL("own", response.body.c_str());
        CHECK_EQUAL(1U, endpoint->connections());
        teardown();
        setup();
    }
}

TEST(unattributed_responses, a_repeated_421_of_an_earlier_call_is_skipped)
{
    respond_with([](auto const&) { return scripted_response{wrong_endpoint_of("call-1")}; },
                 answer_after(wrong_endpoint_of("call-1"), milliseconds{0}));
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK_EQUAL(200, ask("/read/a").status);
}

TEST(unattributed_responses, a_repeated_rejection_before_a_stream_is_skipped)
{
    respond_with(reject, [](auto const& request) {
        return scripted_response{rejection_of("call-1") + events_from(request, 1, 3) + end_of_chunks};
    });
    CHECK_EQUAL(503, ask("/draft/a", "POST").status);
    auto const response = ask_partial("/draft/a", "POST");
    CHECK_EQUAL(200, response.status);
    CHECK(response.complete);
}

// A rejected call is never sent to the same endpoint again, so no earlier send can have the id of this one.
TEST(unattributed_responses, a_rejected_call_is_not_sent_to_the_same_endpoint_again)
{
    respond_with(reject, reject);
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK_EQUAL(1U, endpoint->requests().size());
}

TEST(unattributed_responses, endpoints_that_share_an_address_share_no_connection)
{
    endpoint = std::make_unique<scripted_endpoint>(reject);
    start_entry_with({endpoint.get(), endpoint.get()});
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK_EQUAL(2U, endpoint->requests().size());
    CHECK_EQUAL(2U, endpoint->connections());
}

// ---- beside the earlier response

TEST(unattributed_responses, a_rejection_that_follows_a_response_at_once_ends_its_connection)
{
    respond_with(
        [](auto const& request) {
            return scripted_response{rejection_of(request.header("x-hibiscuswall-attempt-id")) +
                                     rejection_of("")};
        },
        answer);
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(2U, endpoint->connections());
}

TEST(unattributed_responses, a_rejection_that_arrives_on_an_idle_connection_ends_it)
{
    respond_with(
        [](auto const& request) {
            auto response = reject(request);
            response.late_bytes = rejection_of("");
            response.late_delay = late;
            return response;
        },
        answer);
    CHECK_EQUAL(503, ask("/read/a").status);
    std::this_thread::sleep_for(2 * late);
    CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(2U, endpoint->connections());
}

// ---- without an id, on a connection that carried another call

// Guards against "not run" for a call that the endpoint is running.
TEST(unattributed_responses, a_rejection_without_an_id_on_a_reused_connection_is_no_promise)
{
    for (auto const& rejection : {rejection_of(""), wrong_endpoint_of("")}) {
        for (auto const delay : {milliseconds{0}, late}) {
            calls = 0;
            respond_with(reject, answer_after(rejection, delay));
            CHECK_EQUAL(503, ask("/read/a").status);
            auto const status = ask("/read/a").status;
            CHECK_EQUAL(2U, endpoint->requests().size());
            CHECK_EQUAL(1U, endpoint->connections());
            CHECK_TEXT(!is_promise_of_not_run(status), std::to_string(status).c_str());
            teardown();
            setup();
        }
    }
}

// Guards against a response to another call that reaches a caller.
TEST(unattributed_responses, a_success_without_an_id_on_a_reused_connection_reaches_no_caller)
{
    respond_with(reject, answer_after(success_without_id("of another call"), milliseconds{0}));
    CHECK_EQUAL(503, ask("/read/a").status);
    auto const response = ask("/read/a");
    CHECK_EQUAL(1U, endpoint->connections());
    CHECK_EQUAL(504, response.status); // it may have run
    STRCMP_EQUAL("", std::string{response.headers.find("X-Hibiscuswall-Response-Signature")}.c_str());
}

// Such a call may run again, so another endpoint serves it.
TEST(unattributed_responses, a_call_whose_response_cannot_be_attributed_runs_at_another_endpoint)
{
    auto const respond = [](auto const& request) {
        auto const is_first = request.header("x-hibiscuswall-attempt-id") == "call-1";
        return is_first ? reject(request) : scripted_response{rejection_of("")};
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_entry_with({&one, &two});
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK_EQUAL(502, ask("/read/a").status);
    CHECK_EQUAL(2U, one.requests().size());
    CHECK_EQUAL(2U, two.requests().size());
}

// No response could be attributed to such a call on a connection that carried another one.
TEST(unattributed_responses, a_call_without_an_id_uses_a_new_connection)
{
    endpoint = std::make_unique<scripted_endpoint>(answer);
    start_entry_with({endpoint.get()});
    CHECK_EQUAL(200, ask("/read/a").status);
    auto request = next_request("/read/a");
    auto headers = http_headers{};
    for (auto const& each : request.headers.all())
        if (each.name != "X-Hibiscuswall-Attempt-Id") headers.add(each.name, each.value);
    request.headers = headers;
    CHECK_EQUAL(200, call(callers, std::move(request)).status);
    CHECK_EQUAL(2U, endpoint->connections());
}

// ---- on a new connection

TEST(unattributed_responses, a_call_that_may_run_once_uses_a_new_connection)
{
    endpoint = std::make_unique<scripted_endpoint>(answer);
    start_entry_with({endpoint.get()});
    CHECK_EQUAL(200, ask("/read/a").status);
    CHECK_EQUAL(200, ask("/book/a", "POST").status);
    CHECK_EQUAL(200, ask("/book/a", "POST").status);
    CHECK_EQUAL(3U, endpoint->connections());
}

TEST(unattributed_responses, a_rejection_of_another_call_on_a_new_connection_is_skipped)
{
    endpoint = std::make_unique<scripted_endpoint>(answer_after(rejection_of("call-0"), late));
    start_entry_with({endpoint.get()});
    CHECK_EQUAL(200, ask("/book/a", "POST").status);
}

// The only request on the connection is the one that is rejected.
TEST(unattributed_responses, a_rejection_without_an_id_on_a_new_connection_is_a_promise)
{
    auto const respond = [](auto const&) { return scripted_response{rejection_of("")}; };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_entry_with({&one, &two});
    CHECK_EQUAL(503, ask("/book/a", "POST").status);
    CHECK_EQUAL(1U, one.requests().size());
    CHECK_EQUAL(1U, two.requests().size());
}

// Guards against "not run", and against a second run, if the response to the call follows the rejection.
TEST(unattributed_responses, a_rejection_without_an_id_that_another_response_follows_is_no_promise)
{
    auto const respond = answer_after(rejection_of(""), milliseconds{0});
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_entry_with({&one, &two});
    auto const status = ask("/book/a", "POST").status;
    CHECK_TEXT(!is_promise_of_not_run(status), std::to_string(status).c_str());
    CHECK_EQUAL(1U, one.requests().size() + two.requests().size());
}

// ---- contradictory

TEST(unattributed_responses, a_success_that_says_not_run_is_neither_delivered_nor_a_promise)
{
    endpoint = std::make_unique<scripted_endpoint>([](auto const& request) {
        return scripted_response{signed_ok(request, "own", "X-Hibiscuswall-Not-Executed: 1\r\n")};
    });
    start_entry_with({endpoint.get()});
    CHECK_EQUAL(502, ask("/book/a", "POST").status);
}
