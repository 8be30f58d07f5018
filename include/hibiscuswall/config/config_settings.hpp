#pragma once
// The settings section "config" of a daemon.

#include "hibiscuswall/core/settings_reader.hpp"

namespace hibiscuswall {

struct config_settings {
    milliseconds watch_wait{
        2'000}; // "watch_wait_ms": max. duration of one watch call; its end confirms the revision
    milliseconds retry_delay{200};       // "retry_delay_ms": first delay before the retry of a store call
    milliseconds retry_limit{2'000};     // "retry_limit_ms": max. delay before the retry of a store call
    milliseconds peer_timeout{500};      // "peer_timeout_ms": timeout of one push or fetch
    milliseconds tick{100};              // "tick_ms": interval of the pause detection
    milliseconds pause_threshold{1'000}; // "pause_threshold_ms": a longer gap between ticks counts as a pause
    milliseconds apply_timeout{5'000};   // "apply_timeout_ms": resolves a root write without response
    milliseconds collect_interval{30'000}; // "collect_interval_ms": time between object collections
    milliseconds collect_grace{120'000};   // "collect_grace_ms": an object stays unreferenced this long; must
                                           // exceed twice apply_timeout
    int fan_out = 8;                       // "fan_out": max. children of a node of the push tree
};

[[nodiscard]] auto read_config_settings(settings_reader reader) -> config_settings;

} // namespace hibiscuswall
