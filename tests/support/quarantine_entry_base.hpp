#pragma once
// Base of test groups with one entry's prompt quarantine, a made-up clock and crashes.
//
//   crash_times(3, call_with({"bad"}));
//   CHECK(is_rejected(call_with({"bad"})));
//
// CppUTest's header is included last, by the test as well as here.

#include "hibiscuswall/serving/prompt_quarantine.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace hibiscuswall {

inline auto call_with(std::initializer_list<char const*> segments) -> shared_prompt
{
    return {"model", {segments.begin(), segments.end()}};
}

template<typename decision>
auto is(send_decision const& made) -> bool
{
    return std::holds_alternative<decision>(made);
}

struct quarantine_entry_base : Utest {
    quarantine_settings settings;
    prompt_quarantine entry{settings, "entry-0"};
    time_point now{seconds{1'000}};
    std::uint64_t last_run = 0;

    // The call is sent now, and crashes the engine 300 ms later.
    auto crash(prompt_quarantine& at, shared_prompt const& prompt) -> void
    {
        auto const when_sent = at.suspicion_of(prompt);
        now += milliseconds{300};
        auto const suspect = crash_suspect{prompt, when_sent};
        at.record_crash(++last_run, {&suspect, 1}, now);
    }

    auto crash_times(int times, shared_prompt const& prompt) -> void
    {
        for (auto i = 0; i < times; ++i)
            crash(entry, prompt);
    }

    auto exchange(prompt_quarantine& from, prompt_quarantine& to) const -> bool
    {
        return to.merge(from.records(settings.max_segments, now), now);
    }

    auto decide(shared_prompt const& prompt) -> send_decision { return entry.decide(prompt, now); }

    auto is_rejected(shared_prompt const& prompt) -> bool { return is<send_quarantined>(decide(prompt)); }

    // Whether the call would be sent on trial; ends the trial at once.
    auto is_tried(prompt_quarantine& at, shared_prompt const& prompt) const -> bool
    {
        auto const decision = at.decide(prompt, now);
        if (auto const* const trial = std::get_if<send_on_trial>(&decision))
            at.end_trial(prompt.model, trial->segments);
        return is<send_on_trial>(decision);
    }

    auto is_tried(shared_prompt const& prompt) -> bool { return is_tried(entry, prompt); }

    auto status_of(std::string_view segment) const -> segment_status
    {
        for (auto const& each : entry.status(now))
            if (each.segment == segment) return each;
        return {};
    }

    auto state_of(std::string_view segment) const -> segment_state { return status_of(segment).state; }
};

} // namespace hibiscuswall
