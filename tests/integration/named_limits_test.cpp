// Endpoints that name the rate of calls that they take from all hosts together. Several real entries with
// scripted endpoints.
#include "support/arrival_log.hpp"

#include <atomic>
#include <memory>
#include <thread>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto window = seconds{4};              // over which the limit is judged
constexpr auto time_to_comply = seconds{3};      // after the endpoint first named its limit
constexpr auto loaded_time = seconds{9};         // of a run
constexpr auto call_interval = milliseconds{80}; // of each caller

auto allowed_within_window(double limit) -> int { return static_cast<int>(6 * limit + 5); }

// Which part of the limit an endpoint still has to get.
constexpr auto least_used = 0.5;

auto limit_header(double limit) -> std::string { return "Server-Limit: " + std::to_string(limit) + "\r\n"; }

auto attempt_header(scripted_request const& request) -> std::string
{
    return "X-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") + "\r\n";
}

} // namespace

TEST_GROUP_BASE(named_limits, direct_entry_base)
{
    struct further_entry {
        entry_listeners where;
        process program;
    };
    std::vector<std::unique_ptr<further_entry>> further;

    void teardown() override
    {
        for (auto& each : further)
            each->program.kill();
        direct_entry_base::teardown();
    }

    // Starts this many entries with the endpoints named i-1, i-2 and so on.
    auto start_entries(int count, std::vector<scripted_endpoint const*> const& endpoints)->void
    {
        start_entry_with(endpoints);
        for (auto i = 2; i <= count; ++i) {
            auto made = std::make_unique<further_entry>();
            made->where = {port_pool::next(), port_pool::next(), port_pool::next()};
            made->program = start_entry_program("e" + std::to_string(i), made->where);
            further.push_back(std::move(made));
        }
        for (auto const& each : further)
            CHECK(await_condition(seconds{5}, [&] {
                return call(each->where.ready, {"GET", "/"}).status == 200;
            }));
        // Entries share limits among those that they have found in the store.
        std::this_thread::sleep_for(milliseconds{1'500});
    }

    // Calls the first `busy` entries, each from one thread, and returns the statuses of all responses.
    auto call_entries(int busy, clock::duration time, std::string const& path)->std::map<int, int>
    {
        auto where = std::vector<address>{callers};
        for (auto const& each : further)
            where.push_back(each->where.callers);
        where.resize(static_cast<std::size_t>(busy));
        auto lock = std::mutex{};
        auto statuses = std::map<int, int>{};
        auto threads = std::vector<std::thread>{};
        auto const end = clock::now() + time;
        for (auto const& entry_address : where)
            threads.emplace_back([&, entry_address] {
                while (clock::now() < end) {
                    auto request = http_request{};
                    {
                        auto const guard = std::lock_guard{lock};
                        request = next_request(path);
                    }
                    auto const status = call(entry_address, request).status;
                    {
                        auto const guard = std::lock_guard{lock};
                        ++statuses[status];
                    }
                    std::this_thread::sleep_for(call_interval);
                }
            });
        for (auto& thread : threads)
            thread.join();
        return statuses;
    }

    static auto check_limit(arrival_log const& arrivals, double limit)->void
    {
        auto const most = arrivals.most_within(window, arrivals.first() + time_to_comply);
        auto const from = arrivals.first() + time_to_comply + seconds{1};
        auto const used = arrivals.count(from, from + window);
        auto const text = "most calls within 4 s " + std::to_string(most) + ", allowed " +
                          std::to_string(allowed_within_window(limit)) + ", calls from 4 s to 8 s " +
                          std::to_string(used) + ", arrivals in ms: " + arrivals.text();
        CHECK_TEXT(most <= allowed_within_window(limit), text.c_str());
        CHECK_TEXT(used >= least_used * limit * window.count(), text.c_str());
    }

    static auto answering(arrival_log & arrivals, double limit)->scripted_endpoint::respond_function
    {
        return [&arrivals, limit](auto const& request) {
            arrivals.add(clock::now());
            return scripted_response{signed_ok(request, "hello", limit_header(limit))};
        };
    }
};

// Guards against a limit that each entry holds on its own, or that no entry reads: an endpoint that named two
// calls a second then gets that many from each entry, or as many as any other endpoint.
TEST(named_limits, an_endpoint_gets_no_more_than_it_named_from_all_entries_together)
{
    auto const limit = 2.0;
    auto arrivals = arrival_log{};
    auto limited = scripted_endpoint{answering(arrivals, limit)};
    auto other =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entries(3, {&limited, &other});
    auto const statuses = call_entries(3, loaded_time, "/read/a");
    CHECK_EQUAL(1U, statuses.size()); // the other endpoint takes the rest
    CHECK_EQUAL(200, statuses.begin()->first);
    check_limit(arrivals, limit);
}

// Guards against an endpoint that gets a third of what it takes because one of three entries has all calls.
TEST(named_limits, one_entry_with_all_calls_may_send_what_all_may_send)
{
    auto const limit = 5.0;
    auto arrivals = arrival_log{};
    auto limited = scripted_endpoint{answering(arrivals, limit)};
    auto other =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "hello")}; }};
    start_entries(3, {&limited, &other});
    auto const statuses = call_entries(1, loaded_time, "/read/a");
    CHECK_EQUAL(1U, statuses.size());
    check_limit(arrivals, limit);
}

// Guards against calls that wait until their deadline when no endpoint can take them, and against callers
// that are not told when to return.
TEST(named_limits, a_service_whose_endpoints_all_limit_their_calls_rejects_the_rest_at_once)
{
    auto const limit = 3.0;
    auto arrivals = arrival_log{};
    auto limited = scripted_endpoint{answering(arrivals, limit)};
    start_entries(2, {&limited});
    auto const statuses = call_entries(2, loaded_time, "/read/a");
    CHECK_EQUAL(2U, statuses.size());
    CHECK(statuses.contains(200));
    CHECK(statuses.contains(503));
    check_limit(arrivals, limit);
    for (auto i = 0; i < 10; ++i) {
        auto const asked_at = clock::now();
        auto const response = ask("/read/a");
        CHECK(clock::now() - asked_at < milliseconds{400});
        if (response.status != 503) continue;
        CHECK(std::atof(std::string{response.headers.find("Retry-After")}.c_str()) > 0.1);
    }
}

TEST_GROUP_BASE(named_limits_in_responses, direct_entry_base){
    // The limit that the entry knows of i-1, or 0.
    auto known_limit()->double{auto const text = call(peers, {"GET", "/metrics"}).body;
auto const name = std::string{"hibiscuswall_endpoint_rate_limit{endpoint=\"i-1\"} "};
auto const at = text.find(name);
return at == std::string::npos ? 0 : std::atof(text.c_str() + at + name.size());
}

auto check_is_read(scripted_endpoint::respond_function respond, std::string const& path,
                   std::string const& method = "GET") -> void
{
    auto endpoint = scripted_endpoint{std::move(respond)};
    start_entry_with({&endpoint});
    std::ignore = ask_partial(path, method);
    DOUBLES_EQUAL(4.0, known_limit(), 0.001);
}
}
;

// Each guards against a limit that counts only if the response ends as hoped.
TEST(named_limits_in_responses, a_rejection_names_it)
{
    check_is_read(
        [](auto const& request) {
            return scripted_response{"HTTP/1.1 503 Busy\r\nX-Hibiscuswall-Not-Executed: 1\r\n" +
                                     attempt_header(request) + limit_header(4) + "Content-Length: 0\r\n\r\n"};
        },
        "/read/a");
}

TEST(named_limits_in_responses, an_answer_of_another_endpoint_at_the_address_names_it)
{
    check_is_read(
        [](auto const& request) {
            return scripted_response{"HTTP/1.1 421 Other\r\n" + attempt_header(request) + limit_header(4) +
                                     "Content-Length: 0\r\n\r\n"};
        },
        "/read/a");
}

TEST(named_limits_in_responses, the_head_of_a_stream_names_it)
{
    check_is_read(
        [](auto const& request) {
            auto bytes = events_from(request, 1, 3) + end_of_chunks;
            bytes.insert(bytes.find("\r\n") + 2, limit_header(4));
            return scripted_response{bytes};
        },
        "/draft/a", "POST");
}

TEST(named_limits_in_responses, a_response_that_is_cut_after_its_head_names_it)
{
    check_is_read(
        [](auto const& request) {
            auto response = scripted_response{"HTTP/1.1 200 OK\r\n" + attempt_header(request) +
                                              limit_header(4) + "Content-Length: 10\r\n\r\nabc"};
            response.close = true;
            return response;
        },
        "/book/a", "POST");
}

TEST(named_limits_in_responses, a_late_response_to_another_call_names_it)
{
    check_is_read(
        [](auto const& request) {
            auto late = "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: other\r\n" + limit_header(4) +
                        "Content-Length: 0\r\n\r\n";
            return scripted_response{late + signed_ok(request, "hello", limit_header(4))};
        },
        "/read/a");
}

// A caller that is gone does not make the limit unknown.
TEST(named_limits_in_responses, a_response_for_a_caller_who_left_names_it)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        auto response = scripted_response{"HTTP/1.1 200 OK\r\n" + attempt_header(request) + limit_header(4) +
                                          "Content-Length: 5\r\n\r\n"};
        response.late_bytes = "hello";
        response.late_delay = milliseconds{1'000};
        return response;
    }};
    start_entry_with({&endpoint});
    std::ignore = call(callers, next_request("/read/a"), milliseconds{200}); // leaves after the head
    DOUBLES_EQUAL(4.0, known_limit(), 0.001);
}

// Guards against an endpoint that is limited for ever.
TEST(named_limits_in_responses, it_ends_with_a_response_that_names_none)
{
    auto named = std::atomic<bool>{true};
    auto endpoint = scripted_endpoint{[&](auto const& request) {
        return scripted_response{signed_ok(request, "hello", named ? limit_header(4) : "")};
    }};
    start_entry_with({&endpoint});
    CHECK_EQUAL(200, ask("/read/a").status);
    DOUBLES_EQUAL(4.0, known_limit(), 0.001);
    named = false;
    CHECK(await_condition(seconds{5}, [&] { return ask("/read/a").status == 200; }));
    DOUBLES_EQUAL(0.0, known_limit(), 0.001);
    for (auto i = 0; i < 30; ++i)
        CHECK_EQUAL(200, ask("/read/a").status);
}

// Guards against a limit of one run of an endpoint that holds for the next one.
TEST(named_limits_in_responses, it_ends_with_the_run_of_the_endpoint)
{
    auto named = std::atomic<bool>{true};
    auto endpoint = scripted_endpoint{[&](auto const& request) {
        return scripted_response{signed_ok(request, "hello", named ? limit_header(0.2) : "")};
    }};
    start_entry_with({&endpoint});
    CHECK_EQUAL(200, ask("/read/a").status);
    DOUBLES_EQUAL(0.2, known_limit(), 0.001);
    named = false;
    remove("servers/i-1");
    put_endpoint("i-2", endpoint);
    std::this_thread::sleep_for(milliseconds{1'000}); // longer than the entry gathers changes of records
    for (auto i = 0; i < 10; ++i)
        CHECK_EQUAL(200, ask("/read/a").status);
}
