#pragma once
// Times at which requests arrived at one endpoint, and the most that came within any window of a given
// length.
//
//   auto arrivals = arrival_log{};
//   arrivals.add(clock::now());                          // from any thread
//   arrivals.most_within(seconds{4}, from);              // of windows that end at `from` or later

#include "hibiscuswall/core/time.hpp"

#include <algorithm>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscuswall {

class arrival_log {
public:
    auto add(time_point at) -> void
    {
        auto const guard = std::lock_guard{lock_};
        times_.push_back(at);
    }

    [[nodiscard]] auto first() const -> time_point
    {
        auto const guard = std::lock_guard{lock_};
        return times_.empty() ? time_point{} : times_.front();
    }

    [[nodiscard]] auto count(time_point from, time_point to) const -> int
    {
        auto const guard = std::lock_guard{lock_};
        return static_cast<int>(
            std::count_if(times_.begin(), times_.end(), [&](auto at) { return from <= at && at < to; }));
    }

    [[nodiscard]] auto most_within(clock::duration span, time_point from) const -> int
    {
        auto const guard = std::lock_guard{lock_};
        auto sorted = times_;
        std::sort(sorted.begin(), sorted.end());
        auto window = std::deque<time_point>{};
        auto most = std::size_t{0};
        for (auto const at : sorted) {
            window.push_back(at);
            while (at - window.front() > span)
                window.pop_front();
            if (at >= from) most = std::max(most, window.size());
        }
        return static_cast<int>(most);
    }

    // The arrivals after the first one, in milliseconds, for the message of a failed check.
    [[nodiscard]] auto text() const -> std::string
    {
        auto const guard = std::lock_guard{lock_};
        auto text = std::string{};
        for (auto const at : times_)
            text += std::to_string((at - times_.front()) / milliseconds{1}) + " ";
        return text;
    }

private:
    mutable std::mutex lock_;
    std::vector<time_point> times_;
};

} // namespace hibiscuswall
