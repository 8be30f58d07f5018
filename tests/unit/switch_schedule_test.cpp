// Schedule by which engines switch versions: one after another, within the deadline of each declaration, also
// if declarations come close together or chunks arrive late.
#include "hibiscuswall/weights/fetch_window.hpp"
#include "hibiscuswall/weights/switch_schedule.hpp"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(switch_schedule)
{
    time_point start{seconds{1'000}};
    switch_settings settings;
    std::vector<declared_version> declared;
    weights_view view;

    void setup() override
    {
        view.held = 1;
        view.rank = 0.5;
        declared = {{2, start, true, 1.0}};
    }

    auto step(milliseconds after)->weights_step
    {
        view.declared = declared;
        return next_weights_step(view, settings, start + after);
    }

    auto check(milliseconds after, weights_action action, std::uint64_t version = 0)->void
    {
        auto const next = step(after);
        CHECK(action == next.action);
        CHECK_EQUAL(version, next.version);
    }
};

TEST(switch_schedule, complete_version_is_staged_at_once_and_loaded_when_due)
{
    check(milliseconds{2'700}, weights_action::stage, 2);
    view.staged = 2;
    check(milliseconds{2'700}, weights_action::wait);
    check(milliseconds{4'500}, weights_action::load, 2);
    view.order_running = true;
    check(milliseconds{4'600}, weights_action::wait);
    view.order_running = false;
    view.held = 2;
    check(milliseconds{4'700}, weights_action::none);
}

// Guards against calls that begin on older weights after the deadline: the last engine switches well before
// it.
TEST(switch_schedule, every_rank_switches_between_first_and_last_switch_delay)
{
    view.staged = 2;
    for (auto rank = 1; rank <= 27; ++rank) {
        view.rank = rank / 27.0;
        view.declared = declared;
        auto const at = switch_time(view, settings);
        CHECK(at >= start + settings.first_switch_delay);
        CHECK(at <= start + settings.last_switch_delay);
    }
}

TEST(switch_schedule, engine_without_weights_stages_and_loads_at_once)
{
    view.held.reset();
    view.rank = 1.0;
    check(milliseconds{0}, weights_action::stage, 2);
    view.staged = 2;
    check(milliseconds{0}, weights_action::load, 2);
}

// A second version is declared while the first one spreads. Engines that wait for the second version miss the
// deadline of the first, which cost six seconds without service.
TEST(switch_schedule, complete_version_is_loaded_while_a_newer_one_is_incomplete)
{
    declared.push_back({3, start + seconds{2}, false, 0.3});
    check(milliseconds{4'000}, weights_action::stage, 2); // shortly before its switch time
    view.staged = 2;
    check(milliseconds{4'500}, weights_action::load, 2);
    view.held = 2;
    check(milliseconds{4'600}, weights_action::wait);
    declared.back().complete = true;
    check(milliseconds{5'500}, weights_action::stage, 3);
    view.staged = 3;
    check(milliseconds{6'500}, weights_action::load, 3);
}

TEST(switch_schedule, newer_version_that_is_complete_in_time_replaces_the_older)
{
    declared.push_back({3, start + seconds{2}, true, 1.0});
    check(milliseconds{3'000}, weights_action::stage, 3);
    view.staged = 3;
    check(milliseconds{4'500}, weights_action::load, 3);
}

// Chunks arrive late. Running calls end while the last chunks arrive, but an engine must not stay idle for a
// version that does not become complete.
TEST(switch_schedule, engine_is_drained_when_due_and_nearly_complete)
{
    declared = {{2, start, false, 0.5}};
    check(milliseconds{5'000}, weights_action::wait);
    declared = {{2, start, false, 0.8}};
    check(milliseconds{4'000}, weights_action::wait); // not due yet
    check(milliseconds{5'000}, weights_action::drain);
    view.drained_at = start + milliseconds{5'000};
    check(milliseconds{6'000}, weights_action::drain);
    check(milliseconds{6'600},
          weights_action::wait); // the source is unavailable, so the engine takes calls again
}

// Guards against a service without engines: a version that arrives late arrives at many hosts at the same
// time, and an engine that switches takes no calls.
TEST(switch_schedule, engines_whose_chunks_arrive_late_and_together_do_not_switch_together)
{
    constexpr auto engines = 16;
    constexpr auto step_length = milliseconds{50};
    constexpr auto max_in_half_a_second = 7; // of the last chunks that are in time, 1.2 s before the end
    for (auto const arrived : {milliseconds{4'000}, milliseconds{5'000}, milliseconds{5'800}}) {
        declared = {{2, start, true, 1.0, start + arrived}};
        view.staged = 2;
        auto switches = std::vector<milliseconds>{};
        for (auto rank = 1; rank <= engines; ++rank) {
            view.rank = rank / static_cast<double>(engines);
            auto after = arrived;
            while (step(after).action != weights_action::load)
                after += step_length;
            CHECK(after <= settings.max_switch_delay);
            switches.push_back(after);
        }
        for (auto const& first : switches) {
            auto const together = std::count_if(switches.begin(), switches.end(), [&](milliseconds each) {
                return each >= first && each < first + milliseconds{500};
            });
            CHECK(together <= max_in_half_a_second);
        }
    }
}

// The same for engines that are drained while the last chunks arrive.
TEST(switch_schedule, engines_that_wait_for_the_last_chunks_are_not_drained_together)
{
    declared = {{2, start, false, 0.8, start + milliseconds{5'000}}};
    view.rank = 0.1;
    check(milliseconds{5'200}, weights_action::drain);
    view.rank = 0.6;
    check(milliseconds{5'200}, weights_action::wait);
    check(milliseconds{6'250}, weights_action::drain);
}

// Guards against engines that wait for each other until calls may no longer begin on their version.
TEST(switch_schedule, engines_whose_chunks_arrive_last_switch_at_once)
{
    declared = {{2, start, true, 1.0, start + settings.max_switch_delay}};
    view.staged = 2;
    view.rank = 1.0;
    check(settings.max_switch_delay, weights_action::load, 2);
}

// Guards against engines that serve no calls: the older version is never complete, its deadline passes, and
// they wait for each other until that of the newer one, which they have.
TEST(switch_schedule, engines_that_lack_an_older_version_switch_to_a_late_newer_one_before_the_older_deadline)
{
    declared = {{2, start, false, 0.3}, {3, start + seconds{4}, true, 1.0, start + milliseconds{6'800}}};
    view.staged = 3;
    view.rank = 1.0;
    check(settings.max_switch_delay, weights_action::load, 3);
}

// ---- fetch window

TEST_GROUP(fetch_window){};

// Guards against client calls that wait seconds behind chunks on a narrow link.
TEST(fetch_window, slow_fetch_reduces_the_window_to_one_and_fast_fetches_restore_it)
{
    auto window = fetch_window{3};
    CHECK_EQUAL(3U, window.size());
    window.on_fetch_ended(milliseconds{900});
    CHECK_EQUAL(1U, window.size());
    window.on_fetch_ended(milliseconds{300});
    CHECK_EQUAL(1U, window.size());
    for (auto i = 0; i < 5; ++i)
        window.on_fetch_ended(milliseconds{60});
    CHECK_EQUAL(3U, window.size());
}
