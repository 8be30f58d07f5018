#pragma once
// Load and health of one endpoint as an entry knows them from the responses of its agent (soft state).

#include "hibiscuswall/core/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace hibiscuswall {

struct endpoint_stats {
    // ---- reported by the agent in its latest response
    int in_flight = 0;             // calls at the endpoint, from all entries
    int limit = 0;                 // concurrency limit; 0: not reported yet
    std::uint64_t incarnation = 0; // highest incarnation of the agent seen so far
    std::string weights_version;   // weights version served; empty: not reported yet
    time_point reported_at{};      // when in_flight was reported
    bool leaving = false;          // the agent reported that it leaves; valid for this incarnation only

    // ---- measured by this entry
    int own_in_flight = 0;             // calls of this entry that wait for a response
    int own_in_flight_at_report = 0;   // own_in_flight when in_flight was reported
    int failures = 0;                  // consecutive failed calls
    bool ejected = false;              // the endpoint receives probes only
    bool probing = false;              // a probe is in flight; at most one at a time
    milliseconds ejection_duration{0}; // duration of the current ejection
    time_point ejected_until{};        // no probe is sent before this time
    time_point paused_until{};         // not chosen before this time; set by a rejection (rejection_pause)

    // Estimated calls at the endpoint: those of this entry plus those of other entries as last reported. When
    // no report arrived for one lifetime, the second part halves with each further lifetime. Without this
    // decay an endpoint reported as full would receive no calls, so no new report could ever correct the
    // value.
    [[nodiscard]] auto expected_in_flight(time_point now, milliseconds lifetime) const -> double
    {
        auto const others = std::max(0, in_flight - own_in_flight_at_report);
        auto const lifetimes = std::chrono::duration<double>(now - reported_at) / lifetime;
        return own_in_flight + others * std::exp2(-std::max(0.0, lifetimes - 1.0));
    }

    // Estimated calls at the endpoint as a fraction of its limit; full at 1 and above.
    [[nodiscard]] auto load(time_point now, milliseconds lifetime, int assumed_limit) const -> double
    {
        return expected_in_flight(now, lifetime) / std::max(1, limit > 0 ? limit : assumed_limit);
    }
};

} // namespace hibiscuswall
