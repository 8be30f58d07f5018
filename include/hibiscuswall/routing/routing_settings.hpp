#pragma once
// Settings of an entry's choice among endpoints ("routing" in its settings file).

#include "hibiscuswall/core/settings_reader.hpp"

#include <cstddef>

namespace hibiscuswall {

struct routing_settings {
    std::size_t subset = 64;            // "subset": endpoints of one service that this entry uses at most
    double affinity_bound = 1.25;       // "affinity_bound": load over the mean at which a prefix moves on
    std::size_t prefix_bytes = 256;     // "prefix_bytes": length of the prompt prefix that decides affinity
    int assumed_limit = 2;              // "assumed_limit": concurrency limit until an answer has told it
    int failures_to_eject = 3;          // "failures_to_eject": consecutive failures
    milliseconds ejection{1'000};       // "ejection_ms": first ejection; doubles with each failed probe
    milliseconds ejection_limit{5'000}; // "ejection_limit_ms": longest ejection; a probe costs one small call
    milliseconds rejection_pause{250};  // "refusal_pause_ms": rest after a refusal as draining or cold
    milliseconds report_lifetime{1'000}; // "report_lifetime_ms": told load counts in full; then it decays
    double retry_reserve = 10.0;         // "retry_reserve": retries that may be saved up
};

[[nodiscard]] auto read_routing_settings(settings_reader reader) -> routing_settings;

} // namespace hibiscuswall
