#pragma once
// The segments of one model that reached the quarantine generation, grouped by the crashes they were in.
//
//   auto groups = candidate_groups{segments, settings};
//   if (auto const* group = groups.find(segment)) group->is_explained;
//
// Segments that were in the same crashes form a group: nothing tells them apart, so only calls that hold all
// of them may be rejected. Otherwise a caller could have another caller's segment rejected by always sending
// it together with one that crashes engines. A group is explained, and not rejected, if
//   - another segment was in all of its crashes and in more, or
//   - all of its crashes but at most one are shared with groups that are not explained themselves.
// The second happens to a sound segment while several others crash engines. A segment that does crash engines
// crashes another one when it is tried, and then is no longer explained.

#include "hibiscuswall/serving/crash_marks.hpp"

namespace hibiscuswall {

struct candidate_group {
    std::vector<std::string> segments; // sorted
    std::vector<std::uint64_t> runs;   // sorted
    int generation = 0;                // highest of the segments
    time_point newest;                 // newest mark of the segments
    bool is_explained = false;
};

class candidate_groups {
public:
    candidate_groups(crash_marks::segment_map const& segments, quarantine_settings const& settings);

    [[nodiscard]] auto find(std::string_view segment) const -> candidate_group const*;
    [[nodiscard]] auto empty() const -> bool { return groups_.empty(); }

private:
    std::vector<candidate_group> groups_;
    std::map<std::string, std::size_t, std::less<>> group_of_; // position in groups_ by segment
};

} // namespace hibiscuswall
