#pragma once
// Time as the decisions see it: a steady time point handed in by the caller.
//
//   auto admit(request const&, time_point now) -> decision;
//
// Only daemons and transports read the clock (clock::now()).

#include <chrono>

namespace hibiscuswall {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using seconds = std::chrono::seconds;

// Wall clock in milliseconds since 1970; only for display and for records read by other processes.
[[nodiscard]] inline auto wall_clock_ms() -> long long
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace hibiscuswall
