#pragma once
// Decides which calls may be sent while a service takes fewer calls per second than arrive: the more urgent
// ones first, and of one priority a fraction. No network, no clock.
//
//   auto admission = priority_admission{};
//   admission.on_call(priority, now);                                            // of each call
//   if (admission.take(priority, calls_per_second, now, random)) send();         // once for each call
//
// The calls that are taken are chosen at random, but one from each run of 1 / fraction calls. Calls taken
// independently of each other come in bursts, for which too few calls are granted, with gaps between them in
// which granted calls go unused.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/sliding_window_counter.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace hibiscuswall {

class priority_admission {
public:
    // 0 is the most urgent priority.
    auto on_call(int priority, time_point now) -> void
    {
        if (calls_.size() >= max_priorities && !calls_.contains(priority)) return;
        calls_[priority].recent.add(now);
    }

    auto take(int priority, double calls_per_second, time_point now, random_source& random) -> bool
    {
        auto const taken = fraction(priority, calls_per_second, now);
        auto const found = calls_.find(priority);
        if (found == calls_.end() || taken <= 0 || taken >= 1) return taken >= 1;
        return found->second.is_next_taken(taken, random);
    }

    // Fraction of the calls of a priority that may be sent.
    [[nodiscard]] auto fraction(int priority, double calls_per_second, time_point now) -> double
    {
        auto remaining = calls_per_second;
        for (auto& [other, calls] : calls_) {
            auto const arriving = calls.recent.count(now) / counted_s;
            if (other == priority) return arriving > 0 ? std::clamp(remaining / arriving, 0.0, 1.0) : 1.0;
            remaining -= arriving;
        }
        return remaining > 0 ? 1.0 : 0.0;
    }

private:
    static constexpr auto span = milliseconds{2'000};
    static constexpr auto counted_s = 2.1; // span, and on average half of a counter's oldest bucket
    static constexpr auto max_priorities = std::size_t{32};

    struct arriving_calls {
        sliding_window_counter recent{span};
        double position = 0;   // sum of the fractions of all calls, without whole runs that have ended
        double next_taken = 0; // at this position, somewhere in the present run or in the next one

        // One call is taken in each run, which ends where the sum of the fractions reaches a whole number.
        auto is_next_taken(double fraction, random_source& random) -> bool
        {
            position += fraction;
            auto const is_taken = position >= next_taken;
            if (is_taken) next_taken = std::floor(next_taken) + 1 + random.fraction();
            if (position >= 1) {
                position -= 1;
                next_taken -= 1;
            }
            return is_taken;
        }
    };

    std::map<int, arriving_calls> calls_; // by priority
};

} // namespace hibiscuswall
