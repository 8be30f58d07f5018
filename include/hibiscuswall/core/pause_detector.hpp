#pragma once
// Detects from the time between ticks that this process stood still: it was stopped, or its machine was
// suspended. What is received right after a pause may have arrived at any time during it.
//
//   auto pauses = pause_detector{};
//   pauses.tick(now);                                     // every pause_detector::tick_interval
//   auto const arrived = pauses.arrived_since(now);       // of what is received now

#include "hibiscuswall/core/time.hpp"

#include <optional>

namespace hibiscuswall {

class pause_detector {
public:
    static constexpr auto tick_interval = milliseconds{100};

    // Returns how long the process stood still before this tick; zero if it did not.
    auto tick(time_point now) -> clock::duration;

    // Earliest time at which something that is received now may have arrived: the begin of a pause that has
    // just ended, otherwise now. Valid also before the first tick after a pause.
    [[nodiscard]] auto arrived_since(time_point now) const -> time_point;

private:
    [[nodiscard]] auto begin_of_latest_pause() const -> time_point;

    std::optional<time_point> last_tick_;
    time_point pause_begun_;
    std::optional<time_point> pause_ended_;
};

} // namespace hibiscuswall
