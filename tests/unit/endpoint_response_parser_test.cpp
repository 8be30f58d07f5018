// Answers of endpoints as bytes: whole, cut, late, with bytes that belong to nobody, split anywhere.
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/endpoint_response_parser.hpp"
#include "hibiscuswall/serving/event_splitter.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

constexpr auto sized = std::string_view{"HTTP/1.1 200 OK\r\nX-Call: a\r\nContent-Length: 5\r\n\r\nhello"};
constexpr auto chunked =
    std::string_view{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"};
constexpr auto endless = std::string_view{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"};

struct outcome {
    answer_state state = answer_state::head;
    int status = 0;
    std::string body;
    std::size_t excess = 0;
};

// Feeds the bytes in pieces of random size and ends the input.
auto read_in_pieces(std::string_view bytes, bool clean_end, std::uint64_t seed) -> outcome
{
    auto random = random_source{seed};
    auto parser = answer_parser{false};
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
    result.excess = parser.excess();
    return result;
}

} // namespace

TEST_GROUP(answer_parser){
    static auto check(std::string_view bytes, bool clean_end, answer_state state, std::string_view body)
        ->void{for (auto seed = std::uint64_t{1}; seed <= 50;
                    ++seed){auto const read = read_in_pieces(bytes, clean_end, seed);
CHECK(state == read.state);
if (state == answer_state::whole) STRCMP_EQUAL(std::string{body}.c_str(), read.body.c_str());
}
}
}
;

TEST(answer_parser, whole_answers_are_whole_however_they_are_split)
{
    check(sized, false, answer_state::whole, "hello");
    check(chunked, false, answer_state::whole, "hello");
    check(endless, true, answer_state::whole, "hello");
}

// Guards against a cut answer that reaches the caller as if it were complete.
TEST(answer_parser, every_proper_part_of_an_answer_is_broken)
{
    for (auto const whole : {sized, chunked})
        for (auto size = std::size_t{0}; size < whole.size(); ++size)
            check(whole.substr(0, size), true, answer_state::broken, "");
    check(endless, false, answer_state::broken, ""); // reset: its end is not the answer's end
}

// Guards against bytes after an answer that are taken for the answer to the next call.
TEST(answer_parser, bytes_after_an_answer_are_counted_and_not_given_out)
{
    auto const read = read_in_pieces(std::string{sized} + "HTTP/1.1 200 OK\r\n", true, 3);
    CHECK(answer_state::whole == read.state);
    STRCMP_EQUAL("hello", read.body.c_str());
    CHECK_EQUAL(17U, read.excess);
}

// Guards against a late answer to another call that is given to this one.
TEST(answer_parser, the_answer_behind_a_late_one_can_be_read)
{
    auto parser = answer_parser{false};
    parser.feed(std::string{sized} + "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno");
    CHECK(answer_state::whole == parser.state());
    std::ignore = parser.take_body();
    parser.restart();
    CHECK(answer_state::whole == parser.state());
    CHECK_EQUAL(404, parser.status());
    STRCMP_EQUAL("no", parser.take_body().c_str());
}

TEST(answer_parser, interim_answers_are_passed_over)
{
    check("HTTP/1.1 100 Continue\r\n\r\n" + std::string{sized}, false, answer_state::whole, "hello");
}

TEST(answer_parser, bytes_that_are_no_http_are_broken_and_do_no_harm)
{
    auto random = random_source{11};
    for (auto round = 0; round < 2'000; ++round) {
        auto bytes = std::string{sized};
        for (auto changes = random.below(6) + 1; changes > 0; --changes)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        std::ignore = read_in_pieces(bytes, true, static_cast<std::uint64_t>(round));
    }
    check("no answer at all\r\n\r\n", true, answer_state::broken, "");
}

TEST(answer_parser, an_answer_says_whether_its_connection_goes_on)
{
    auto parser = answer_parser{false};
    parser.feed(sized);
    CHECK(parser.keeps_connection());
    auto closing = answer_parser{false};
    closing.feed("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(closing.keeps_connection());
}

// ---- events

TEST_GROUP(event_splitter) { event_splitter splitter; };

// Guards against a stream that is cut or resumed within an event.
TEST(event_splitter, gives_out_whole_events_only_and_leaves_bytes_as_they_came)
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

TEST(event_splitter, keeps_a_partial_event_back_until_it_is_dropped)
{
    STRCMP_EQUAL("id: 4\n\n", splitter.feed("id: 4\n\nid: 5\nda").c_str());
    CHECK_EQUAL(8U, splitter.pending());
    splitter.drop_pending();
    STRCMP_EQUAL("id: 5\n\n", splitter.feed("id: 5\n\n").c_str());
    STRCMP_EQUAL("5", splitter.last_id()->c_str());
}
