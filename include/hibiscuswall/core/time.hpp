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

// That many seconds, from none to the longest; what is not a number counts as the longest.
// A double beyond the range of an integer must not be converted: some machines give the largest integer,
// others the smallest, so that a long time becomes a time in the past.
[[nodiscard]] inline auto bounded_duration(double span_seconds, clock::duration longest) -> clock::duration
{
    auto const span = std::chrono::duration<double>{span_seconds};
    if (!(span < longest)) return longest;
    if (span.count() <= 0) return clock::duration::zero();
    return std::chrono::duration_cast<clock::duration>(span);
}

// Wall clock in milliseconds since 1970; only for display and for records read by other processes.
[[nodiscard]] inline auto wall_clock_ms() -> long long
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace hibiscuswall
