#pragma once
// The crashes in which one prompt segment was suspect, as a replicated set of marks with one mark a run.
//
//   segment.add(run, generation, now, limits);     // observed here
//   segment.merge(marks, now, limits);             // observed by another entry
//   segment.clear();                               // a response got past its beginning
//   segment.generation()                           // 0: no mark counts
//
// Merging is commutative, associative and idempotent while no more than max_marks runs are known: "cleared"
// wins, the generation is the maximum and the time the earliest. A cleared mark is kept until the same mark
// would expire uncleared at another entry, so that it cannot come back from there.

#include "hibiscuswall/serving/quarantine_settings.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace hibiscuswall {

// One crash in which a segment was suspect.
struct crash_mark {
    std::uint64_t run = 0; // identifies the run of the endpoint, see run_id()
    int generation = 1;
    bool cleared = false;   // a later response with the segment got past its beginning
    time_point observed_at; // earliest time known
};

struct segment_record {
    std::string model;
    std::string segment;
    std::vector<crash_mark> marks;
};

class marked_segment {
public:
    // Each returns whether other entries should be told.
    auto add(std::uint64_t run, int generation, time_point now, quarantine_settings const& limits) -> bool;
    auto merge(std::span<crash_mark const> marks, time_point now, quarantine_settings const& limits) -> bool;
    auto clear() -> bool;

    // Returns whether a mark expired.
    auto remove_expired(time_point now, quarantine_settings const& limits) -> bool;

    [[nodiscard]] auto marks() const -> std::span<crash_mark const> { return marks_; } // by run
    [[nodiscard]] auto empty() const -> bool { return marks_.empty(); }

    // Of the marks that are not cleared.
    [[nodiscard]] auto generation() const -> int { return generation_; } // highest; 0: none
    [[nodiscard]] auto generation_without(std::uint64_t run) const -> int;
    [[nodiscard]] auto crashes() const -> int { return crashes_; }
    [[nodiscard]] auto newest() const -> time_point { return newest_; } // of all if every mark is cleared

private:
    auto find_or_insert(std::uint64_t run, time_point observed_at) -> crash_mark&;
    auto drop_surplus(std::size_t max_marks) -> void;
    auto update_summary() -> void;

    std::vector<crash_mark> marks_; // by run
    int generation_ = 0;
    int crashes_ = 0;
    time_point newest_;
};

// Whether the first is dropped before the second when a segment has too many marks.
[[nodiscard]] auto is_dropped_before(crash_mark const& left, crash_mark const& right) -> bool;

} // namespace hibiscuswall
