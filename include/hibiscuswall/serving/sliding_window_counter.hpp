#pragma once
// Counts events of the last seconds in buckets, for limits that hold in any span of a given length.
//
//   auto sends = send_window{seconds{1}};
//   sends.add(now);
//   sends.count(now);          // events within the span before now, rounded up to a bucket

#include "hibiscuswall/core/time.hpp"

#include <array>
#include <cstdint>

namespace hibiscuswall {

class send_window {
public:
    explicit send_window(milliseconds span) : bucket_span_{span / buckets} {}

    auto add(time_point now) -> void
    {
        advance(now);
        ++counts_[static_cast<std::size_t>(newest_) % counts_.size()];
    }

    // Never too low: the oldest bucket, of which a part lies outside the span, counts whole.
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
