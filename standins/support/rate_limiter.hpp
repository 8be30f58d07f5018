#pragma once
// A link of limited speed shared by all connections of a process.
//
//   co_await link.take(piece.size());      // returns when the piece may be sent

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/core/time.hpp"

#include <algorithm>

namespace hibiscuswall {

class rate_limiter {
public:
    explicit rate_limiter(double bytes_per_second) : bytes_per_second_{bytes_per_second} {} // 0: unlimited

    auto set_rate(double bytes_per_second) -> void { bytes_per_second_ = bytes_per_second; }
    [[nodiscard]] auto limited() const -> bool { return bytes_per_second_ > 0; }

    auto take(std::size_t bytes) -> boost::asio::awaitable<void>
    {
        if (!limited()) co_return;
        auto const now = clock::now();
        auto const cost = std::chrono::duration<double>{static_cast<double>(bytes) / bytes_per_second_};
        free_at_ = std::max(free_at_, now) + std::chrono::duration_cast<clock::duration>(cost);
        auto const wait = std::chrono::ceil<milliseconds>(free_at_ - now);
        if (wait.count() > 0) co_await sleep_for(wait);
    }

private:
    double bytes_per_second_;
    time_point free_at_{};
};

} // namespace hibiscuswall
