#pragma once
// Tells rejected callers when to come back, so that no more of them return at a time than can be served.
//
//   auto schedule = retry_schedule{};
//   auto retry_after = schedule.next(calls_per_second, min_wait, now);

#include "hibiscuswall/core/time.hpp"

#include <algorithm>

namespace hibiscuswall {

class retry_schedule {
public:
    // Not below min_wait. Callers beyond the longest wait all get that one.
    auto next(double calls_per_second, milliseconds min_wait, time_point now) -> milliseconds
    {
        next_ = std::clamp(next_, now + min_wait, now + std::max(min_wait, max_wait));
        auto const wait = std::chrono::ceil<milliseconds>(next_ - now);
        if (calls_per_second > 0) next_ += bounded_duration(1 / calls_per_second, max_wait);
        return wait;
    }

private:
    static constexpr auto max_wait = milliseconds{10'000};

    time_point next_; // when the next caller may come back
};

} // namespace hibiscuswall
