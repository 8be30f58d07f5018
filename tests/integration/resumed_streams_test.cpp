// Streams that broke off after events had reached the caller, and what the next endpoint responds. The real
// entry program with scripted endpoints.
#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

auto const event_stream = std::string{"Content-Type: text/event-stream\r\n"};
auto const chunked = std::string{"Transfer-Encoding: chunked\r\n"};

auto events(int first, int last) -> std::string
{
    auto text = std::string{};
    for (auto i = first; i <= last; ++i)
        text += "id: " + std::to_string(i) + "\ndata: t\n\n";
    return text;
}

// A response with the id of its call and a signature.
auto signed_response(scripted_request const& request, std::string const& status, std::string const& headers,
                     std::string const& body = "") -> std::string
{
    return "HTTP/1.1 " + status +
           "\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s2\r\n" + headers + "\r\n" + body;
}

auto sized_response(scripted_request const& request, std::string const& status, std::string const& headers,
                    std::string const& body) -> std::string
{
    return signed_response(request, status,
                           headers + "Content-Length: " + std::to_string(body.size()) + "\r\n", body);
}

} // namespace

TEST_GROUP_BASE(resumed_streams, direct_entry_base)
{
    using respond_function = std::function<scripted_response(scripted_request const&)>;

    // The first endpoint sends events 1 and 2 and closes within the third. The second one continues.
    auto resume_with(respond_function const& second)->partial_response
    {
        auto const respond = [&](scripted_request const& request) {
            if (!request.header("last-event-id").empty()) return second(request);
            auto truncated = events_from(request, 1, 3);
            truncated.resize(truncated.size() - 9);
            return scripted_response{truncated, true};
        };
        auto one = scripted_endpoint{respond};
        auto two = scripted_endpoint{respond};
        start_entry_with({&one, &two});
        return ask_partial("/draft/x", "POST");
    }

    // The caller keeps the events of the first endpoint and learns that the stream broke off.
    auto check_broken_off(respond_function const& second)->void
    {
        auto const response = resume_with(second);
        CHECK_EQUAL(200, response.status);
        STRCMP_EQUAL(events(1, 2).c_str(), response.body.c_str());
        CHECK_FALSE(response.complete);
    }
};

TEST(resumed_streams, events_that_continue_the_stream_complete_it)
{
    auto const response = resume_with(
        [](auto const& request) { return scripted_response{events_from(request, 3, 5) + end_of_chunks}; });
    STRCMP_EQUAL(events(1, 5).c_str(), response.body.c_str());
    CHECK(response.complete);
}

TEST(resumed_streams, an_error_response_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{
            sized_response(request, "500 Internal Server Error", "Content-Type: text/plain\r\n", "boom\n\n")};
    });
}

TEST(resumed_streams, an_error_response_of_event_type_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{
            sized_response(request, "500 Internal Server Error", event_stream, events(3, 5))};
    });
}

TEST(resumed_streams, a_missing_path_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{sized_response(request, "404 Not Found", "", "not here\n\n")};
    });
}

TEST(resumed_streams, a_rejection_by_every_other_endpoint_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{sized_response(request, "503 Service Unavailable",
                                                "X-Hibiscuswall-Not-Executed: 1\r\n", "full\n\n")};
    });
}

TEST(resumed_streams, a_response_that_is_not_http_breaks_the_stream_off)
{
    check_broken_off([](auto const&) { return scripted_response{"boom\r\n\r\nboom\n\n", true}; });
}

// Guards against the text of an error in the middle of a stream.
TEST(resumed_streams, a_success_of_another_content_type_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{
            sized_response(request, "200 OK", "Content-Type: text/plain\r\n", "out of memory\n\n")};
    });
}

TEST(resumed_streams, a_chunked_success_of_another_content_type_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{signed_response(request, "200 OK",
                                                 "Content-Type: application/json\r\n" + chunked,
                                                 "a\r\n{\"a\": 1}\n\n\r\n" + end_of_chunks)};
    });
}

TEST(resumed_streams, a_success_without_a_content_type_and_without_events_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{sized_response(request, "200 OK", "", "out of memory\n\n")};
    });
}

TEST(resumed_streams, events_without_a_signature_break_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{
            "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
                "\r\n" + event_stream + "\r\n" + events(3, 5),
            true};
    });
}

// Guards against a stream that ends as complete although the second endpoint sent none of its events.
TEST(resumed_streams, a_response_without_content_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{signed_response(request, "204 No Content", "")};
    });
}

TEST(resumed_streams, an_empty_body_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{sized_response(request, "200 OK", event_stream, "")};
    });
}

TEST(resumed_streams, chunks_that_end_without_an_event_break_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{signed_response(request, "200 OK", event_stream + chunked, end_of_chunks)};
    });
}

TEST(resumed_streams, a_connection_that_ends_without_an_event_breaks_the_stream_off)
{
    check_broken_off([](auto const& request) {
        return scripted_response{signed_response(request, "200 OK", event_stream), true};
    });
}

// Guards against events that the caller gets twice.
TEST(resumed_streams, events_that_start_again_break_the_stream_off)
{
    check_broken_off(
        [](auto const& request) { return scripted_response{events_from(request, 1, 5) + end_of_chunks}; });
}

TEST(resumed_streams, events_that_repeat_the_last_one_break_the_stream_off)
{
    check_broken_off(
        [](auto const& request) { return scripted_response{events_from(request, 2, 5) + end_of_chunks}; });
}

TEST(resumed_streams, an_event_without_an_id_does_not_continue_the_stream)
{
    check_broken_off([](auto const& request) {
        return scripted_response{sized_response(request, "200 OK", event_stream, "data: failed\n\n")};
    });
}

// Without ids the second endpoint cannot know where to continue, so it would start again.
TEST(resumed_streams, a_stream_without_ids_is_not_resumed)
{
    auto const respond = [&](scripted_request const& request) {
        return scripted_response{
            signed_response(request, "200 OK", event_stream + chunked, "9\r\ndata: t\n\n\r\n"), true};
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_entry_with({&one, &two});
    auto const response = ask_partial("/draft/x", "POST");
    STRCMP_EQUAL("data: t\n\n", response.body.c_str());
    CHECK_FALSE(response.complete);
    CHECK_EQUAL(1U, one.requests().size() + two.requests().size());
}

// ---- the first response to a call of a streaming route

// Guards against chunks after a status that has no body.
TEST(resumed_streams, a_first_response_without_content_reaches_the_caller_as_it_is)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_response(request, "204 No Content", "")};
    }};
    start_entry_with({&endpoint});
    auto const response = ask_partial("/draft/x", "POST");
    CHECK_EQUAL(204, response.status);
    CHECK(response.complete);
    CHECK_FALSE(response.headers.contains("Transfer-Encoding"));
}

TEST(resumed_streams, a_first_response_of_another_content_type_reaches_the_caller_whole)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{
            sized_response(request, "200 OK", "Content-Type: application/json\r\n", "{\"a\": 1}")};
    }};
    start_entry_with({&endpoint});
    auto const response = ask_partial("/draft/x", "POST");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL("{\"a\": 1}", response.body.c_str());
    CHECK(response.complete);
}
