// Records of non-idempotent calls at an agent: no call runs twice, and call.resolve reports only certain
// outcomes.
#include "hibiscuswall/calls/call_registry.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(call_registry)
{
    time_point now = time_point{std::chrono::hours{1'000}};
    call_registry registry{{4, 10, 25, std::chrono::hours{1}}};

    auto begin(std::string const& call_id)->result_code { return registry.begin(call_id, now); }
    auto resolve(std::string const& call_id, std::optional<milliseconds> age = std::nullopt)->call_state
    {
        return registry.resolve(call_id, age, now).state;
    }
    auto response(std::string body = "done")->stored_response { return {200, "text/plain", std::move(body)}; }
};

TEST(call_registry, answered_call_resolves_to_its_stored_response)
{
    CHECK(begin("a") == result_code::ok);
    registry.record_response("a", response());
    auto const found = registry.resolve("a", std::nullopt, now);
    CHECK(found.state == call_state::answered);
    STRCMP_EQUAL("done", found.response->body.c_str());
}

// Guards against a duplicated request that runs a booking twice.
TEST(call_registry, recorded_call_id_is_not_run_again)
{
    begin("a");
    CHECK(begin("a") == result_code::call_in_progress);
    registry.record_response("a", response());
    CHECK(begin("a") == result_code::outcome_unknown);
    begin("b");
    registry.record_unknown_outcome("b");
    CHECK(begin("b") == result_code::outcome_unknown);
    CHECK(resolve("b") == call_state::unknown);
}

// Guards against a first request that runs although it arrives after its retry was allowed to run.
TEST(call_registry, call_revoked_before_its_arrival_is_rejected)
{
    CHECK(resolve("late") == call_state::revoked);
    CHECK(begin("late") == result_code::call_revoked);
    CHECK(resolve("late") == call_state::revoked);
}

TEST(call_registry, call_that_did_not_run_may_begin_again_until_it_is_resolved)
{
    begin("a");
    registry.record_not_run("a");
    CHECK(begin("a") == result_code::ok);
    registry.record_not_run("a");
    CHECK(resolve("a") == call_state::refused);
    CHECK(begin("a") == result_code::call_revoked);
}

TEST(call_registry, response_above_size_limit_is_not_stored)
{
    begin("a");
    registry.record_response("a", response("more than ten bytes"));
    auto const found = registry.resolve("a", std::nullopt, now);
    CHECK(found.state == call_state::answered);
    CHECK_FALSE(found.response.has_value());
}

// Guards against unbounded growth of the stored responses. The oldest ones are dropped first; their calls
// stay recorded.
TEST(call_registry, total_size_of_stored_responses_is_bounded)
{
    for (auto const* id : {"a", "b", "c"}) {
        begin(id);
        registry.record_response(id, response("ten bytes!"));
    }
    CHECK_FALSE(registry.find("a")->response.has_value());
    CHECK(registry.find("a")->state == call_state::answered);
    CHECK(registry.find("b")->response.has_value());
}

// Guards against evicting the record of a running or revoked call to keep the bound.
TEST(call_registry, full_registry_rejects_new_calls_instead_of_evicting_needed_records)
{
    for (auto const* id : {"a", "b", "c"})
        begin(id);
    resolve("d");
    CHECK(begin("e") == result_code::endpoint_overloaded);
    CHECK(resolve("e") == call_state::unknown);
    registry.record_response("a", response());
    CHECK(begin("e") == result_code::ok);
}

// Guards against resolving a call as revoked that ran and whose record was evicted.
TEST(call_registry, call_that_may_have_been_evicted_resolves_to_unknown)
{
    begin("old");
    registry.record_response("old", response());
    now += std::chrono::hours{2};
    begin("new");
    CHECK(resolve("old", std::chrono::hours{2}) == call_state::unknown);
    CHECK(resolve("undated") == call_state::unknown);
    CHECK(resolve("recent", seconds{5}) == call_state::revoked);
}
