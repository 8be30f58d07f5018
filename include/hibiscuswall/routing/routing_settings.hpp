#pragma once
// Settings for the choice of endpoints by an entry ("routing" in its settings file).

#include "hibiscuswall/core/settings_reader.hpp"

#include <cstddef>

namespace hibiscuswall {

struct routing_settings {
    std::size_t subset = 64; // "subset": greatest number of endpoints of one service that this entry uses
    double affinity_bound = 1.25;   // "affinity_bound": multiple of the mean load above which a call goes to
                                    // another endpoint than the one that its prompt prefix selects
    std::size_t prefix_bytes = 256; // "prefix_bytes": bytes of the prompt that decide affinity
    int assumed_limit = 2;          // "assumed_limit": concurrency limit until a response has reported it
    int failures_to_eject = 3;      // "failures_to_eject": consecutive failures that eject an endpoint
    milliseconds ejection_duration{1'000}; // "ejection_ms": first ejection; doubles after each failed probe
    milliseconds max_ejection_duration{5'000}; // "ejection_limit_ms": longest ejection; a probe costs only
                                               // one small call
    milliseconds rejection_pause{250};   // "refusal_pause_ms": how long an endpoint is not chosen after it
                                         // rejected a call as draining, cold, out of service or stopping
    milliseconds report_lifetime{1'000}; // "report_lifetime_ms": a reported load counts in full for this
                                         // long, then decays
    double retry_reserve = 10.0;         // "retry_reserve": greatest number of retries that can accumulate
};

[[nodiscard]] auto read_routing_settings(settings_reader reader) -> routing_settings;

} // namespace hibiscuswall
