#pragma once
// Settings of the prompt quarantine (see prompt_quarantine.hpp).

#include "hibiscuswall/core/time.hpp"

#include <cstddef>

namespace hibiscuswall {

struct quarantine_settings {
    int quarantine_generation = 3;            // generation from which calls are rejected
    milliseconds suspicion_lifetime{300'000}; // of marks below the quarantine generation
    milliseconds quarantine_time{600'000};    // until the first new trial; doubles with each generation
    milliseconds max_quarantine_time{3'600'000};
    milliseconds trial_due_lifetime{3'600'000}; // a segment that nobody asks for is forgotten after it
    milliseconds weights_trial_delay{60'000};   // other weights declared: time until trials at the latest
    milliseconds trial_rank_delay{500};         // entry of rank n may send a trial call n times this later
    milliseconds held_retry_after{500};         // for calls that wait for the outcome of a trial
    std::size_t max_segments = 256;             // least suspected and oldest are forgotten first
    std::size_t max_marks = 8;          // of one segment; the oldest of the lowest generation go first
    std::size_t max_call_segments = 64; // segments of one call that are looked at
};

// Quarantine time of a segment of the given generation.
[[nodiscard]] auto quarantine_time(quarantine_settings const& settings, int generation) -> milliseconds;

} // namespace hibiscuswall
