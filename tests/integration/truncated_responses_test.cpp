// Responses whose connection ends at any byte: which of them count as complete. The real entry program with
// scripted endpoints.
#include <set>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

enum class framing { length, chunks, connection };

auto const body_of_call = std::string{"hello world"};
auto const body_of_stream = std::string{"id: 1\ndata: t\n\nid: 2\r\ndata: u\r\n\r\n"};

auto header_of(scripted_request const& request, std::string const& protocol, std::string const& rest)
    -> std::string
{
    return protocol + " 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s1\r\n" + rest + "\r\n";
}

auto in_chunks(std::string const& body) -> std::string
{
    auto size = std::array<char, 16>{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n" + end_of_chunks;
}

} // namespace

// The endpoint sends the first bytes of a response and closes or resets the connection.
TEST_GROUP_BASE(truncated_responses, direct_entry_base)
{
    std::atomic<std::size_t> sent_bytes{0};
    std::atomic<std::size_t> header_bytes{0};
    std::atomic<std::size_t> response_bytes{1};
    std::unique_ptr<scripted_endpoint> endpoint;

    void teardown() override
    {
        direct_entry_base::teardown();
        endpoint.reset();
    }

    auto respond_truncated(std::string const& body, framing frame, std::string const& extra, bool reset,
                           std::string const& protocol = "HTTP/1.1")
        ->void
    {
        sent_bytes = 0;
        endpoint = std::make_unique<scripted_endpoint>([=, this](scripted_request const& request) {
            if (request.line.starts_with("GET")) return scripted_response{signed_ok(request, "sound"), true};
            auto rest = extra;
            if (frame == framing::length) rest += "Content-Length: " + std::to_string(body.size()) + "\r\n";
            if (frame == framing::chunks) rest += "Transfer-Encoding: chunked\r\n";
            auto const header = header_of(request, protocol, rest);
            auto const bytes = header + (frame == framing::chunks ? in_chunks(body) : body);
            header_bytes = header.size();
            response_bytes = bytes.size();
            auto response = scripted_response{bytes.substr(0, sent_bytes), true};
            response.reset = reset;
            return response;
        });
        start_entry_with({endpoint.get()});
    }

    // Calls once for each number of bytes up to the complete response, and checks what the caller gets. A
    // sound response between two of them keeps the entry from avoiding the endpoint.
    auto check_each_length(std::string const& path, std::function<void(partial_response const&)> const& check)
        ->void
    {
        for (sent_bytes = 0; sent_bytes <= response_bytes; ++sent_bytes) {
            check(ask_partial(path, "POST"));
            auto const sound = ask("/read/a");
            CHECK_EQUAL_TEXT(200, sound.status, (position_text() + ", sound call: " + sound.body).c_str());
        }
    }

    auto position_text()->std::string
    {
        return std::to_string(sent_bytes) + " of " + std::to_string(response_bytes) + " bytes";
    }

    // Names the entry's own reason, too: an error response says why a call failed.
    auto text_of(partial_response const& response)->std::string
    {
        return position_text() + ", status " + std::to_string(response.status) +
               (response.complete ? ", complete: " : ", truncated: ") + response.body;
    }

    auto check_plain(framing frame, bool reset, std::string const& protocol = "HTTP/1.1")->void
    {
        respond_truncated(body_of_call, frame, "", reset, protocol);
        check_each_length("/book/a", [&](partial_response const& response) {
            auto const is_complete = frame == framing::connection ? !reset && sent_bytes >= header_bytes
                                                                  : sent_bytes == response_bytes;
            CHECK_TEXT((response.status == 200) == is_complete, text_of(response).c_str());
            CHECK_TEXT(response.complete, text_of(response).c_str()); // an error response is complete, too
            if (!is_complete) return;
            auto const arrived = body_of_call.substr(0, sent_bytes - header_bytes);
            STRCMP_EQUAL(frame == framing::connection ? arrived.c_str() : body_of_call.c_str(),
                         response.body.c_str());
        });
    }

    auto check_stream(framing frame, bool reset, std::string const& protocol = "HTTP/1.1")->void
    {
        respond_truncated(body_of_stream, frame, "Content-Type: text/event-stream\r\n", reset, protocol);
        check_each_length("/draft/a", [&](partial_response const& response) {
            auto const arrived = sent_bytes < header_bytes ? 0 : sent_bytes - header_bytes;
            // Without a length, a response that is closed between two events is complete.
            auto const is_between_events = arrived == 15 || arrived == body_of_stream.size();
            auto const is_complete =
                frame == framing::connection ? !reset && is_between_events : sent_bytes == response_bytes;
            if (response.status == 200)
                CHECK_TEXT(response.complete == is_complete, text_of(response).c_str());
            else
                CHECK_TEXT(!is_complete, text_of(response).c_str());
            // Only complete events reach the caller.
            auto const events = response.status == 200 ? response.body : std::string{};
            CHECK_TEXT(events.empty() || events == body_of_stream.substr(0, 15) || events == body_of_stream,
                       text_of(response).c_str());
            if (is_complete) CHECK_TEXT(!events.empty(), text_of(response).c_str());
        });
    }
};

TEST(truncated_responses, a_response_with_a_length_is_complete_with_its_last_byte)
{
    check_plain(framing::length, false);
}

TEST(truncated_responses, a_response_in_chunks_is_complete_with_its_last_chunk)
{
    check_plain(framing::chunks, false);
}

TEST(truncated_responses, a_response_that_ends_with_its_connection_is_complete_if_it_is_closed)
{
    check_plain(framing::connection, false);
}

TEST(truncated_responses, a_reset_response_with_a_length_is_complete_with_its_last_byte)
{
    check_plain(framing::length, true);
}

TEST(truncated_responses, a_reset_response_in_chunks_is_complete_with_its_last_chunk)
{
    check_plain(framing::chunks, true);
}

TEST(truncated_responses, a_reset_response_without_a_length_is_never_complete)
{
    check_plain(framing::connection, true);
}

TEST(truncated_responses, an_http_1_0_response_is_complete_if_it_is_closed)
{
    check_plain(framing::connection, false, "HTTP/1.0");
}

TEST(truncated_responses, a_reset_http_1_0_response_is_never_complete)
{
    check_plain(framing::connection, true, "HTTP/1.0");
}

TEST(truncated_responses, a_stream_with_a_length_is_complete_with_its_last_byte)
{
    check_stream(framing::length, false);
}

TEST(truncated_responses, a_stream_in_chunks_is_complete_with_its_last_chunk)
{
    check_stream(framing::chunks, false);
}

TEST(truncated_responses, a_stream_that_ends_with_its_connection_is_complete_between_events)
{
    check_stream(framing::connection, false);
}

TEST(truncated_responses, a_reset_stream_in_chunks_is_complete_with_its_last_chunk)
{
    check_stream(framing::chunks, true);
}

TEST(truncated_responses, a_reset_stream_without_a_length_is_never_complete)
{
    check_stream(framing::connection, true);
}

TEST(truncated_responses, an_http_1_0_stream_is_complete_between_events)
{
    check_stream(framing::connection, false, "HTTP/1.0");
}

// ---- which connections are kept

TEST(truncated_responses, only_a_response_that_allows_it_keeps_its_connection)
{
    struct {
        char const* protocol;
        char const* headers;
        std::size_t connections; // of three calls
    } const cases[] = {
        {"HTTP/1.1", "Content-Length: 2\r\n", 1},
        {"HTTP/1.1", "Connection: close\r\nContent-Length: 2\r\n", 3},
        {"HTTP/1.0", "Content-Length: 2\r\n", 3},
        {"HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 2\r\n", 1},
    };
    for (auto const& each : cases) {
        endpoint = std::make_unique<scripted_endpoint>([&](auto const& request) {
            return scripted_response{header_of(request, each.protocol, each.headers) + "ok"};
        });
        start_entry_with({endpoint.get()});
        for (auto i = 0; i < 3; ++i)
            STRCMP_EQUAL("ok", ask("/read/a").body.c_str());
        CHECK_EQUAL_TEXT(each.connections, endpoint->connections(), each.headers);
        teardown();
        setup();
    }
}

// Guards against a response without a length that is taken for the beginning of a kept connection.
TEST(truncated_responses, a_response_without_a_length_leaves_no_connection)
{
    endpoint = std::make_unique<scripted_endpoint>([](auto const& request) {
        return scripted_response{header_of(request, "HTTP/1.1", "") + "ok", true};
    });
    start_entry_with({endpoint.get()});
    for (auto i = 0; i < 3; ++i)
        STRCMP_EQUAL("ok", ask("/read/a").body.c_str());
    CHECK_EQUAL(3U, endpoint->connections());
}

// ---- kept connections that their endpoint closes as the next call is sent

// Answers the first call on each connection, and closes the connection when a second one arrives: as if it
// had closed an idle connection at the moment at which the call was sent.
auto answer_once_per_connection(scripted_request const& request) -> scripted_response
{
    if (request.number_on_connection == 1) return {signed_ok(request, "sound")};
    return {"", true};
}

// Guards against a call that fails at the only endpoint although a new connection to it would carry the call.
TEST(truncated_responses, a_call_whose_kept_connection_was_closed_is_sent_again_on_a_new_one)
{
    endpoint = std::make_unique<scripted_endpoint>(answer_once_per_connection);
    start_entry_with({endpoint.get()});
    for (auto i = 0; i < 3; ++i) {
        auto const response = ask("/read/a");
        CHECK_EQUAL_TEXT(200, response.status, response.body.c_str());
    }
    CHECK_EQUAL(3U, endpoint->connections());
}

// Guards against a second send to an endpoint that may have failed, while another one can take the call.
TEST(truncated_responses, a_call_whose_kept_connection_was_closed_goes_to_another_endpoint_if_there_is_one)
{
    endpoint = std::make_unique<scripted_endpoint>(answer_once_per_connection);
    auto sound = scripted_endpoint{
        [](auto const& request) -> scripted_response { return {signed_ok(request, "sound")}; }};
    start_entry_with({endpoint.get(), &sound});
    for (auto i = 0; i < 20; ++i)
        CHECK_EQUAL(200, ask("/read/a").status);
    auto unanswered = std::set<std::string>{};
    for (auto const& each : endpoint->requests()) {
        auto const id = each.header("x-hibiscuswall-attempt-id");
        CHECK_FALSE(unanswered.contains(id));
        if (each.number_on_connection > 1) unanswered.insert(id);
    }
    CHECK_FALSE(unanswered.empty());
}

// Guards against a call that is sent again and again to an endpoint that closes every connection.
TEST(truncated_responses, a_call_whose_new_connection_was_closed_is_not_sent_to_that_endpoint_again)
{
    endpoint = std::make_unique<scripted_endpoint>([](auto const&) { return scripted_response{"", true}; });
    start_entry_with({endpoint.get()});
    CHECK_EQUAL(504, ask("/read/a").status);
    CHECK_EQUAL(1U, endpoint->requests().size());
}
