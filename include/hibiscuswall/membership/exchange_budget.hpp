#pragma once
// Token bucket for the bytes of early exchanges, which are made while updates are pending. Regular exchanges
// spend from it, too, but are never delayed, because they detect dead members.
//
//   auto budget = exchange_budget{settings.exchange_bytes_per_second};
//   budget.spend(bytes, now);
//   if (budget.allows(now)) ...        // another early exchange is allowed

#include "hibiscuswall/core/time.hpp"

#include <algorithm>

namespace hibiscuswall {

class exchange_budget {
public:
    explicit exchange_budget(int bytes_per_second) : rate_{static_cast<double>(bytes_per_second)} {}

    auto spend(std::size_t bytes, time_point now) -> void
    {
        refill(now);
        // The debt is limited to one burst: a larger one, left by regular exchanges, would hold back updates
        // for a long time.
        available_bytes_ = std::max(available_bytes_ - static_cast<double>(bytes), -burst_seconds * rate_);
    }

    [[nodiscard]] auto allows(time_point now) -> bool
    {
        refill(now);
        return available_bytes_ > 0;
    }

private:
    static constexpr auto burst_seconds = 4.0; // unused bytes kept for a burst of updates, in seconds

    auto refill(time_point now) -> void
    {
        if (now <= refilled_at_) return;
        auto const passed = std::chrono::duration<double>(now - refilled_at_).count();
        available_bytes_ = std::min(available_bytes_ + passed * rate_, burst_seconds * rate_);
        refilled_at_ = now;
    }

    double rate_;                // bytes per second
    double available_bytes_ = 0; // bytes; negative: debt; the first call fills the bucket
    time_point refilled_at_ = {};
};

} // namespace hibiscuswall
