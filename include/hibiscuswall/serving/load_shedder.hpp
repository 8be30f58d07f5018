#pragma once
// Decides which calls of a service are shed while more arrive than its endpoints can serve. No network, no
// clock.
//
//   call.shed = shedder.is_shed(shedding_rank(identity, epoch)); // on arrival
//   shedder.on_unshed_call(was_rejected, now); // outcome of a call that was not shed
//   shedder.update(now);                       // several times a second
//   shedder.converge_to(mean_level, now);      // mean level of all entries, from load reports
//
// A rejected caller retries after its Retry-After, through any entry, and by then its response can only miss
// the latency target. If calls are rejected at random, retries take slots from new callers, who then retry
// too late in turn: half of the responses of a pool at its limit are late. The decision is therefore based on
// the identity of the call, which is the same for its retries and at every entry: the same fraction of
// callers is shed each time, and the others are served in time.

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <string_view>

namespace hibiscuswall {

struct shedding_settings {
    // Target for the rejected fraction of calls that are not shed. It is above 0 so that endpoints stay full.
    double target_rejected_fraction = 0.03;
    double rise_per_s = 2.0; // rise of the level per second = this * (rejected fraction - target)
    // Limits the increase, so that an outage of one or two seconds does not shed all callers.
    double max_rise_per_s = 0.4;
    double headroom_fall_per_s = 0.6; // decrease of the level while free slots are found for shed calls
    double fall_per_s = 0.15;         // decrease of the level while no unshed call is rejected
    double convergence_per_s = 1.5;   // fraction of the distance to the mean level covered per second
    double max_level = 0.75;          // upper bound of the level: some callers are never shed
    // Fraction of this entry's equal share of the slots that must be free to send a shed call.
    double min_free_fraction = 0.1;
    milliseconds decay_time{500};        // time constant of the exponential decay of the counts
    milliseconds epoch_duration{16'000}; // the set of shed callers changes after each epoch
};

class load_shedder {
public:
    explicit load_shedder(shedding_settings const& settings) : settings_{settings} {}

    // `rank` is the result of shedding_rank() for the call.
    [[nodiscard]] auto is_shed(double rank) const -> bool { return rank < level_; }

    // Records a call that is not shed: rejected because every endpoint is full, or sent.
    auto on_unshed_call(bool rejected, time_point now) -> void;

    // Records a call that was to be shed but was sent because enough slots were free.
    auto on_shed_call_sent(time_point now) -> void;

    auto update(time_point now) -> void;

    // Moves the level towards the mean of all entries. Otherwise the levels of the entries drift apart, and
    // callers whose rank lies between two levels are rejected by one entry and served late by another.
    auto converge_to(double mean, time_point now) -> void;

    // Fraction of callers that is shed.
    [[nodiscard]] auto level() const -> double { return level_; }

private:
    auto decay_counts(time_point now) -> void;

    shedding_settings settings_;
    double level_ = 0;
    double unshed_ = 0;       // recent calls that were not shed, decayed
    double rejected_ = 0;     // of those, rejected
    double shed_sent_ = 0;    // recent calls to be shed that were sent, decayed
    time_point decayed_at_;   // time up to which the decay was applied
    time_point updated_at_;   // last update()
    time_point converged_at_; // last converge_to()
};

// Rank of a call among all callers, 0 to 1. Retries of a call within one epoch have the same rank.
[[nodiscard]] auto shedding_rank(std::string_view identity, std::uint64_t epoch) -> double;

} // namespace hibiscuswall
