#pragma once
// Settings "config" of a daemon.

#include "hibiscuswall/core/settings_reader.hpp"

namespace hibiscuswall {

struct config_settings {
    milliseconds watch_wait{2'000};  // "watch_wait_ms": longest wait of one watch call; confirms the revision
    milliseconds retry_delay{200};   // "retry_delay_ms": first delay after a failed store call
    milliseconds retry_limit{2'000}; // "retry_limit_ms": longest delay between store calls while it is down
    milliseconds peer_timeout{500};  // "peer_timeout_ms": one push or fetch
    milliseconds tick{100};          // "tick_ms": period of the clock-gap check
    milliseconds pause_threshold{1'000}; // "pause_threshold_ms": a longer gap between ticks was a pause
    milliseconds apply_timeout{5'000};   // "apply_timeout_ms": resolving a lost answer of a write
    milliseconds collect_interval{
        30'000};                         // "collect_interval_ms": between collections of unreferenced objects
    milliseconds collect_grace{120'000}; // "collect_grace_ms": an object stays unreferenced this long; must
                                         // exceed apply_timeout
    int fan_out = 8;                     // "fan_out": children of a node of the push tree
};

[[nodiscard]] auto read_config_settings(settings_reader reader) -> config_settings;

} // namespace hibiscuswall
