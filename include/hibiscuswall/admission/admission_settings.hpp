#pragma once
// Settings of the admission control beside one endpoint (docs/admission.md).
//
//   auto settings = read_admission_settings(reader.child("admission"));

#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/core/time.hpp"

namespace hibiscuswall {

struct admission_settings {
    double decrease_factor = 0.7;   // "decrease_factor": limit after one overload signal, relative to before
    double latency_tolerance = 2.0; // "latency_tolerance": smoothed over best latency that counts as overload
    double latency_jump = 8.0;      // "latency_jump": latency over best that counts as a turn to cold
    int jump_samples = 3; // "jump_samples": consecutive ones needed, so that one slow answer is none
    milliseconds latency_slack{20};   // "latency_slack_ms": added to the tolerance, above scheduling noise
    milliseconds best_window{30'000}; // "best_window_ms": the best latency is forgotten after 1 to 2 windows
    milliseconds decrease_pause{200}; // "decrease_pause_ms": least time between two decreases
    double status_share = 0.9;        // "status_share": part of limit and queue open to status and below
    double drafting_share = 0.75;     // "drafting_share": part of limit and queue open to drafting
};

[[nodiscard]] auto read_admission_settings(settings_reader reader) -> admission_settings;

} // namespace hibiscuswall
