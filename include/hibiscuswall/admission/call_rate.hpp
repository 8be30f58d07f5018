#pragma once
// The rate of calls to an endpoint that all come from this process: a token bucket, while the endpoint names
// a limit.
//
//   rate.set_limit(2.0, now);
//   if (rate.available(now) > 0) { rate.record_start(now); start(); }
//   rate.startable_before(deadline, now);

#include "hibiscuswall/core/rate_rules.hpp"
#include "hibiscuswall/core/sliding_window_counter.hpp"

#include <optional>

namespace hibiscuswall {

class call_rate {
public:
    // Calls that were started before the limit became known count.
    auto set_limit(std::optional<double> calls_per_second, time_point now) -> void;

    auto record_start(time_point now) -> void;

    [[nodiscard]] auto is_limited() const -> bool { return limit_.has_value(); }
    [[nodiscard]] auto limit() const -> std::optional<double> { return limit_; }

    // Calls that may be started now; without a limit, more than there can be.
    [[nodiscard]] auto available(time_point now) const -> int;

    // Calls that may be started from now until then, if none is started before.
    [[nodiscard]] auto startable_before(time_point then, time_point now) const -> double;

    // When this many calls may have been started; now without a limit.
    [[nodiscard]] auto startable_at(int calls, time_point now) const -> time_point;

private:
    [[nodiscard]] auto rate() const -> double { return std::max(*limit_, min_calls_per_second); }
    [[nodiscard]] auto level(time_point now) const -> double;

    std::optional<double> limit_; // calls per second
    double level_ = 0;            // calls that might be started at level_at_; negative: too many were
    time_point level_at_;
    sliding_window_counter starts_{earlier_window};
};

} // namespace hibiscuswall
