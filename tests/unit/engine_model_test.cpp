// The model of one engine: its batch, its queue and the time that tokens take.
#include "models/engine_model.hpp"
#include "models/event_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;
using namespace hibiscuswall::models;

namespace {

constexpr auto start = time_point{} + seconds{1};

auto profile() -> engine_profile
{
    auto engine = engine_profile{};
    engine.slots = 2;
    engine.step_ms = 10;
    engine.step_per_request_ms = 1;
    engine.steps_per_pass = 5;
    engine.prompt_tokens_per_ms = 10;
    engine.prompt_tokens_per_pass = 100;
    return engine;
}

} // namespace

TEST_GROUP(engine_model)
{
    engine_model engine{profile(), 1};

    // Ends passes until the call has ended, and returns when that was. `first_at` gets the time of its first
    // token.
    auto time_to_end(std::size_t call, time_point* first_at = nullptr)->time_point
    {
        while (auto const end = engine.pass_end())
            for (auto const& each : engine.end_pass(*end)) {
                if (each.call != call) continue;
                if (each.is_first && first_at != nullptr) *first_at = *end;
                if (each.has_ended) return *end;
            }
        return time_point::max();
    }
};

// Guards against a model that is faster than the engine: prompts are read in pieces, then tokens written.
TEST(engine_model, a_request_alone_takes_the_time_of_its_prompt_and_tokens)
{
    CHECK(engine.add({1, 250, 11}, start));
    auto first = time_point{};
    auto const end = time_to_end(1, &first);
    // Three passes read 100, 100 and 50 tokens, one step each.
    CHECK(first == start + milliseconds{3 * 10 + 25});
    // Ten further tokens: two passes of five steps with one writer.
    CHECK(end == first + milliseconds{2 * 5 * 11});
    CHECK_FALSE(engine.pass_end());
}

// Guards against a batch whose requests do not slow each other.
TEST(engine_model, a_prompt_is_read_between_the_tokens_of_others)
{
    CHECK(engine.add({1, 1, 100}, start));
    while (engine.end_pass(*engine.pass_end()).empty()) {
    }
    auto const joined = *engine.pass_end() - milliseconds{55};
    CHECK(engine.add({2, 100, 1}, joined));
    // The running pass of five steps ends first; the next one reads, beside five more steps.
    CHECK(time_to_end(2) == joined + milliseconds{55 + 55 + 10});
}

TEST(engine_model, requests_beyond_the_slots_wait_and_those_beyond_the_queue_are_refused)
{
    CHECK(engine.add({1, 1, 6}, start));
    CHECK(engine.add({2, 1, 100}, start));
    CHECK(engine.add({3, 1, 6}, start));
    CHECK_FALSE(engine.add({4, 1, 6}, start));
    CHECK_EQUAL(2, engine.running());
    CHECK_EQUAL(1, engine.queued());

    // The first one ends: the queued one takes its slot.
    CHECK(time_to_end(1) < time_point::max());
    CHECK_EQUAL(2, engine.running());
    CHECK_EQUAL(0, engine.queued());

    // A caller leaves: its request takes no slot any more.
    engine.remove(2);
    CHECK_EQUAL(1, engine.running());
    CHECK(time_to_end(3) < time_point::max());
}

TEST_GROUP(event_queue){};

// Guards against results that depend on the order in which a heap keeps equal times.
TEST(event_queue, events_run_in_order_of_time_and_then_of_addition)
{
    auto events = event_queue{start};
    auto order = std::string{};
    events.add(start + milliseconds{2}, [&] { order += "c"; });
    events.add(start + milliseconds{1}, [&] {
        order += "a";
        events.add(start, [&] { order += "b"; }); // of the past: now
    });
    events.add(start + milliseconds{2}, [&] { order += "d"; });
    events.add(start + milliseconds{9}, [&] { order += "late"; });
    events.run_until(start + milliseconds{5});
    STRCMP_EQUAL("abcd", order.c_str());
    CHECK(events.now() == start + milliseconds{5});
}
