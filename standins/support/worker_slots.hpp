#pragma once
// A fixed number of places for work; waiting work is taken by priority, then in order of arrival.
//
//   co_await slots.acquire(priority);  ...;  slots.release();

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <map>

namespace hibiscuswall {

class worker_slots {
public:
    worker_slots(boost::asio::io_context& io, int places) : io_{io}, places_{places} {}

    // A place is handed on directly by release(), so that a newcomer cannot overtake.
    auto acquire(int priority) -> boost::asio::awaitable<void>
    {
        if (running_ < places_) {
            ++running_;
        } else {
            auto timer = clock_timer{io_, clock_timer::time_point::max()};
            waiting_.emplace(priority, &timer);
            co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        most_running_ = std::max(most_running_, running_);
    }

    auto release() -> void
    {
        if (waiting_.empty()) {
            --running_;
            return;
        }
        auto* const next = waiting_.begin()->second;
        waiting_.erase(waiting_.begin());
        next->cancel();
    }

    [[nodiscard]] auto running() const -> int { return running_; }
    [[nodiscard]] auto queued() const -> std::size_t { return waiting_.size(); }
    [[nodiscard]] auto most_running() const -> int { return most_running_; }

private:
    boost::asio::io_context& io_;
    int places_;
    int running_ = 0;
    int most_running_ = 0;
    std::multimap<int, clock_timer*, std::greater<>> waiting_;
};

} // namespace hibiscuswall
