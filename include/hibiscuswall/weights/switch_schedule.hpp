#pragma once
// Decides what an agent does next about its engine's weights, and when. No network, no clock.
//
//   auto next = next_weights_step(view, settings, now);
//   if (next.action == weights_action::change) order(next.version);
//
// Engines of one service change their weights one after the other, in an order that each agent computes from
// the endpoints' addresses: nothing is elected, leased or asked for. The whole change ends before the time
// after which no request may begin on older weights.
//
// A newer declaration does not stop the change to the one before: its copy may come too late for the older
// one's time. Each engine takes the newest version that is whole when its turn comes.

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace hibiscuswall {

struct switch_settings {
    milliseconds first{2'600};  // from the declaration to the first engine's change: most hosts hold the copy
    milliseconds last{6'400};   // from the declaration to the last engine's change
    double nearly_whole = 0.75; // part of the chunks at which an engine whose turn came takes no more calls
    milliseconds longest_drain{1'500}; // without a whole version; then the engine takes calls again
    milliseconds staging{600}; // an older version than the wanted one is staged so long before its change
};

struct declared_version {
    std::uint64_t version = 1;
    time_point received_at; // when the agent learned of it
    bool whole = false;     // every chunk is held and verified
    double held_part = 0;   // of its chunks, 0 to 1
};

struct weights_view {
    std::span<declared_version const> declared; // oldest first; never empty
    std::optional<std::uint64_t> held;    // version that the engine serves with all layers; none: nothing
    bool order_running = false;           // the engine carries out an order
    std::optional<time_point> drained_at; // since when the engine takes nothing; none: it takes calls
    std::optional<std::uint64_t> staged;  // version that is staged at the engine
    double rank = 0;                      // place of this engine among those of its service, 0 to 1
};

enum class weights_action {
    none,   // the engine serves what is wanted
    wait,   // for chunks, for other engines, or for an order
    drain,  // send the engine no more calls: its turn came and the version is nearly whole
    stage,  // write the version to the engine's stage
    change, // order the engine to load what is staged
};

struct weights_step {
    weights_action action = weights_action::none;
    std::uint64_t version = 0; // to stage or to change to

    friend auto operator==(weights_step const&, weights_step const&) -> bool = default;
};

[[nodiscard]] auto next_weights_step(weights_view const& view, switch_settings const& settings,
                                     time_point now) -> weights_step;

// When an engine of this rank leaves the version that it holds.
[[nodiscard]] auto change_time(weights_view const& view, switch_settings const& settings) -> time_point;

} // namespace hibiscuswall
