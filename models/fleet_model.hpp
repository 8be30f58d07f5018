#pragma once
// Model of entries that place calls on the engines that they share. Each entry has its own endpoint table,
// which load reports of the engines reach late, and uses the product's placement and wait queue. No network,
// no clock; the same settings give the same result.
//
//   auto settings = fleet_settings{};
//   settings.calls_per_second = [](std::size_t entry, milliseconds) { return entry == 0 ? 40.0 : 3.0; };
//   auto const result = simulate(settings);
//   result.refused_share()
//
// Refused calls do not come back. Modelled: slots and passes of engines, shares of free slots, the wait for a
// slot, late reports. Not modelled: shedding, repeats, failures, limits that endpoints name, weights.

#include "hibiscuswall/serving/placement.hpp"
#include "hibiscuswall/serving/wait_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace hibiscuswall::models {

struct fleet_settings {
    // ---- fleet
    std::size_t entries = 6;
    std::size_t engines = 4;
    engine_profile engine;
    int engine_queue = 0;              // calls that an engine queues beyond its slots
    milliseconds link_delay{1};        // one way, between any two processes
    milliseconds report_interval{100}; // of an agent to all entries
    milliseconds report_age{0};        // of the figures in a report when it is sent

    // ---- calls
    std::function<double(std::size_t entry, milliseconds at)> calls_per_second; // that arrive at the entry
    double max_calls_per_second = 200;                                          // bound of calls_per_second
    int prompt_tokens = 1;
    int response_tokens = 20;
    milliseconds target_latency{600};
    placement_settings placement;
    wait_settings waiting;

    std::uint64_t seed = 1;
    milliseconds duration{20'000};
};

// An engine that takes 16 calls and responds to each for about 0.4 s.
[[nodiscard]] auto small_engine() -> engine_profile;

struct fleet_result {
    std::size_t calls = 0;
    std::size_t refused = 0;                 // by their entry
    std::size_t refused_while_half_free = 0; // of them, while less than half of all slots were in use
    std::size_t rejected_by_engines = 0;     // sent to a full engine
    std::vector<milliseconds> first_event;   // of the calls served, from their arrival, ascending
    double used_share = 0;                   // mean over time of the slots in use
    int max_running = 0;                     // at any engine at a time, queued calls included

    [[nodiscard]] auto refused_share() const -> double;
    // Of the times to the first event, for a share in (0, 1]; zero if no call was served.
    [[nodiscard]] auto first_event_percentile(double share) const -> milliseconds;
};

[[nodiscard]] auto simulate(fleet_settings const& settings) -> fleet_result;

} // namespace hibiscuswall::models
