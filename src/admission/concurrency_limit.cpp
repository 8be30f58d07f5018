#include "hibiscuswall/admission/concurrency_limit.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto smoothing = 8; // weight of the past in the moving average, in requests

auto scaled(microseconds value, double factor) -> microseconds
{
    return microseconds{static_cast<long long>(static_cast<double>(value.count()) * factor)};
}

} // namespace

concurrency_limit::concurrency_limit(admission_settings settings, int cold, int highest)
    : settings_{settings}, cold_{std::max(1, cold)}, highest_{std::max(cold_, highest)}, limit_(cold_)
{
}

auto concurrency_limit::configure(int cold, int highest) -> void
{
    auto const was_cold = value() == cold_;
    cold_ = std::max(1, cold);
    highest_ = std::max(cold_, highest);
    // A limit that has not grown follows the declared cold limit; a grown one keeps what it learned.
    limit_ = was_cold ? cold_ : std::min(limit_, static_cast<double>(highest_));
}

// Best latency of the class, before the new one is judged.
auto concurrency_limit::note(latency_track& track, microseconds latency, time_point now) -> microseconds
{
    if (track.best.count() == 0 || now - track.window_start > settings_.best_window) {
        track.previous_best = track.best;
        track.best = latency;
        track.window_start = now;
    }
    track.best = std::min(track.best, latency);
    track.smoothed =
        track.smoothed.count() == 0 ? latency : track.smoothed + (latency - track.smoothed) / smoothing;
    return track.previous_best.count() == 0 ? track.best : std::min(track.best, track.previous_best);
}

auto concurrency_limit::succeeded(request_class priority, microseconds latency, std::size_t in_flight,
                                  time_point now) -> bool
{
    auto& track = tracks_.at(static_cast<std::size_t>(priority));
    auto const best = note(track, std::max(latency, microseconds{1}), now);
    auto const slack = microseconds{settings_.latency_slack};

    track.above_jump = latency > scaled(best, settings_.latency_jump) + slack ? track.above_jump + 1 : 0;
    if (track.above_jump >= settings_.jump_samples) {
        reset_to_cold();
        return true;
    }
    if (track.smoothed > scaled(best, settings_.latency_tolerance) + slack) {
        overloaded(now);
        return false;
    }
    // A limit that is not used learns nothing from a good latency. Compared in whole slots: drafts alone,
    // which may use one of two, would else stop the growth at 2.5.
    auto const used = in_flight * 2 >= static_cast<std::size_t>(value());
    if (!growth_held_ && used) limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(highest_));
    return false;
}

auto concurrency_limit::overloaded(time_point now) -> void
{
    // One overload shows in many requests at once: they count as one signal.
    if (last_decrease_ != time_point{} && now - last_decrease_ < settings_.decrease_pause) return;
    last_decrease_ = now;
    limit_ = std::max(static_cast<double>(cold_), limit_ * settings_.decrease_factor);
}

auto concurrency_limit::reset_to_cold() -> void
{
    limit_ = cold_;
    tracks_ = {};
}

} // namespace hibiscuswall
