#pragma once
// Adaptive limit on the concurrent requests of one endpoint. It grows additively while latency stays near its
// minimum, decreases multiplicatively on overload, and returns to the cold limit when the endpoint became
// cold.
//
//   auto limit = concurrency_limit{settings, 1, 16};
//   if (in_flight < limit.value()) start();
//   limit.succeeded(request_class::status, latency, in_flight, now);     // or limit.overloaded(now)
//
// Latencies are compared only within a class, because drafting and status requests differ in length.

#include "hibiscuswall/admission/admission_settings.hpp"
#include "hibiscuswall/config/resource.hpp"

#include <array>

namespace hibiscuswall {

class concurrency_limit {
public:
    concurrency_limit(admission_settings settings, int cold_limit, int max_limit);

    [[nodiscard]] auto value() const -> int { return static_cast<int>(limit_); }
    [[nodiscard]] auto cold_limit() const -> int { return cold_limit_; }

    // Sets new bounds from the Service resource. A limit that has not grown becomes the new cold limit; one
    // that has grown is kept, but at most max_limit.
    auto configure(int cold_limit, int max_limit) -> void;

    // Records a successful request; in_flight includes it. True when its latency caused a reset to the cold
    // limit.
    auto succeeded(request_class priority, microseconds latency, std::size_t in_flight, time_point now)
        -> bool;

    // Decreases the limit, at most once per decrease_interval and not below the cold limit. To be called when
    // the endpoint rejected or failed a request.
    auto overloaded(time_point now) -> void;

    // Returns to the cold limit and drops all latency histories. To be called when the endpoint is cold.
    auto reset_to_cold() -> void;

    // Stops the growth of the limit while the endpoint reports that it is cold.
    auto hold_growth(bool held) -> void { growth_held_ = held; }

private:
    struct latency_history {
        microseconds min{0};          // lowest latency of the current window; 0: no sample yet
        microseconds previous_min{0}; // lowest latency of the previous window; 0: no previous window
        microseconds mean{0};         // exponential moving average
        time_point window_start;      // start of the current window
        int consecutive_jumps = 0;    // consecutive latencies above the jump threshold
    };

    // Adds a latency to the history; returns the minimum over the current and the previous window.
    auto add_sample(latency_history& history, microseconds latency, time_point now) -> microseconds;

    admission_settings settings_;
    int cold_limit_;
    int max_limit_;
    double limit_;
    bool growth_held_ = false;
    time_point last_decrease_;
    std::array<latency_history, 3> histories_; // indexed by request_class
};

} // namespace hibiscuswall
