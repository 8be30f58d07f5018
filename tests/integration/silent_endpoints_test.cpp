// Sound endpoints that send nothing for a while and then go on. The real entry program with scripted
// endpoints.
#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

auto expected_events(int last) -> std::string
{
    auto body = std::string{};
    for (auto i = 1; i <= last; ++i)
        body += "id: " + std::to_string(i) + "\ndata: t\n\n";
    return body;
}

// The chunks of events_from() without its head.
auto chunks_from(scripted_request const& request, int first, int last) -> std::string
{
    auto const response = events_from(request, first, last);
    return response.substr(response.find("\r\n\r\n") + 4);
}

} // namespace

TEST_GROUP_BASE(silent_endpoints, direct_entry_base){};

// Guards against a stream that is broken off although its endpoint is sound and no other can take it.
TEST(silent_endpoints, a_stream_stays_with_its_endpoint_while_no_other_can_take_it)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        auto response = scripted_response{events_from(request, 1, 2)};
        response.late_bytes = chunks_from(request, 3, 5) + end_of_chunks;
        response.late_delay = milliseconds{1'350};
        return response;
    }};
    start_entry_with({&endpoint});
    auto request = http_request{"POST", "/draft/x", {}, "{}"};
    request.headers.set("Host", "a.example");
    request.headers.set("X-Hibiscuswall-Attempt-Id", "call-silent");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "3000");
    request.headers.set("X-Hibiscuswall-Key", "k1");
    auto const response = call(callers, std::move(request));
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL(expected_events(5).c_str(), response.body.c_str());
    CHECK_EQUAL(1U, endpoint.requests().size());
}

// Guards against a call that fails although its response is on the way.
TEST(silent_endpoints, an_idempotent_call_stays_with_its_endpoint_while_no_other_can_take_it)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{signed_ok(request, "late"), false, milliseconds{900}};
    }};
    start_entry_with({&endpoint});
    auto const response = ask("/read/x");
    CHECK_EQUAL(200, response.status);
    STRCMP_EQUAL("late", response.body.c_str());
}

// Guards against a sound stream that is broken off because its route went while its endpoint was silent: it
// could not be sent to another endpoint any more.
TEST(silent_endpoints, a_stream_whose_route_is_gone_stays_with_its_endpoint)
{
    auto const pause = [](auto const& request) {
        auto response = scripted_response{events_from(request, 1, 2)};
        response.late_bytes = chunks_from(request, 3, 5) + end_of_chunks;
        response.late_delay = milliseconds{1'350};
        return response;
    };
    auto one = scripted_endpoint{pause};
    auto two = scripted_endpoint{pause};
    start_entry_with({&one, &two});
    auto request = next_request("/draft/x", "POST");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "3000");
    auto response = std::async(std::launch::async, [&] { return call(callers, std::move(request)); });
    CHECK(await_condition(seconds{2}, [&] { return one.requests().size() + two.requests().size() == 1; }));
    put("op/config", json{{"version", version++},
                          {"routes", json::array()},
                          {"services", json::array({json{{"name", "s"}, {"maxConnections", 50}}})},
                          {"tenants", json::array()}});
    auto const received = response.get();
    CHECK_EQUAL(200, received.status);
    STRCMP_EQUAL(expected_events(5).c_str(), received.body.c_str());
    CHECK_EQUAL(1U, one.requests().size() + two.requests().size());
}
