#pragma once
// This entry's share of the retries that all entries together may send to one service within a time window.
// Not to be confused with retry_budget (routing), which counts tokens within one process.
//
//   auto budget = window_retry_budget{settings};
//   budget.on_call(now);                    // a new request for the service
//   if (budget.try_spend(now)) send_again();
//
// The limit applies to the sum over all entries: a ratio of the calls plus a fixed reserve. Each entry
// applies the ratio to its own calls and uses an equal share of the reserve, so the limit holds even while
// entries cannot communicate.

#include "hibiscuswall/core/sliding_window_counter.hpp"

namespace hibiscuswall {

struct window_retry_budget_settings {
    double ratio = 0.1;          // retries per call
    double reserve = 10;         // additional retries of all entries in any window
    milliseconds window{10'000}; // length of the window
    int entries = 16;            // entries among which the reserve is divided; assumed while they are unknown
};

class window_retry_budget {
public:
    explicit window_retry_budget(window_retry_budget_settings const& settings)
        : settings_{settings}, calls_{settings.window}, retries_{settings.window}
    {
    }

    auto set_entries(int entries) -> void { settings_.entries = entries; }

    auto on_call(time_point now) -> void { calls_.add(now); }

    // Returns false if the share is used up.
    auto try_spend(time_point now) -> bool
    {
        // The call counter covers up to one of ten buckets more than the window; the factor 0.9 compensates.
        auto const allowed =
            0.9 * settings_.ratio * calls_.count(now) + settings_.reserve / settings_.entries;
        if (retries_.count(now) + 1 > allowed) return false;
        retries_.add(now);
        return true;
    }

private:
    window_retry_budget_settings settings_;
    sliding_window_counter calls_;
    sliding_window_counter retries_;
};

} // namespace hibiscuswall
