// Endpoints that respond before they have read a long body, and reset the connection while it is still being
// written. The real entry program with scripted endpoints.
#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto body_bytes = std::size_t{12U << 20U}; // more than the send buffer of a connection takes
constexpr auto time_until_reset = milliseconds{200}; // the body is still being written

auto response_head(scripted_request const& request, std::string const& rest) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s1\r\n" + rest + "\r\n";
}

} // namespace

TEST_GROUP_BASE(reset_uploads, direct_entry_base){auto configure_large_bodies()->void{
    auto const route = [](char const* name, char const* prefix, char const* kind) {
        return json{{"name", name},     {"host", "a.example"}, {"prefix", prefix},
                    {"kind", kind},     {"timeoutMs", 3000},   {"targetLatencyMs", 200},
                    {"maxAttempts", 1}, {"service", "s"},      {"resumable", true}};
    };
put("op/config", json{{"version", version++},
                      {"routes", json::array({route("book", "/book/", "non_idempotent"),
                                              route("draft", "/draft/", "streaming")})},
                      {"limits", json{{"maxBodyBytes", 2 * body_bytes}}},
                      {"services", json::array({json{{"name", "s"}, {"maxConnections", 50}}})},
                      {"tenants", json::array({json{{"name", "guild"}, {"apiKeys", account_keys}}})}});
}

// What the caller gets of an endpoint that sends this and resets the connection.
auto upload(std::string const& path, std::string const& headers, std::string const& body) -> partial_response
{
    auto const respond = [&](auto const& request) {
        auto response = scripted_response{response_head(request, headers) + body};
        response.reset = true;
        response.late_delay = time_until_reset;
        return response;
    };
    auto endpoint = scripted_endpoint{respond, "127.0.0.1", scripted_endpoint::body_reading::none};
    configure_large_bodies();
    put_endpoint("i-1", endpoint);
    start_entry();
    await_ready();
    auto request = next_request(path, "POST");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "3000");
    request.body = std::string(body_bytes, 'x');
    auto const response = call_and_keep_partial(callers, std::move(request));
    CHECK_EQUAL(1U, endpoint.requests().size());
    return response;
}
}
;

// Guards against a part of a response that the caller gets as a complete one: the reset shows at the write of
// the request, and the read that follows ends as if the endpoint had closed the connection.
TEST(reset_uploads, a_response_without_length_that_is_reset_during_the_upload_is_not_complete)
{
    auto const response = upload("/book/x", "", "first part");
    CHECK_EQUAL(502, response.status);
}

TEST(reset_uploads, a_stream_without_length_that_is_reset_during_the_upload_is_not_complete)
{
    auto const response = upload("/draft/x", "Content-Type: text/event-stream\r\n", "id: 1\ndata: t\n\n");
    CHECK_FALSE(response.status == 200 && response.complete);
}

// What has arrived completely counts, however the connection ends.
TEST(reset_uploads, a_response_with_its_whole_length_counts_though_the_connection_is_reset_during_the_upload)
{
    auto const response = upload("/book/x", "Content-Length: 5\r\n", "whole");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL("whole", response.body.c_str());
}
