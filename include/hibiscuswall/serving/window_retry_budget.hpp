#pragma once
// This entry's share of the repeats that all entries together may send to one service.
//
//   auto budget = repeat_budget{settings};
//   budget.on_call(now);                    // a caller's request for the service
//   if (budget.take(now)) send_again();
//
// The bound is a sum over all entries: a ratio of the calls plus a fixed reserve. Each entry keeps to the
// ratio of its own calls and to an equal part of the reserve, so the sum holds also while entries cannot see
// each other.

#include "hibiscuswall/serving/sliding_window_counter.hpp"

namespace hibiscuswall {

struct repeat_budget_settings {
    double ratio = 0.1;          // repeats for each call
    double reserve = 10;         // repeats of all entries beyond the ratio, in any window
    milliseconds window{10'000}; // span in which the bound holds
    int most_entries = 16;       // entries that may exist
};

class repeat_budget {
public:
    explicit repeat_budget(repeat_budget_settings const& settings)
        : settings_{settings}, calls_{settings.window}, repeats_{settings.window}
    {
    }

    auto on_call(time_point now) -> void { calls_.add(now); }

    // False when the share is used up.
    auto take(time_point now) -> bool
    {
        // The window of calls holds a bucket more than its span; nine tenths make up for it.
        auto const allowed =
            0.9 * settings_.ratio * calls_.count(now) + settings_.reserve / settings_.most_entries;
        if (repeats_.count(now) + 1 > allowed) return false;
        repeats_.add(now);
        return true;
    }

private:
    repeat_budget_settings settings_;
    send_window calls_;
    send_window repeats_;
};

} // namespace hibiscuswall
