#pragma once
// How many requests an endpoint may run at a time: additive increase while latency stays near its best,
// multiplicative decrease on overload, back to the cold limit when the endpoint turned cold.
//
//   auto limit = concurrency_limit{settings, 1, 16};
//   if (in_flight < limit.value()) start();
//   limit.succeeded(request_class::status, latency, in_flight, now);     // or limit.overloaded(now)
//
// Latencies are compared within one class, since drafting and status requests differ in length.

#include "hibiscuswall/admission/admission_settings.hpp"
#include "hibiscuswall/config/resource.hpp"

#include <array>

namespace hibiscuswall {

class concurrency_limit {
public:
    concurrency_limit(admission_settings settings, int cold, int highest);

    [[nodiscard]] auto value() const -> int { return static_cast<int>(limit_); }
    [[nodiscard]] auto cold() const -> int { return cold_; }

    // New bounds from the Service resource; the current value is kept within them.
    auto configure(int cold, int highest) -> void;

    // A request ended well. in_flight counts it. True when its latency reset the limit to cold.
    auto succeeded(request_class priority, microseconds latency, std::size_t in_flight, time_point now)
        -> bool;

    // The endpoint refused or failed a request.
    auto overloaded(time_point now) -> void;

    // The endpoint is cold: back to the cold limit; all latencies are forgotten.
    auto reset_to_cold() -> void;

    // While held the limit does not grow (the endpoint reports that it is cold).
    auto hold_growth(bool held) -> void { growth_held_ = held; }

private:
    struct latency_track {
        microseconds best{0};          // lowest of the current window; 0: none
        microseconds previous_best{0}; // lowest of the window before
        microseconds smoothed{0};      // moving average
        time_point window_start;       // of the current window
        int above_jump = 0;            // consecutive latencies above the jump
    };

    auto note(latency_track& track, microseconds latency, time_point now) -> microseconds;

    admission_settings settings_;
    int cold_;
    int highest_;
    double limit_;
    bool growth_held_ = false;
    time_point last_decrease_;
    std::array<latency_track, 3> tracks_; // by request_class
};

} // namespace hibiscuswall
