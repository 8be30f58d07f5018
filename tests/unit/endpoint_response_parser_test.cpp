// Parsing of endpoint responses and event streams: complete, truncated, late, with excess bytes, split
// anywhere.
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/endpoint_response_parser.hpp"
#include "hibiscuswall/serving/event_splitter.hpp"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto sized = std::string_view{"HTTP/1.1 200 OK\r\nX-Call: a\r\nContent-Length: 5\r\n\r\nhello"};
constexpr auto chunked =
    std::string_view{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"};
constexpr auto endless = std::string_view{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"};

struct outcome {
    response_state state = response_state::head;
    int status = 0;
    std::string body;
    std::size_t excess_bytes = 0;
};

// Feeds the bytes in chunks of random size and then ends the input.
auto parse_in_random_chunks(std::string_view bytes, bool clean_end, std::uint64_t seed) -> outcome
{
    auto random = random_source{seed};
    auto parser = endpoint_response_parser{false};
    auto result = outcome{};
    while (!bytes.empty()) {
        auto const size = std::min(bytes.size(), 1 + random.below(7));
        parser.feed(bytes.substr(0, size));
        bytes.remove_prefix(size);
        result.body += parser.take_body();
    }
    parser.end_of_input(clean_end);
    result.body += parser.take_body();
    result.state = parser.state();
    result.status = parser.has_head() ? parser.status() : 0;
    result.excess_bytes = parser.excess_bytes();
    return result;
}

} // namespace

TEST_GROUP(endpoint_response_parser){
    static auto check(std::string_view bytes, bool clean_end, response_state state, std::string_view body)
        ->void{for (auto seed = std::uint64_t{1}; seed <= 50;
                    ++seed){auto const parsed = parse_in_random_chunks(bytes, clean_end, seed);
CHECK(state == parsed.state);
if (state == response_state::complete) STRCMP_EQUAL(std::string{body}.c_str(), parsed.body.c_str());
}
}
}
;

TEST(endpoint_response_parser, a_response_is_parsed_completely_however_its_bytes_are_split)
{
    check(sized, false, response_state::complete, "hello");
    check(chunked, false, response_state::complete, "hello");
    check(endless, true, response_state::complete, "hello");
}

// Guards against a truncated response that reaches the caller as if it were complete.
TEST(endpoint_response_parser, every_proper_prefix_of_a_response_is_invalid)
{
    for (auto const complete : {sized, chunked})
        for (auto size = std::size_t{0}; size < complete.size(); ++size)
            check(complete.substr(0, size), true, response_state::invalid, "");
    check(endless, false, response_state::invalid, ""); // a reset does not end the response
}

// Guards against bytes after a response that are taken for the response to the next call.
TEST(endpoint_response_parser, bytes_after_a_response_are_counted_as_excess_and_not_returned)
{
    auto const parsed = parse_in_random_chunks(std::string{sized} + "HTTP/1.1 200 OK\r\n", true, 3);
    CHECK(response_state::complete == parsed.state);
    STRCMP_EQUAL("hello", parsed.body.c_str());
    CHECK_EQUAL(17U, parsed.excess_bytes);
}

// Guards against a late response to another call that is delivered to this one.
TEST(endpoint_response_parser, the_response_after_a_late_one_can_be_read)
{
    auto parser = endpoint_response_parser{false};
    parser.feed(std::string{sized} + "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno");
    CHECK(response_state::complete == parser.state());
    std::ignore = parser.take_body();
    parser.restart();
    CHECK(response_state::complete == parser.state());
    CHECK_EQUAL(404, parser.status());
    STRCMP_EQUAL("no", parser.take_body().c_str());
}

// Each kind of framing, cut at each byte, closed and reset: a response without a length is complete at any
// byte of its body if it is closed, every other one with its last byte only.
TEST(endpoint_response_parser, a_response_cut_at_any_byte_is_complete_only_if_its_framing_says_so)
{
    auto const header = std::string{"HTTP/1.1 200 OK\r\nX-Call: a\r\n"};
    struct {
        std::string bytes;
        std::size_t first_complete_when_closed;
        bool complete_when_reset;
    } const cases[] = {
        {header + "Content-Length: 5\r\n\r\nhello", header.size() + 26, true},
        {header + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", header.size() + 45, true},
        {header + "\r\nhello", header.size() + 2, false},
        {header + "Connection: close\r\n\r\nhello", header.size() + 21, false},
        {"HTTP/1.0 200 OK\r\n\r\nhello", 19, false},
        {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", 43, true},
    };
    for (auto const& each : cases) {
        for (auto size = std::size_t{0}; size <= each.bytes.size(); ++size) {
            auto const prefix = std::string_view{each.bytes}.substr(0, size);
            auto const is_whole = size == each.bytes.size();
            auto const closed = parse_in_random_chunks(prefix, true, size + 1);
            auto const reset = parse_in_random_chunks(prefix, false, size + 1);
            CHECK_TEXT((closed.state == response_state::complete) ==
                           (size >= each.first_complete_when_closed),
                       std::string{prefix}.c_str());
            CHECK_TEXT((reset.state == response_state::complete) == (is_whole && each.complete_when_reset),
                       std::string{prefix}.c_str());
        }
    }
}

// Guards against a status without a body that is read until the connection ends.
TEST(endpoint_response_parser, a_status_without_a_body_is_complete_with_its_header)
{
    check("HTTP/1.1 204 No Content\r\n\r\n", false, response_state::complete, "");
    check("HTTP/1.1 304 Not Modified\r\n\r\n", false, response_state::complete, "");
}

TEST(endpoint_response_parser, contradictory_lengths_are_invalid)
{
    check("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", true,
          response_state::invalid, "");
    check("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", true,
          response_state::invalid, "");
    check("HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nhello", true, response_state::invalid, "");
}

// Guards against an endpoint in trouble whose status 000 reaches the caller as an answer.
TEST(endpoint_response_parser, a_status_outside_of_the_protocol_is_invalid)
{
    for (auto const* status : {"000", "099", "600", "999"}) {
        auto bytes = std::string{sized};
        check(bytes.replace(bytes.find("200"), 3, status), true, response_state::invalid, "");
    }
    auto bytes = std::string{sized};
    check(bytes.replace(bytes.find("200"), 3, "599"), true, response_state::complete, "hello");
}

TEST(endpoint_response_parser, interim_responses_are_skipped)
{
    check("HTTP/1.1 100 Continue\r\n\r\n" + std::string{sized}, false, response_state::complete, "hello");
}

TEST(endpoint_response_parser, bytes_that_are_not_http_are_invalid_and_do_not_crash)
{
    auto random = random_source{11};
    for (auto round = 0; round < 2'000; ++round) {
        auto bytes = std::string{sized};
        for (auto changes = random.below(6) + 1; changes > 0; --changes)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        std::ignore = parse_in_random_chunks(bytes, true, static_cast<std::uint64_t>(round));
    }
    check("no answer at all\r\n\r\n", true, response_state::invalid, "");
}

TEST(endpoint_response_parser, a_response_shows_whether_its_connection_can_be_reused)
{
    auto parser = endpoint_response_parser{false};
    parser.feed(sized);
    CHECK(parser.allows_reuse());
    auto closing = endpoint_response_parser{false};
    closing.feed("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(closing.allows_reuse());
    for (auto const bytes : {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}) {
        auto ends = endpoint_response_parser{false};
        ends.feed(bytes);
        CHECK_FALSE(ends.allows_reuse());
    }
    auto kept = endpoint_response_parser{false};
    kept.feed("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n");
    CHECK(kept.allows_reuse());
}

// ---- events

TEST_GROUP(event_splitter) { event_splitter splitter; };

// Guards against a stream that is cut off or resumed within an event.
TEST(event_splitter, returns_complete_events_only_and_leaves_bytes_unchanged)
{
    auto const events = std::string{"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"};
    for (auto seed = std::uint64_t{1}; seed <= 50; ++seed) {
        auto each = event_splitter{};
        auto random = random_source{seed};
        auto out = std::string{};
        auto bytes = std::string_view{events};
        while (!bytes.empty()) {
            auto const size = std::min(bytes.size(), 1 + random.below(5));
            out += each.feed(bytes.substr(0, size));
            bytes.remove_prefix(size);
        }
        STRCMP_EQUAL(events.c_str(), out.c_str());
        STRCMP_EQUAL("2", each.last_id()->c_str());
        STRCMP_EQUAL("1", each.first_id()->c_str());
        CHECK_EQUAL(0U, each.pending());
    }
}

TEST(event_splitter, holds_back_a_partial_event_until_it_is_discarded)
{
    STRCMP_EQUAL("id: 4\n\n", splitter.feed("id: 4\n\nid: 5\nda").c_str());
    CHECK_EQUAL(8U, splitter.pending());
    splitter.begin_response();
    STRCMP_EQUAL("id: 5\n\n", splitter.feed("id: 5\n\n").c_str());
    STRCMP_EQUAL("5", splitter.last_id()->c_str());
}

// A stream without a length that is closed is complete if no event is pending.
TEST(event_splitter, a_stream_cut_at_any_byte_is_complete_only_between_events)
{
    auto const events = std::string{"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n"};
    auto const ends = std::vector<std::size_t>{0, 15, 33, events.size()};
    for (auto size = std::size_t{0}; size <= events.size(); ++size) {
        for (auto split = std::size_t{0}; split <= size; ++split) {
            auto each = event_splitter{};
            auto out = each.feed(events.substr(0, split));
            out += each.feed(events.substr(split, size - split));
            auto const is_between = std::find(ends.begin(), ends.end(), size) != ends.end();
            CHECK_TEXT((each.pending() == 0) == is_between, out.c_str());
            CHECK_EQUAL(size, out.size() + each.pending());
            CHECK(std::find(ends.begin(), ends.end(), out.size()) != ends.end());
        }
    }
}

// Guards against a complete stream that counts as cut because of a further empty line.
TEST(event_splitter, empty_lines_between_events_are_no_partial_event)
{
    for (auto const* lines : {"\n", "\r\n", "\n\r\n\n"}) {
        auto each = event_splitter{};
        auto const bytes = "id: 1\n\n" + std::string{lines};
        auto out = std::string{};
        for (auto const byte : bytes)
            out += each.feed({&byte, 1});
        STRCMP_EQUAL(bytes.c_str(), out.c_str());
        CHECK_EQUAL(0U, each.pending());
        CHECK_EQUAL(1U, each.count());
    }
}

// Guards against events of a resumed stream that the caller gets twice.
TEST(event_splitter, a_response_that_continues_the_stream_begins_above_its_last_id)
{
    splitter.feed("id: 9\ndata: a\n\n");
    for (auto const* first : {"id: 9\n\n", "id: 1\n\n", "data: b\n\n"}) {
        splitter.begin_response();
        STRCMP_EQUAL(": comment\n\n", splitter.feed(": comment\n\n" + std::string{first}).c_str());
        CHECK_FALSE(splitter.continues());
        STRCMP_EQUAL("", splitter.feed("id: 10\n\n").c_str());
        STRCMP_EQUAL("9", splitter.last_id()->c_str());
    }
    splitter.begin_response();
    STRCMP_EQUAL("id: 10\n\ndata: c\n\n", splitter.feed("id: 10\n\ndata: c\n\n").c_str());
    CHECK(splitter.continues());
}

TEST(event_splitter, a_stream_can_be_resumed_only_after_an_event_with_an_id)
{
    CHECK(splitter.can_resume());
    splitter.feed(": comment\n\n");
    CHECK(splitter.can_resume());
    splitter.feed("data: a\n\n");
    CHECK_FALSE(splitter.can_resume());
    splitter.feed("id: 1\n\n");
    CHECK(splitter.can_resume());
}
