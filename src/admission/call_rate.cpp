#include "hibiscuswall/admission/call_rate.hpp"

#include <cmath>
#include <limits>

namespace hibiscuswall {

auto call_rate::set_limit(std::optional<double> calls_per_second, time_point now) -> void
{
    if (calls_per_second == limit_) return;
    auto const was_limited = is_limited();
    auto const before = was_limited ? level(now) : 0;
    limit_ = calls_per_second;
    level_at_ = now;
    if (!limit_) return;
    // The longest debt is over when all that was started before has left the window.
    auto const longest_debt = rate() * in_seconds(rate_window);
    auto const unused = was_limited ? before : uncharged_calls(rate()) - starts_.count(now);
    level_ = std::clamp(unused, -longest_debt, call_store(*limit_));
}

auto call_rate::level(time_point now) const -> double
{
    return std::min(call_store(*limit_), level_ + rate() * in_seconds(now - level_at_));
}

auto call_rate::record_start(time_point now) -> void
{
    starts_.add(now);
    if (!limit_) return;
    level_ = level(now) - 1;
    level_at_ = now;
}

auto call_rate::available(time_point now) const -> int
{
    if (!limit_) return std::numeric_limits<int>::max();
    return static_cast<int>(std::floor(std::max(0.0, level(now))));
}

auto call_rate::startable_before(time_point then, time_point now) const -> double
{
    if (!limit_) return std::numeric_limits<double>::max();
    return level(now) + rate() * in_seconds(std::max(then, now) - now);
}

auto call_rate::startable_at(int calls, time_point now) const -> time_point
{
    if (!limit_) return now;
    auto const missing = std::max(0.0, calls - level(now));
    return now + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(missing / rate()));
}

} // namespace hibiscuswall
