#pragma once
// Settings for the admission control of one endpoint (docs/admission.md).
//
//   auto settings = read_admission_settings(reader.child("admission"));

#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/core/time.hpp"

namespace hibiscuswall {

struct admission_settings {
    double decrease_factor = 0.7;   // "decrease_factor": factor applied to the limit on each overload signal
    double latency_tolerance = 2.0; // "latency_tolerance": ratio of mean to minimum latency that counts as
                                    // overload
    double latency_jump = 8.0; // "latency_jump": ratio of a latency to the minimum that indicates that the
                               // endpoint became cold
    int jump_samples = 3;      // "jump_samples": consecutive latency jumps needed for a reset to the cold
                               // limit, so that one slow response does not cause it
    milliseconds latency_slack{20}; // "latency_slack_ms": added to both thresholds to absorb scheduling noise
    milliseconds min_latency_window{30'000}; // "best_window_ms": a minimum latency is dropped after one to
                                             // two windows
    milliseconds decrease_interval{200};     // "decrease_pause_ms": least time between two decreases
    double status_fraction = 0.9; // "status_share": fraction of limit and queue open to status and drafting
    double drafting_fraction = 0.75; // "drafting_share": fraction of limit and queue open to drafting
};

[[nodiscard]] auto read_admission_settings(settings_reader reader) -> admission_settings;

} // namespace hibiscuswall
