#pragma once
// Counts recent events in buckets, for limits that apply to any time window of a given length.
//
//   auto sends = sliding_window_counter{seconds{1}};
//   sends.add(now);
//   sends.count(now);          // events within the window before now, rounded up to a bucket

#include "hibiscuswall/core/time.hpp"

#include <array>
#include <cstdint>

namespace hibiscuswall {

class sliding_window_counter {
public:
    explicit sliding_window_counter(milliseconds span) : bucket_span_{span / buckets} {}

    auto add(time_point now) -> void
    {
        advance(now);
        ++counts_[static_cast<std::size_t>(newest_) % counts_.size()];
    }

    // Never too low: the oldest bucket is counted completely although part of it lies outside the window.
    [[nodiscard]] auto count(time_point now) -> int
    {
        advance(now);
        auto sum = 0;
        for (auto const each : counts_)
            sum += each;
        return sum;
    }

private:
    static constexpr auto buckets = 10;

    auto advance(time_point now) -> void
    {
        auto const index = now.time_since_epoch() / bucket_span_;
        if (index - newest_ > static_cast<std::int64_t>(counts_.size()))
            counts_.fill(0);
        else
            for (auto i = newest_ + 1; i <= index; ++i)
                counts_[static_cast<std::size_t>(i) % counts_.size()] = 0;
        if (index > newest_) newest_ = index;
    }

    clock::duration bucket_span_;
    std::array<int, buckets + 1> counts_{};
    std::int64_t newest_ = 0;
};

} // namespace hibiscuswall
