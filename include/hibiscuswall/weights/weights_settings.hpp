#pragma once
// Settings of weight transfer and activation ("weights" in the agent's settings file).

#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/weights/chunk_plan.hpp"

#include <cstdint>

namespace hibiscuswall {

struct weights_settings {
    std::uint64_t staged_bytes = std::uint64_t{8} << 30U; // "staged_bytes": limit of staged weights
    std::uint64_t upload_rate = 0;      // "upload_rate": bytes a second of this host's link, 0: no limit
    std::uint64_t download_rate = 0;    // "download_rate": the same, towards this host
    std::uint64_t region_draw_rate = 0; // "region_draw_rate": bytes a second that all hosts of the region
                                        // together draw from store and origin, 0: no limit
    std::uint64_t burst = 64 * 1024;    // "burst_bytes": of either direction
    std::size_t upload_slots = 6;       // "upload_slots": chunks sent at a time; others get "busy"
    bool peers = true;                  // "peers": false fetches all from the source (the baseline)
    milliseconds peer_timeout{1'000};   // "peer_timeout_ms": of one peer's answer to a call
    milliseconds poll_period{100};      // "poll_period_ms": between questions to peers
    std::size_t poll_peers = 6;         // "poll_peers": asked at a time
    milliseconds drain_timeout{30'000}; // "drain_timeout_ms": requests in flight before an order
    milliseconds load_timeout{120'000}; // "load_timeout_ms": from an order to the reported digest
    milliseconds probe_period{100};     // "probe_period_ms": between looks at the engine
    std::size_t source_fetchers = 0; // "drawers": hosts that draw a version from the source; 0: all near it
    milliseconds clock_gap{2'000};   // "clock_gap_ms": a longer pause voids an order in preparation
    chunk_plan_settings plan;
};

[[nodiscard]] auto read_weights_settings(settings_reader reader) -> weights_settings;

} // namespace hibiscuswall
