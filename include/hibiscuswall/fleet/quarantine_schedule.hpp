#pragma once
// Decides when an entry sends its quarantine records, to how many other entries, and which records. No
// network, no clock.
//
//   auto schedule = quarantine_schedule{settings};
//   schedule.on_change(now);                                  // the records have changed
//   timer.expires_at(schedule.next_round());
//   if (auto reason = schedule.take_due_round(now))
//       for (auto const& to : schedule.choose_targets(*reason, peers, random)) ...
//
// A change is sent at once. In a small fleet it goes to all other entries, in a large one to a few random
// ones, which pass on what is new to them, so that it spreads as an epidemic. Repeats to a few random entries
// replace lost datagrams and reach entries that have just started.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/marked_segment.hpp"

#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace hibiscuswall {

struct quarantine_schedule_settings {
    milliseconds min_interval{20};         // between two rounds
    milliseconds fast_repeat{200};         // interval of repeats soon after a change
    milliseconds fast_repeat_time{2'000};  // after the last change, for which repeats are fast
    milliseconds slow_repeat{1'000};       // interval of later repeats
    std::size_t max_complete_entries = 16; // of the fleet, up to which a change goes to all others
    std::size_t repeat_targets = 3;        // entries that get a repeat
    std::size_t many_change_targets = 6;   // in a larger fleet: entries that get a change
    std::size_t many_repeat_targets = 2;   // in a larger fleet: entries that get a repeat
};

enum class round_reason {
    change, // records changed since the last round
    repeat,
};

class quarantine_schedule {
public:
    explicit quarantine_schedule(quarantine_schedule_settings settings = {}) : settings_{settings} {}

    auto on_change(time_point now) -> void;

    // Another entry has been listed: repeats are fast for a while, so that it soon gets one.
    auto on_new_peer(time_point now) -> void;

    [[nodiscard]] auto next_round() const -> time_point;

    // Why a round is due now, or nullopt if none is. The round then counts as made.
    auto take_due_round(time_point now) -> std::optional<round_reason>;

    // The peers, all other entries, that a round goes to.
    [[nodiscard]] auto choose_targets(round_reason reason, std::span<address const> peers,
                                      random_source& random) const -> std::vector<address>;

private:
    [[nodiscard]] auto target_count(round_reason reason, std::size_t peers) const -> std::size_t;

    quarantine_schedule_settings settings_;
    bool has_change_ = false;                  // since the last round
    std::optional<time_point> fast_until_;     // repeats are fast before it
    std::optional<time_point> previous_round_; // time of the last round
};

// Tells which records have changed since they were last sent as a change.
class record_changes {
public:
    [[nodiscard]] auto take(std::vector<segment_record> const& records) -> std::vector<segment_record>;

private:
    using segment_key = std::pair<std::string, std::string>; // model, segment

    std::map<segment_key, std::vector<crash_mark>> sent_;
};

} // namespace hibiscuswall
