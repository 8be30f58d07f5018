#include "hibiscuswall/core/pause_detector.hpp"

namespace hibiscuswall {
namespace {

constexpr auto pause_threshold = milliseconds{350}; // a longer time between two ticks is a pause
// After a pause, within which the process receives what arrived during it.
constexpr auto catch_up_duration = milliseconds{1'000};

} // namespace

auto pause_detector::tick(time_point now) -> clock::duration
{
    auto gap = clock::duration{0};
    if (last_tick_ && now - *last_tick_ > pause_threshold) {
        gap = now - *last_tick_;
        pause_begun_ = begin_of_latest_pause();
        pause_ended_ = now;
    }
    last_tick_ = now;
    return gap;
}

auto pause_detector::arrived_since(time_point now) const -> time_point
{
    if (last_tick_ && now - *last_tick_ > pause_threshold) return begin_of_latest_pause();
    if (pause_ended_ && now - *pause_ended_ < catch_up_duration) return pause_begun_;
    return now;
}

// Pauses that follow each other closely count as one: between them, not all was received.
auto pause_detector::begin_of_latest_pause() const -> time_point
{
    if (pause_ended_ && *last_tick_ - *pause_ended_ < catch_up_duration) return pause_begun_;
    return *last_tick_;
}

} // namespace hibiscuswall
