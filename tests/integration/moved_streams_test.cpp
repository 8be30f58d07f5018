// Streams that the entry moves to another endpoint, and the moment at which they leave the present one. The
// real entry program with scripted endpoints; load reports come from the test.
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "support/direct_engine_base.hpp"
#include "support/run_coroutine.hpp"

using namespace hibiscuswall;

namespace {

auto events(int first, int last, std::string const& text = "t") -> std::string
{
    auto body = std::string{};
    for (auto i = first; i <= last; ++i)
        body += "id: " + std::to_string(i) + "\ndata: " + text + "\n\n";
    return body;
}

auto chunk(std::string const& body) -> std::string
{
    auto size = std::array<char, 16>{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
}

auto stream_head(scripted_request const& request) -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

auto full(scripted_request const& request) -> scripted_response
{
    return {"HTTP/1.1 503 Service Unavailable\r\nX-Hibiscuswall-Attempt-Id: " +
            request.header("x-hibiscuswall-attempt-id") +
            "\r\nX-Hibiscuswall-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"};
}

// Events 1 and 2, and events 3 to 5 after the pause.
auto pausing_stream(scripted_request const& request, milliseconds pause) -> scripted_response
{
    auto response = scripted_response{stream_head(request) + chunk(events(1, 2))};
    response.late_bytes = chunk(events(3, 5)) + end_of_chunks;
    response.late_delay = pause;
    return response;
}

// What another endpoint sends that continues the stream after event 2.
auto continued_stream(scripted_request const& request) -> scripted_response
{
    return {stream_head(request) + chunk(events(3, 5, "other")) + end_of_chunks};
}

auto is_resumed(scripted_request const& request) -> bool { return !request.header("last-event-id").empty(); }

} // namespace

TEST_GROUP_BASE(moved_streams, direct_engine_base)
{
    static constexpr auto short_pause = milliseconds{1'000};
    static constexpr auto report_interval = milliseconds{100};
    std::atomic<bool> reporting{true};
    std::atomic<int> paused_endpoint{0}; // number of the endpoint whose engine is reported as paused; 0: none
    int slots = 4;                       // of each endpoint
    int prompt_tokens = 0;               // of each call
    std::string prompt_segments;         // of each call
    std::string request_body;            // of each call
    milliseconds stream_timeout{4'000};
    std::vector<address> engines; // addresses of the endpoints
    std::thread reports;

    void teardown() override
    {
        reporting = false;
        if (reports.joinable()) reports.join();
        direct_entry_base::teardown();
    }

    auto stream_route(int attempts) const->json
    {
        auto draft = route("draft", "/draft/");
        draft.update({{"kind", "streaming"},
                      {"resumable", true},
                      {"timeoutMs", stream_timeout.count()},
                      {"targetGapMs", 300},
                      {"maxAttempts", attempts}});
        return draft;
    }

    auto send_report(boost::asio::ip::udp::socket & socket, std::size_t engine)->void
    {
        auto report = load_report{};
        report.where = engines[engine];
        report.weights = loaded_weights{"m", 1, 0, 2};
        report.paused = paused_endpoint == static_cast<int>(engine) + 1;
        report.subscriber_count = 1;
        auto const now = std::chrono::duration_cast<microseconds>(clock::now().time_since_epoch()).count();
        auto const to = boost::asio::ip::udp::endpoint{boost::asio::ip::make_address(peers.ip), peers.port};
        socket.send_to(boost::asio::buffer(encode_for_subscriber(encode(report), now, 0)), to);
    }

    auto start_with_engines(std::vector<scripted_endpoint const*> const& endpoints, int attempts = 2)->void
    {
        configure_routes(json::array({stream_route(attempts)}), slots);
        for (auto i = std::size_t{0}; i < endpoints.size(); ++i) {
            put_engine(*endpoints[i], "i-" + std::to_string(i + 1), slots);
            engines.push_back(endpoints[i]->where());
        }
        start_entry();
        await_ready();
        reports = std::thread{[this] {
            auto io = boost::asio::io_context{};
            auto socket = boost::asio::ip::udp::socket{io, boost::asio::ip::udp::v4()};
            while (reporting) {
                for (auto i = std::size_t{0}; i < engines.size(); ++i)
                    send_report(socket, i);
                std::this_thread::sleep_for(report_interval);
            }
        }};
    }

    auto ask_stream()->partial_response
    {
        auto request = next_request("/draft/x", "POST");
        request.headers.set("X-Hibiscuswall-Deadline-Ms", std::to_string(stream_timeout.count()));
        request.headers.set("X-Hibiscuswall-Token-Usage", std::to_string(prompt_tokens) + ",80");
        if (!prompt_segments.empty()) {
            request.headers.set("X-Hibiscuswall-Model", "m");
            request.headers.set("X-Hibiscuswall-Prompt-Prefix", prompt_segments);
        }
        request.body = request_body;
        return call_and_keep_partial(callers, std::move(request), stream_timeout + seconds{1});
    }

    // Asks for a stream and reports the engine that runs it as one that changes its weights.
    auto ask_stream_and_pause_its_engine(std::vector<scripted_endpoint*> const& endpoints)->partial_response
    {
        auto response = std::async(std::launch::async, [&] { return ask_stream(); });
        for (auto i = std::size_t{0}; paused_endpoint == 0; i = (i + 1) % endpoints.size()) {
            if (!endpoints[i]->requests().empty()) paused_endpoint = static_cast<int>(i) + 1;
            std::this_thread::sleep_for(milliseconds{1});
        }
        return response.get();
    }

    // The log as soon as it has a line with this text.
    auto log_with(std::string const& text)->std::string
    {
        CHECK_TEXT(
            await_condition(seconds{2}, [&] { return entry.log_text().find(text) != std::string::npos; }),
            text.c_str());
        return entry.log_text();
    }

    // The event after which one of the endpoints was asked to resume a stream; 0: none was.
    static auto resumed_after(std::vector<scripted_endpoint*> const& endpoints)->int
    {
        for (auto* endpoint : endpoints)
            for (auto const& request : endpoint->requests())
                if (is_resumed(request)) return std::stoi(request.header("last-event-id"));
        return 0;
    }

    // A stream of the first of two such endpoints, which is moved because its engine changes its weights.
    auto ask_moved_stream(scripted_endpoint::respond_function const& respond)->partial_response
    {
        auto one = scripted_endpoint{respond};
        auto two = scripted_endpoint{respond};
        start_with_engines({&one, &two});
        return ask_stream_and_pause_its_engine({&one, &two});
    }

    // A stream of one of so many such endpoints.
    auto ask_stream_of(int endpoints, scripted_endpoint::respond_function const& respond, int attempts = 2)
        ->partial_response
    {
        auto all = std::vector<std::unique_ptr<scripted_endpoint>>{};
        auto pointers = std::vector<scripted_endpoint const*>{};
        for (auto i = 0; i < endpoints; ++i) {
            all.push_back(std::make_unique<scripted_endpoint>(respond));
            pointers.push_back(all.back().get());
        }
        start_with_engines(pointers, attempts);
        return ask_stream();
    }

    auto check_complete(partial_response const& response, std::string const& body)->void
    {
        CHECK_EQUAL(200, response.status);
        STRCMP_EQUAL(body.c_str(), response.body.c_str());
        CHECK(response.complete);
    }
};

// Guards against a stream that is broken off because it left a sound engine, which was to change its weights,
// for one that does not take it.
TEST(moved_streams, a_stream_stays_with_an_engine_that_changes_its_weights_if_no_other_takes_it)
{
    auto const respond = [](auto const& request) {
        return is_resumed(request) ? full(request) : pausing_stream(request, milliseconds{1'100});
    };
    check_complete(ask_moved_stream(respond), events(1, 5));
    log_with("event=resume_rejected");
}

// Guards against a stream that stays until its end and holds up the change of weights.
TEST(moved_streams, a_stream_leaves_an_engine_that_changes_its_weights_once_another_has_taken_it)
{
    auto const respond = [](auto const& request) {
        return is_resumed(request) ? continued_stream(request) : pausing_stream(request, milliseconds{2'500});
    };
    check_complete(ask_moved_stream(respond), events(1, 2) + events(3, 5, "other"));
    log_with("event=call_moved");
}

// Guards against events of two runs in one stream, and against an event that comes twice: the engine goes on
// while the other one is asked, and the other one continues after the last event that the caller has.
TEST(moved_streams, events_that_the_engine_sends_while_another_is_asked_are_not_mixed_with_those_of_the_other)
{
    auto const respond = [](auto const& request) {
        if (!is_resumed(request)) {
            auto response = scripted_response{stream_head(request) + chunk(events(1, 1))};
            response.repeat_interval = milliseconds{40};
            for (auto i = 2; i <= 60; ++i)
                response.pieces.push_back(chunk(events(i, i)));
            response.pieces.push_back(end_of_chunks);
            return response;
        }
        auto const next = std::stoi(request.header("last-event-id")) + 1;
        auto response = scripted_response{stream_head(request)};
        response.late_bytes = chunk(events(next, 60, "other")) + end_of_chunks;
        response.late_delay = milliseconds{100};
        return response;
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_with_engines({&one, &two});
    auto const response = ask_stream_and_pause_its_engine({&one, &two});
    auto const resumed = resumed_after({&one, &two});
    CHECK(resumed > 0);
    check_complete(response, events(1, resumed) + events(resumed + 1, 60, "other"));
}

// Guards against events that are lost where the engine ends the stream just as another one takes it.
TEST(moved_streams, streams_that_end_while_they_are_taken_over_are_complete)
{
    constexpr auto streams = 24;
    constexpr auto last_event = 25; // about 1 s after the first one, when another endpoint has been asked
    auto const respond = [](auto const& request) {
        auto response = scripted_response{stream_head(request)};
        if (!is_resumed(request)) {
            response.repeat_interval = milliseconds{40};
            for (auto i = 1; i <= last_event; ++i)
                response.pieces.push_back(chunk(events(i, i)));
            response.pieces.push_back(end_of_chunks);
            return response;
        }
        auto const next = std::stoi(request.header("last-event-id")) + 1;
        auto const call = std::stoi(request.header("x-hibiscuswall-attempt-id").substr(5));
        response.late_bytes = chunk(events(next, last_event, "other")) + end_of_chunks;
        response.late_delay = milliseconds{15 * call}; // some are in time, some are not
        return response;
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    slots = 2 * streams;
    paused_endpoint = 2;
    start_with_engines({&one, &two});
    std::this_thread::sleep_for(2 * report_interval);
    auto responses = std::vector<std::future<partial_response>>{};
    for (auto i = 0; i < streams; ++i) {
        auto request = next_request("/draft/x", "POST");
        request.headers.set("X-Hibiscuswall-Deadline-Ms", "4000");
        responses.push_back(std::async(std::launch::async, [this, request = std::move(request)]() mutable {
            return call_and_keep_partial(callers, std::move(request));
        }));
    }
    std::this_thread::sleep_for(milliseconds{100});
    paused_endpoint = 1;
    for (auto& each : responses) {
        auto const response = each.get();
        CHECK(response.complete);
        auto own = 0; // events of the first run
        while (response.body.starts_with(events(1, own + 1)))
            ++own;
        STRCMP_EQUAL((events(1, own) + events(own + 1, last_event, "other")).c_str(), response.body.c_str());
    }
    log_with("event=call_moved");
    log_with("event=takeover_stopped");
}

// Guards against a stream that is late because an engine that was asked to take it sends nothing.
TEST(moved_streams, a_stream_is_not_held_up_by_an_endpoint_that_takes_it_late)
{
    auto const respond = [](auto const& request) {
        auto response = scripted_response{stream_head(request) + chunk(events(1, 1))};
        if (is_resumed(request)) {
            response = scripted_response{stream_head(request)};
            response.late_bytes = chunk(events(2, 60, "other")) + end_of_chunks;
            response.late_delay = milliseconds{1'000};
            return response;
        }
        response.repeat_interval = milliseconds{40};
        for (auto i = 2; i <= 40; ++i)
            response.pieces.push_back(chunk(events(i, i)));
        response.pieces.push_back(end_of_chunks);
        return response;
    };
    check_complete(ask_moved_stream(respond), events(1, 40));
    log_with("event=takeover_stopped");
    auto const field = std::string{"longest_gap_ms="};
    auto const log = log_with(field);
    CHECK(std::stoi(log.substr(log.find(field) + field.size())) < 300); // targetGapMs of the route
}

// Guards against a stream that is broken off because the engine that it is to leave fails while another one
// is asked: there is nothing to stay with, so that the other one has its time.
TEST(moved_streams, a_stream_whose_engine_fails_while_another_is_asked_waits_for_the_other)
{
    auto const respond = [](auto const& request) {
        auto response = scripted_response{stream_head(request)};
        if (is_resumed(request)) {
            auto const next = std::stoi(request.header("last-event-id")) + 1;
            response.late_bytes = chunk(events(next, 60, "other")) + end_of_chunks;
            response.late_delay = milliseconds{500};
            return response;
        }
        response.repeat_interval = milliseconds{40};
        for (auto i = 1; i <= 24; ++i) // for a second: another endpoint is asked meanwhile
            response.pieces.push_back(chunk(events(i, i)));
        response.close = true;
        return response;
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_with_engines({&one, &two});
    auto const response = ask_stream_and_pause_its_engine({&one, &two});
    auto const resumed = resumed_after({&one, &two});
    CHECK(resumed > 0);
    check_complete(response, events(1, resumed) + events(resumed + 1, 60, "other"));
}

// Guards against a stream that is broken off because its endpoint was silent for a while and another one
// rejects it.
TEST(moved_streams, a_silent_endpoint_goes_on_with_its_stream_if_another_rejects_it)
{
    auto const respond = [](auto const& request) {
        return is_resumed(request) ? full(request) : pausing_stream(request, milliseconds{1'800});
    };
    check_complete(ask_stream_of(2, respond), events(1, 5));
}

// Guards against a stream that is broken off with seconds left, because the endpoints reject it for a moment.
TEST(moved_streams, a_stream_that_broke_off_is_resumed_once_an_endpoint_takes_it)
{
    auto rejections = std::atomic<int>{0};
    auto const respond = [&](auto const& request) {
        if (!is_resumed(request)) return scripted_response{stream_head(request) + chunk(events(1, 2)), true};
        return ++rejections <= 3 ? full(request) : continued_stream(request);
    };
    check_complete(ask_stream_of(3, respond), events(1, 2) + events(3, 5, "other"));
}

// Guards against a stream that is broken off while its only other endpoint is not usable for a moment.
TEST(moved_streams, a_stream_that_broke_off_is_resumed_once_an_endpoint_is_usable)
{
    auto const respond = [](auto const& request) {
        if (is_resumed(request)) return continued_stream(request);
        return scripted_response{stream_head(request) + chunk(events(1, 2)), true, short_pause};
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_with_engines({&one, &two});
    auto response = std::async(std::launch::async, [&] { return ask_stream(); });
    CHECK(await_condition(seconds{2}, [&] { return one.requests().size() + two.requests().size() == 1; }));
    paused_endpoint = one.requests().empty() ? 1 : 2; // the other one
    std::this_thread::sleep_for(short_pause + milliseconds{400});
    paused_endpoint = 0;
    check_complete(response.get(), events(1, 2) + events(3, 5, "other"));
}

// Guards against a caller that waits for the end of its time though nothing can continue its stream.
TEST(moved_streams, a_stream_that_broke_off_ends_at_once_if_every_endpoint_has_failed_it)
{
    auto const respond = [](auto const& request) {
        return scripted_response{stream_head(request) + chunk(events(1, 2)), true};
    };
    auto const begun_at = clock::now();
    auto const response = ask_stream_of(1, respond);
    CHECK_FALSE(response.complete);
    STRCMP_EQUAL(events(1, 2).c_str(), response.body.c_str());
    CHECK(clock::now() - begun_at < seconds{2}); // the caller waits 4 s
}

// Guards against a stream that is broken off because an endpoint failed to continue it, with attempts left.
TEST(moved_streams, a_stream_is_resumed_after_an_error_response_while_it_has_attempts)
{
    auto failures = std::atomic<int>{0};
    auto const respond = [&](auto const& request) {
        if (!is_resumed(request)) return scripted_response{stream_head(request) + chunk(events(1, 2)), true};
        if (++failures > 1) return continued_stream(request);
        return scripted_response{"HTTP/1.1 500 Internal Server Error\r\nX-Hibiscuswall-Attempt-Id: " +
                                 request.header("x-hibiscuswall-attempt-id") +
                                 "\r\nX-Hibiscuswall-Response-Signature: s\r\nContent-Length: 4\r\n\r\nboom"};
    };
    check_complete(ask_stream_of(3, respond, 3), events(1, 2) + events(3, 5, "other"));
}

// Guards against a stream that stays with a dead engine until its deadline: the engine was to change its
// weights when it fell silent, and counts as sound for good.
TEST(moved_streams, a_stream_leaves_an_engine_that_falls_silent_before_it_changes_its_weights)
{
    auto const respond = [](auto const& request) {
        return is_resumed(request) ? continued_stream(request) : pausing_stream(request, milliseconds{5'000});
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    prompt_tokens = 600; // more than another engine processes within the gap that the caller accepts
    start_with_engines({&one, &two});
    check_complete(ask_stream_and_pause_its_engine({&one, &two}), events(1, 2) + events(3, 5, "other"));
}

// Guards against a stream that stays with a silent endpoint until its deadline, because the others have
// rejected it for a moment.
TEST(moved_streams, a_stream_leaves_a_silent_endpoint_once_another_takes_it)
{
    auto rejections = std::atomic<int>{0};
    auto const respond = [&](auto const& request) {
        if (!is_resumed(request)) return pausing_stream(request, milliseconds{9'000});
        return ++rejections <= 4 ? full(request) : continued_stream(request);
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    auto three = scripted_endpoint{respond};
    stream_timeout = milliseconds{8'000};
    start_with_engines({&one, &two, &three});
    check_complete(ask_stream(), events(1, 2) + events(3, 5, "other"));
}

// Guards against a stream that another endpoint has taken, and that waits until its deadline for the one that
// it leaves to read the request.
TEST(moved_streams, a_stream_leaves_an_endpoint_that_does_not_read_its_request)
{
    auto const respond = [](auto const& request) {
        if (is_resumed(request)) return continued_stream(request);
        auto response = scripted_response{stream_head(request) + chunk(events(1, 2)), true};
        response.delay = milliseconds{300};
        return response;
    };
    auto const fall_silent = [](auto const& /*request*/) {
        auto response = scripted_response{};
        response.late_delay = milliseconds{4'000};
        return response;
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    auto three = scripted_endpoint{fall_silent, "127.0.0.1", scripted_endpoint::body_reading::none};
    request_body = std::string(12U << 20U, 'x'); // more than the send buffer of a connection takes
    max_body_bytes = 2 * request_body.size();
    paused_endpoint = 3;
    start_with_engines({&one, &two, &three}, 3);
    std::this_thread::sleep_for(2 * report_interval);
    auto response = std::async(std::launch::async, [&] { return ask_stream(); });
    CHECK(await_condition(seconds{2}, [&] { return one.requests().size() + two.requests().size() == 1; }));
    paused_endpoint = one.requests().empty() ? 1 : 2; // the other one: only the third can take the stream
    CHECK(await_condition(seconds{2}, [&] { return three.requests().size() == 1; }));
    paused_endpoint = 0;
    auto const sent_at = clock::now();
    check_complete(response.get(), events(1, 2) + events(3, 5, "other"));
    CHECK(clock::now() - sent_at < seconds{2}); // it was silent for 800 ms
}

// Guards against prompts that crash one engine after the other: an engine that ends after the head of its
// response, as it begins with a stream that it was to take, counts as one that the prompt may have crashed.
TEST(moved_streams, an_engine_that_ends_as_it_takes_a_stream_may_have_been_crashed_by_the_prompt)
{
    auto const respond = [](auto const& request) {
        if (!is_resumed(request)) return pausing_stream(request, milliseconds{2'000});
        auto response = scripted_response{stream_head(request)};
        response.ends_endpoint = true;
        return response;
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    prompt_segments = "dead:40,own:10";
    start_with_engines({&one, &two});
    check_complete(ask_stream(), events(1, 5));
    log_with("event=crash_suspect");
}

// Guards against a sound endpoint that counts as silent, and loses the stream, because the caller reads
// slowly.
TEST(moved_streams, a_stream_stays_with_its_endpoint_while_the_caller_does_not_read)
{
    constexpr auto last_event = 40;
    auto const text = std::string(512U << 10U, 'x'); // all events fill the buffers of the connections
    auto const respond = [&](auto const& request) {
        auto response = scripted_response{stream_head(request)};
        for (auto i = 1; i <= last_event; ++i)
            response.pieces.push_back(chunk(events(i, i, text)));
        response.pieces.push_back(end_of_chunks);
        return response;
    };
    auto one = scripted_endpoint{respond};
    auto two = scripted_endpoint{respond};
    start_with_engines({&one, &two});
    auto request = next_request("/draft/x", "POST");
    request.headers.set("X-Hibiscuswall-Deadline-Ms", "4000");
    auto io = boost::asio::io_context{};
    auto client = http_client{io, nullptr};
    auto opened = run_coroutine(io, client.open(callers, std::move(request), {}));
    CHECK(opened.has_value());
    std::this_thread::sleep_for(milliseconds{2'000});
    auto const body = run_coroutine(io, opened.value()->read_all());
    CHECK(body.has_value());
    CHECK(body.value() == events(1, last_event, text));
    CHECK_EQUAL(1U, one.requests().size() + two.requests().size());
}
