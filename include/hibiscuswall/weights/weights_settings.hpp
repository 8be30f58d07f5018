#pragma once
// Settings of weight transfer and activation ("weights" in the agent's settings file).

#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/weights/chunk_plan.hpp"

#include <cstdint>

namespace hibiscuswall {

struct weights_settings {
    std::uint64_t staged_bytes = std::uint64_t{8} << 30U; // "staged_bytes": limit of the chunk store
    std::uint64_t upload_rate = 0;   // "upload_rate": bytes per second from this host, 0 means no limit
    std::uint64_t download_rate = 0; // "download_rate": bytes per second to this host, 0 means no limit
    // "region_draw_rate": bytes per second that all hosts of the region together fetch from store and origin,
    // 0 means no limit
    std::uint64_t region_source_rate = 0;
    std::uint64_t burst = 64 * 1024;    // "burst_bytes": burst of either direction
    std::size_t upload_slots = 6;       // "upload_slots": concurrent uploads; further requests get status 503
    bool peers = true;                  // "peers": false fetches all chunks from the source (as a baseline)
    milliseconds peer_timeout{1'000};   // "peer_timeout_ms": for a peer's response to a call
    milliseconds poll_interval{100};    // "poll_period_ms": between polls of peers for their holdings
    std::size_t poll_peers = 6;         // "poll_peers": peers asked in one poll
    milliseconds drain_timeout{30'000}; // "drain_timeout_ms": for requests in flight before an order
    milliseconds load_timeout{120'000}; // "load_timeout_ms": from an order to the report of its digest
    // "probe_period_ms": between status requests to the engine during a load
    milliseconds probe_interval{100};
    // "drawers": maximum of hosts that fetch a version from the source; 0 means all hosts of the source's
    // region, or all hosts if that region is not given.
    std::size_t source_fetchers = 0;
    // "clock_gap_ms": a longer pause between taking the fencing number and sending the order voids the order
    milliseconds max_order_pause{2'000};
    chunk_plan_settings plan;
};

[[nodiscard]] auto read_weights_settings(settings_reader reader) -> weights_settings;

} // namespace hibiscuswall
