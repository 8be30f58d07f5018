// What an agent remembers of non-idempotent calls: nothing runs twice, and no answer to call.resolve is a
// guess.
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
    auto answer(std::string body = "done")->kept_answer { return {200, "text/plain", std::move(body)}; }
};

TEST(call_registry, a_repeat_gets_the_first_answer)
{
    CHECK(begin("a") == result_code::ok);
    registry.answered("a", answer());
    auto const found = registry.resolve("a", std::nullopt, now);
    CHECK(found.state == call_state::answered);
    STRCMP_EQUAL("done", found.answer->body.c_str());
}

// Guards against a duplicated request that runs a booking twice.
TEST(call_registry, a_call_id_runs_once)
{
    begin("a");
    CHECK(begin("a") == result_code::call_in_progress);
    registry.answered("a", answer());
    CHECK(begin("a") == result_code::outcome_unknown);
    begin("b");
    registry.unknown("b");
    CHECK(begin("b") == result_code::outcome_unknown);
    CHECK(resolve("b") == call_state::unknown);
}

// Guards against a first request that arrives after its repeat was allowed to run.
TEST(call_registry, a_revoked_call_that_arrives_late_is_refused)
{
    CHECK(resolve("late") == call_state::revoked);
    CHECK(begin("late") == result_code::call_revoked);
    CHECK(resolve("late") == call_state::revoked);
}

TEST(call_registry, a_refused_call_may_come_again_until_it_is_resolved)
{
    begin("a");
    registry.not_run("a");
    CHECK(begin("a") == result_code::ok);
    registry.not_run("a");
    CHECK(resolve("a") == call_state::refused);
    CHECK(begin("a") == result_code::call_revoked);
}

TEST(call_registry, large_answers_are_not_kept)
{
    begin("a");
    registry.answered("a", answer("more than ten bytes"));
    auto const found = registry.resolve("a", std::nullopt, now);
    CHECK(found.state == call_state::answered);
    CHECK_FALSE(found.answer.has_value());
}

// Guards against kept answers growing without bound: the oldest go first, their calls stay known.
TEST(call_registry, kept_answers_are_bounded_in_total)
{
    for (auto const* id : {"a", "b", "c"}) {
        begin(id);
        registry.answered(id, answer("ten bytes!"));
    }
    CHECK_FALSE(registry.find("a")->answer.has_value());
    CHECK(registry.find("a")->state == call_state::answered);
    CHECK(registry.find("b")->answer.has_value());
}

// Guards against the bound being kept by forgetting a call that still runs or was revoked.
TEST(call_registry, a_full_registry_refuses_rather_than_forget)
{
    for (auto const* id : {"a", "b", "c"})
        begin(id);
    resolve("d");
    CHECK(begin("e") == result_code::endpoint_overloaded);
    CHECK(resolve("e") == call_state::unknown);
    registry.answered("a", answer());
    CHECK(begin("e") == result_code::ok);
}

// Guards against "revoked" for a call that ran and was forgotten since.
TEST(call_registry, after_dropping_a_record_an_old_call_is_not_called_unseen)
{
    begin("old");
    registry.answered("old", answer());
    now += std::chrono::hours{2};
    begin("new");
    CHECK(resolve("old", std::chrono::hours{2}) == call_state::unknown);
    CHECK(resolve("undated") == call_state::unknown);
    CHECK(resolve("recent", seconds{5}) == call_state::revoked);
}
