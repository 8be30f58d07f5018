#pragma once
// Events of a model in made-up time. No clock.
//
//   auto events = event_queue{};
//   events.add(start + milliseconds{5}, [&] { ... });        // may add further events
//   events.run_until(start + seconds{60});                   // in order of time, then of addition
//   events.now();                                            // time of the event that runs

#include "hibiscuswall/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace hibiscuswall::models {

class event_queue {
public:
    explicit event_queue(time_point start) : now_{start} {}

    [[nodiscard]] auto now() const -> time_point { return now_; }

    // An event of the past runs now.
    auto add(time_point at, std::function<void()> run) -> void
    {
        events_.push({std::max(at, now_), next_number_++, std::move(run)});
    }

    // Events later than `end` are kept.
    auto run_until(time_point end) -> void
    {
        while (!events_.empty() && events_.top().at <= end) {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        now_ = std::max(now_, end);
    }

private:
    struct event {
        time_point at;
        std::uint64_t number = 0;
        std::function<void()> run;

        auto operator<(event const& other) const -> bool
        {
            return std::pair{at, number} > std::pair{other.at, other.number}; // the earliest on top
        }
    };

    time_point now_;
    std::uint64_t next_number_ = 0;
    std::priority_queue<event> events_;
};

} // namespace hibiscuswall::models
