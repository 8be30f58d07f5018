#pragma once
// What an entry has learned about one endpoint from the answers of its agent (soft state).

#include "hibiscuswall/core/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace hibiscuswall {

struct endpoint_state {
    // ---- as carried on the last answer
    int in_flight = 0;             // over all entries
    int limit = 0;                 // 0: not told yet
    std::uint64_t incarnation = 0; // highest seen of the agent
    std::string weights_version;   // empty: not told yet
    time_point told_at{};          // when in_flight was told
    bool leaving = false;          // told by the agent; holds for this incarnation

    // ---- own view
    int own_in_flight = 0;      // calls of this entry that wait for an answer
    int own_at_answer = 0;      // own_in_flight when in_flight was told
    int failures = 0;           // consecutive
    bool ejected = false;       // takes probes only
    bool probing = false;       // the one probe is under way
    milliseconds ejection{0};   // length of the current ejection
    time_point ejected_until{}; // no probe before
    time_point paused_until{};  // refused as draining or cold

    // Requests at the endpoint: what this entry has there, and what the last answer told of other entries'.
    // Without an answer for one lifetime, the latter halves with each further one: an endpoint that was
    // told full and gets no calls for it would stay full for this entry for good.
    [[nodiscard]] auto expected_in_flight(time_point now, milliseconds lifetime) const -> double
    {
        auto const others = std::max(0, in_flight - own_at_answer);
        auto const lifetimes = std::chrono::duration<double>(now - told_at) / lifetime;
        return own_in_flight + others * std::exp2(-std::max(0.0, lifetimes - 1.0));
    }

    // Requests at the endpoint over its limit; 1 and above is full.
    [[nodiscard]] auto load(time_point now, milliseconds lifetime, int assumed_limit) const -> double
    {
        return expected_in_flight(now, lifetime) / std::max(1, limit > 0 ? limit : assumed_limit);
    }
};

} // namespace hibiscuswall
