#include "hibiscuswall/serving/candidate_groups.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hibiscuswall {
namespace {

// Of a group that shares crashes with others. A single one may have had another reason.
constexpr auto min_own_crashes = 2;

using run_set = std::vector<std::uint64_t>; // sorted

auto counted_runs(marked_segment const& segment) -> run_set
{
    auto runs = run_set{};
    for (auto const& mark : segment.marks())
        if (!mark.cleared) runs.push_back(mark.run);
    return runs;
}

auto is_strict_subset(run_set const& part, run_set const& whole) -> bool
{
    return part.size() < whole.size() && std::includes(whole.begin(), whole.end(), part.begin(), part.end());
}

// Segments below the quarantine generation explain crashes, too: each of them may have been on trial less
// often.
auto mark_subsets(std::span<candidate_group> groups, crash_marks::segment_map const& segments) -> void
{
    for (auto const& [id, marks] : segments) {
        auto const runs = counted_runs(marks);
        for (auto& group : groups)
            group.is_explained = group.is_explained || is_strict_subset(group.runs, runs);
    }
}

// Order in which groups are looked at for others that explain them: a part before the whole.
auto has_weaker_evidence(candidate_group const* left, candidate_group const* right) -> bool
{
    auto const order = [](candidate_group const* group) {
        return std::tuple{group->runs.size(), group->generation, group->newest};
    };
    if (order(left) != order(right)) return order(left) < order(right);
    return left->segments < right->segments;
}

auto is_in_other_group(std::uint64_t run, candidate_group const& group,
                       std::span<candidate_group const> groups) -> bool
{
    return std::any_of(groups.begin(), groups.end(), [&](auto const& other) {
        return &other != &group && !other.is_explained &&
               std::binary_search(other.runs.begin(), other.runs.end(), run);
    });
}

// The groups that remain were together in all crashes, but for single ones.
auto mark_covered(std::span<candidate_group> groups) -> void
{
    auto ordered = std::vector<candidate_group*>{};
    for (auto& group : groups)
        ordered.push_back(&group);
    std::sort(ordered.begin(), ordered.end(), has_weaker_evidence);
    for (auto* const group : ordered) {
        auto const own = std::count_if(group->runs.begin(), group->runs.end(),
                                       [&](auto run) { return !is_in_other_group(run, *group, groups); });
        auto const is_alone = own == std::ssize(group->runs);
        if (!is_alone && own < min_own_crashes) group->is_explained = true;
    }
}

} // namespace

candidate_groups::candidate_groups(crash_marks::segment_map const& segments,
                                   quarantine_settings const& settings)
{
    auto position_of = std::map<run_set, std::size_t>{};
    for (auto const& [id, marks] : segments) {
        if (marks.generation() < settings.quarantine_generation) continue;
        auto const runs = counted_runs(marks);
        auto const [found, is_new] = position_of.emplace(runs, groups_.size());
        if (is_new) groups_.push_back({{}, runs, 0, {}, false});
        auto& group = groups_[found->second];
        group.segments.push_back(id);
        group.generation = std::max(group.generation, marks.generation());
        group.newest = std::max(group.newest, marks.newest());
        group_of_.emplace(id, found->second);
    }
    mark_subsets(groups_, segments);
    mark_covered(groups_);
}

auto candidate_groups::find(std::string_view segment) const -> candidate_group const*
{
    auto const found = group_of_.find(segment);
    return found != group_of_.end() ? &groups_[found->second] : nullptr;
}

} // namespace hibiscuswall
