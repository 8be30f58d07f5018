#include "hibiscuswall/admission/concurrency_limit.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto smoothing = 8; // the moving average gives each new latency a weight of 1/smoothing

auto scaled(microseconds value, double factor) -> microseconds
{
    return microseconds{static_cast<long long>(static_cast<double>(value.count()) * factor)};
}

} // namespace

concurrency_limit::concurrency_limit(admission_settings settings, int cold_limit, int max_limit)
    : settings_{settings}, cold_limit_{std::max(1, cold_limit)}, max_limit_{std::max(cold_limit_, max_limit)},
      limit_(cold_limit_)
{
}

auto concurrency_limit::configure(int cold_limit, int max_limit) -> void
{
    auto const was_cold = value() == cold_limit_;
    cold_limit_ = std::max(1, cold_limit);
    max_limit_ = std::max(cold_limit_, max_limit);
    // A limit that has not grown follows the declared cold limit; a limit that has grown is kept.
    limit_ = was_cold ? cold_limit_ : std::min(limit_, static_cast<double>(max_limit_));
}

auto concurrency_limit::add_sample(latency_history& history, microseconds latency, time_point now)
    -> microseconds
{
    if (history.min.count() == 0 || now - history.window_start > settings_.min_latency_window) {
        history.previous_min = history.min;
        history.min = latency;
        history.window_start = now;
    }
    history.min = std::min(history.min, latency);
    history.mean = history.mean.count() == 0 ? latency : history.mean + (latency - history.mean) / smoothing;
    return history.previous_min.count() == 0 ? history.min : std::min(history.min, history.previous_min);
}

auto concurrency_limit::succeeded(request_class priority, microseconds latency, std::size_t in_flight,
                                  time_point now) -> bool
{
    auto& history = histories_.at(static_cast<std::size_t>(priority));
    auto const min_latency = add_sample(history, std::max(latency, microseconds{1}), now);
    auto const slack = microseconds{settings_.latency_slack};

    history.consecutive_jumps =
        latency > scaled(min_latency, settings_.latency_jump) + slack ? history.consecutive_jumps + 1 : 0;
    if (history.consecutive_jumps >= settings_.jump_samples) {
        reset_to_cold();
        return true;
    }
    if (history.mean > scaled(min_latency, settings_.latency_tolerance) + slack) {
        overloaded(now);
        return false;
    }
    // Low latency justifies growth only while the limit is in use. The comparison is in whole slots: drafting
    // requests alone may use one slot of two, and against the fractional limit growth would stop at 2.5.
    auto const used = in_flight * 2 >= static_cast<std::size_t>(value());
    if (!growth_held_ && used) limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(max_limit_));
    return false;
}

auto concurrency_limit::overloaded(time_point now) -> void
{
    // One overload makes many requests fail at about the same time: they count as one signal.
    if (last_decrease_ != time_point{} && now - last_decrease_ < settings_.decrease_interval) return;
    last_decrease_ = now;
    limit_ = std::max(static_cast<double>(cold_limit_), limit_ * settings_.decrease_factor);
}

auto concurrency_limit::reset_to_cold() -> void
{
    limit_ = cold_limit_;
    histories_ = {};
}

} // namespace hibiscuswall
