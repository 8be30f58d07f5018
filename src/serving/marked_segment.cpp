#include "hibiscuswall/serving/marked_segment.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscuswall {
namespace {

// Bounds the generations that other entries send; quarantine times reach their maximum long before.
constexpr auto max_generation = 64;

auto expires_at(crash_mark const& mark, quarantine_settings const& limits) -> time_point
{
    if (mark.generation < limits.quarantine_generation) return mark.observed_at + limits.suspicion_lifetime;
    return mark.observed_at + quarantine_time(limits, mark.generation) + limits.trial_due_lifetime;
}

// What other entries should be told about: an earlier time alone is not worth a message.
auto differs(crash_mark const& left, crash_mark const& right) -> bool
{
    return std::tie(left.run, left.generation, left.cleared) !=
           std::tie(right.run, right.generation, right.cleared);
}

} // namespace

auto quarantine_time(quarantine_settings const& settings, int generation) -> milliseconds
{
    auto time = settings.quarantine_time;
    for (auto i = settings.quarantine_generation; i < generation && time < settings.max_quarantine_time; ++i)
        time *= 2;
    return std::min(time, settings.max_quarantine_time);
}

auto is_dropped_before(crash_mark const& left, crash_mark const& right) -> bool
{
    auto const left_counts = !left.cleared;
    auto const right_counts = !right.cleared;
    return std::tie(left_counts, left.generation, left.observed_at, left.run) <
           std::tie(right_counts, right.generation, right.observed_at, right.run);
}

auto marked_segment::add(std::uint64_t run, int generation, time_point now, quarantine_settings const& limits)
    -> bool
{
    auto const mark = crash_mark{run, generation, false, now};
    return merge({&mark, 1}, now, limits);
}

auto marked_segment::merge(std::span<crash_mark const> marks, time_point now,
                           quarantine_settings const& limits) -> bool
{
    auto const before = marks_;
    for (auto const& other : marks) {
        auto const observed_at = std::min(other.observed_at, now);
        auto& mark = find_or_insert(other.run, observed_at);
        mark.generation = std::max(mark.generation, std::min(other.generation, max_generation));
        mark.cleared = mark.cleared || other.cleared;
        mark.observed_at = std::min(mark.observed_at, observed_at);
        // Bounds the work for a record with very many marks.
        if (marks_.size() > 2 * limits.max_marks) drop_surplus(limits.max_marks);
    }
    drop_surplus(limits.max_marks);
    update_summary();
    remove_expired(now, limits);
    return !std::equal(marks_.begin(), marks_.end(), before.begin(), before.end(),
                       [](auto const& left, auto const& right) { return !differs(left, right); });
}

auto marked_segment::clear() -> bool
{
    if (crashes_ == 0) return false;
    for (auto& mark : marks_)
        mark.cleared = true;
    update_summary();
    return true;
}

auto marked_segment::remove_expired(time_point now, quarantine_settings const& limits) -> bool
{
    // The marks of a quarantined segment are kept together: its set of runs tells which crashes it explains.
    auto const is_candidate = generation_ >= limits.quarantine_generation;
    auto const all_expire_at = newest_ + quarantine_time(limits, generation_) + limits.trial_due_lifetime;
    auto const erased = std::erase_if(marks_, [&](auto const& mark) {
        return now >= (is_candidate && !mark.cleared ? all_expire_at : expires_at(mark, limits));
    });
    if (erased > 0) update_summary();
    return erased > 0;
}

auto marked_segment::generation_without(std::uint64_t run) const -> int
{
    auto highest = 0;
    for (auto const& mark : marks_)
        if (!mark.cleared && mark.run != run) highest = std::max(highest, mark.generation);
    return highest;
}

auto marked_segment::find_or_insert(std::uint64_t run, time_point observed_at) -> crash_mark&
{
    auto const at = std::lower_bound(marks_.begin(), marks_.end(), run,
                                     [](auto const& mark, auto wanted) { return mark.run < wanted; });
    if (at != marks_.end() && at->run == run) return *at;
    return *marks_.insert(at, crash_mark{run, 1, false, observed_at});
}

auto marked_segment::drop_surplus(std::size_t max_marks) -> void
{
    while (marks_.size() > max_marks)
        marks_.erase(std::min_element(marks_.begin(), marks_.end(), is_dropped_before));
}

auto marked_segment::update_summary() -> void
{
    generation_ = 0;
    crashes_ = 0;
    newest_ = time_point{};
    for (auto const& mark : marks_) {
        if (mark.cleared) continue;
        generation_ = std::max(generation_, mark.generation);
        newest_ = std::max(newest_, mark.observed_at);
        ++crashes_;
    }
    if (crashes_ > 0) return;
    for (auto const& mark : marks_)
        newest_ = std::max(newest_, mark.observed_at);
}

} // namespace hibiscuswall
