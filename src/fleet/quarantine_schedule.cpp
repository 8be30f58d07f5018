#include "hibiscuswall/fleet/quarantine_schedule.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

// Times are left out: each entry knows its own, and they tell no entry to decide otherwise.
auto say_the_same(std::span<crash_mark const> left, std::span<crash_mark const> right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(), [](auto const& one, auto const& other) {
            return one.run == other.run && one.generation == other.generation && one.cleared == other.cleared;
        });
}

} // namespace

auto quarantine_schedule::on_change(time_point now) -> void
{
    has_change_ = true;
    fast_until_ = now + settings_.fast_repeat_time;
}

auto quarantine_schedule::on_new_peer(time_point now) -> void
{
    fast_until_ = now + settings_.fast_repeat_time;
}

auto quarantine_schedule::next_round() const -> time_point
{
    if (!previous_round_) return time_point{};
    if (has_change_) return *previous_round_ + settings_.min_interval;
    auto const is_fast = fast_until_ && *previous_round_ < *fast_until_;
    return *previous_round_ + (is_fast ? settings_.fast_repeat : settings_.slow_repeat);
}

auto quarantine_schedule::take_due_round(time_point now) -> std::optional<round_reason>
{
    if (now < next_round()) return std::nullopt;
    auto const reason = has_change_ ? round_reason::change : round_reason::repeat;
    has_change_ = false;
    previous_round_ = now;
    return reason;
}

auto quarantine_schedule::target_count(round_reason reason, std::size_t peers) const -> std::size_t
{
    auto const is_change = reason == round_reason::change;
    auto const is_small = peers + 1 <= settings_.max_complete_entries; // with this entry
    if (is_small) return is_change ? peers : std::min(peers, settings_.repeat_targets);
    return is_change ? settings_.many_change_targets : settings_.many_repeat_targets;
}

auto quarantine_schedule::choose_targets(round_reason reason, std::span<address const> peers,
                                         random_source& random) const -> std::vector<address>
{
    auto chosen = std::vector<address>{};
    std::ranges::sample(peers, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(target_count(reason, peers.size())), random.engine());
    return chosen;
}

auto record_changes::take(std::vector<segment_record> const& records) -> std::vector<segment_record>
{
    auto changed = std::vector<segment_record>{};
    auto present = std::map<segment_key, std::vector<crash_mark>>{};
    for (auto const& record : records) {
        auto key = segment_key{record.model, record.segment};
        auto const found = sent_.find(key);
        if (found == sent_.end() || !say_the_same(found->second, record.marks)) changed.push_back(record);
        present.insert_or_assign(std::move(key), record.marks);
    }
    sent_ = std::move(present);
    return changed;
}

} // namespace hibiscuswall
