#pragma once
// Bounds the bytes of exchanges that are made early because there is news. The regular exchanges count as
// well but are never held back: they find dead members.
//
//   auto budget = exchange_budget{settings.exchange_bytes_per_second};
//   budget.spend(bytes, now);
//   if (budget.allows(now)) ...        // another early exchange

#include "hibiscuswall/core/time.hpp"

#include <algorithm>

namespace hibiscuswall {

class exchange_budget {
public:
    explicit exchange_budget(int bytes_per_second) : rate_{static_cast<double>(bytes_per_second)} {}

    auto spend(std::size_t bytes, time_point now) -> void
    {
        refill(now);
        // A debt of more than the burst would silence news long after the regular exchanges made it.
        left_ = std::max(left_ - static_cast<double>(bytes), -burst_seconds * rate_);
    }

    [[nodiscard]] auto allows(time_point now) -> bool
    {
        refill(now);
        return left_ > 0;
    }

private:
    static constexpr auto burst_seconds = 4.0; // unused bytes that are kept for a burst of news

    auto refill(time_point now) -> void
    {
        if (now <= refilled_at_) return;
        auto const passed = std::chrono::duration<double>(now - refilled_at_).count();
        left_ = std::min(left_ + passed * rate_, burst_seconds * rate_);
        refilled_at_ = now;
    }

    double rate_;     // bytes a second
    double left_ = 0; // bytes; the first call fills it
    time_point refilled_at_ = {};
};

} // namespace hibiscuswall
