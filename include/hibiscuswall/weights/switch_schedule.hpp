#pragma once
// Decides the next step that an agent takes for its engine's weights, and when. Uses neither network nor
// clock.
//
//   auto next = next_weights_step(view, settings, now);
//   if (next.action == weights_action::load) order(next.version);
//
// The engines of a service switch versions one after another. Each agent computes the order from the
// endpoints' addresses, without election, lease or messages. All engines switch before the time after which
// no request may begin on older weights. Where chunks arrive too late for that order, often at many hosts at
// the same time, the engines switch in the same order from then on, as far apart as the rest of the time
// allows.
//
// A newer declaration does not cancel the switch to the previous version, because the newer chunks may arrive
// only after the deadline of the previous one. Each engine takes the newest version that is complete when it
// is due.

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace hibiscuswall {

struct switch_settings {
    // From the declaration to the switch of the first engine. Most hosts have the complete version by then.
    milliseconds first_switch_delay{2'600};
    milliseconds last_switch_delay{6'400}; // from the declaration to the switch of the last engine
    // From the declaration until which engines whose chunks arrived too late for these times wait for each
    // other. Calls may no longer begin on the old version soon after it.
    milliseconds max_switch_delay{7'000};
    // Fraction of the chunks from which on an engine that is due is drained.
    double nearly_complete_fraction = 0.75;
    // An engine drained for this long without a complete version takes calls again.
    milliseconds max_drain_duration{1'500};
    // A version older than the newest declared one is staged this long before its switch.
    milliseconds staging_lead_time{600};
};

struct declared_version {
    std::uint64_t version = 1;
    time_point declared_at;                         // earliest time at which it may have been declared
    bool complete = false;                          // every chunk is held and verified
    double held_fraction = 0;                       // fraction of the chunks that are held, 0 to 1
    std::optional<time_point> nearly_complete_at{}; // when that reached nearly_complete_fraction
};

struct weights_view {
    std::span<declared_version const> declared; // oldest first, never empty
    std::optional<std::uint64_t> held; // version that the engine serves completely; nullopt if it serves none
    bool order_running = false;        // the engine is carrying out an order
    std::optional<time_point> drained_at; // when the engine was last drained for a switch
    std::optional<std::uint64_t> staged;  // version that is staged at the engine
    double rank = 0;                      // position of the engine among those of its service, 0 to 1
};

enum class weights_action {
    none,  // the engine serves the newest declared version
    wait,  // for chunks, for the engine's switch time, or for a running order
    drain, // send the engine no more calls: it is due and the version is nearly complete
    stage, // write the version to the engine's stage
    load,  // order the engine to load the staged version
};

struct weights_step {
    weights_action action = weights_action::none;
    std::uint64_t version = 0; // to stage or to load

    friend auto operator==(weights_step const&, weights_step const&) -> bool = default;
};

[[nodiscard]] auto next_weights_step(weights_view const& view, switch_settings const& settings,
                                     time_point now) -> weights_step;

// When an engine of this rank switches away from the version that it holds, if its chunks are there in time.
[[nodiscard]] auto switch_time(weights_view const& view, switch_settings const& settings) -> time_point;

// When it switches, or is drained for the switch. The same, unless its chunks arrived too late for that.
[[nodiscard]] auto due_time(weights_view const& view, switch_settings const& settings) -> time_point;

} // namespace hibiscuswall
