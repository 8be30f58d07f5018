#pragma once
// Decides which calls of a service are turned away at once while more come than its endpoints carry. No
// network, no clock.
//
//   call.shed = shedder.is_shed(shedding_rank(identity, epoch)); // when it arrives
//   shedder.on_kept(was_refused, now);     // what became of a call that was not shed
//   shedder.step(now);                     // several times a second
//   shedder.approach(mean_level, now);     // after news of the other entries
//
// A refused caller comes back after its Retry-After, through any entry, when its answer can only be late.
// Where refusals fall on calls by chance, those who come back take places from new callers, who then come
// back late in turn: half of the answers of a pool at its limit are late. Here the call's identity, the same
// in its repeats and at every entry, decides: the same part of the callers is turned away each time, the
// others are in time.

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <string_view>

namespace hibiscuswall {

struct shedding_settings {
    double aim = 0.03;               // part of the kept calls that is still refused: the endpoints stay full
    double rise_per_s = 2.0;         // of the level, for each part of the kept calls refused beyond the aim
    double longest_rise_per_s = 0.4; // of the level: an outage of a second or two must not turn all away
    double spare_fall_per_s = 0.6;   // of the level, while there is room for calls that are shed
    double fall_per_s = 0.15;        // of the level, while no kept call is refused
    double approach_per_s = 1.5;     // part of the distance to the other entries' mean level
    double most = 0.75;              // level at most: some of every kind are served
    double spare = 0.1;              // part of its places that an entry must have free to take a shed call
    milliseconds memory{500};        // time constant of the counts
    milliseconds epoch_time{16'000}; // then other callers are turned away
};

class load_shedder {
public:
    explicit load_shedder(shedding_settings const& settings) : settings_{settings} {}

    // place: of the call in the order of all callers, 0 to 1.
    [[nodiscard]] auto is_shed(double place) const -> bool { return place < level_; }

    // A call that is not shed was refused because every endpoint is full, or was sent.
    auto on_kept(bool refused, time_point now) -> void;

    // A call that is shed found spare places and was sent.
    auto on_spare(time_point now) -> void;

    auto step(time_point now) -> void;

    // Entries that each find their own level drift apart, and callers between two levels come late: they draw
    // near to the mean of all.
    auto approach(double mean, time_point now) -> void;

    // Part of the callers that is turned away.
    [[nodiscard]] auto level() const -> double { return level_; }

private:
    auto forget(time_point now) -> void;

    shedding_settings settings_;
    double level_ = 0;
    double kept_ = 0;       // calls of late
    double refused_ = 0;    // of those
    double spare_ = 0;      // shed calls of late that were sent
    time_point counted_at_; // until when the counts have decayed
    time_point stepped_at_;
    time_point approached_at_;
};

// Place of a call in the order of all callers, 0 to 1: equal for its repeats within one epoch.
[[nodiscard]] auto shedding_rank(std::string_view identity, std::uint64_t epoch) -> double;

} // namespace hibiscuswall
