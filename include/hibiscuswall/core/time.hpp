#pragma once
// Time as the decisions see it: a time point handed in by the caller.
//
//   auto admit(request const&, time_point now) -> decision;
//
// Only daemons and transports read the clock (clock::now()).

#include <chrono>

namespace hibiscuswall {

// Never set back, and runs on while the process is stopped and while the machine is suspended.
// std::chrono::steady_clock stands while the machine is suspended: what expired meanwhile would look valid.
struct clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock>;
    static constexpr auto is_steady = true;

    [[nodiscard]] static auto now() noexcept -> time_point;
};

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
