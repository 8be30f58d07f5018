#include "hibiscuswall/fleet/quarantine_plan.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/fleet/quarantine_document.hpp"

#include <algorithm>

namespace hibiscuswall {

quarantine_plan::quarantine_plan(std::string self, quarantine_plan_settings settings)
    : self_{std::move(self)}, settings_{settings}, entries_{self_}
{
}

auto quarantine_plan::set_entries(std::vector<std::string> names) -> void
{
    if (std::ranges::find(names, self_) == names.end()) names.push_back(self_);
    entries_ = std::move(names);
}

auto quarantine_plan::next_step(std::span<segment_status const> statuses, time_point now)
    -> std::optional<store_step>
{
    auto step = std::optional<store_step>{};
    auto pending = pending_map{}; // changes that are still wanted
    auto kept = key_set{};
    std::erase_if(seen_, [&](auto const& key) { return !stored_.contains(key); });
    for (auto const& status : statuses) {
        auto key = quarantine_key(status.model, status.segment);
        seen_.insert(key);
        if (status.state == segment_state::cleared) continue;
        kept.insert(key);
        if (status.state != segment_state::quarantined || is_stored(key, status.generation)) continue;
        if (is_due(key, false, now, pending) && !step) step = write_step(std::move(key), status);
    }
    for (auto const& [key, stored] : stored_) {
        if (kept.contains(key) || !seen_.contains(key)) continue;
        if (is_due(key, true, now, pending) && !step) step = removal_step(key);
    }
    pending_ = std::move(pending);
    return step;
}

auto quarantine_plan::is_stored(std::string_view key, int generation) const -> bool
{
    auto const found = stored_.find(key);
    return found != stored_.end() && found->second.generation >= generation;
}

auto quarantine_plan::is_due(std::string const& key, bool is_removal, time_point now, pending_map& pending)
    -> bool
{
    auto change = pending_change{now, is_removal};
    auto const known = pending_.find(key);
    if (known != pending_.end() && known->second.is_removal == is_removal) {
        change = known->second;
    } else {
        auto const ranked = rendezvous_rank(key, entries_);
        change.due_at = now + settings_.rank_delay * (std::ranges::find(ranked, self_) - ranked.begin());
    }
    pending.insert_or_assign(key, change);
    return now >= change.due_at;
}

auto quarantine_plan::write_step(std::string key, segment_status const& status) const -> store_step
{
    auto const found = stored_.find(key);
    if (found != stored_.end() && !found->second.revision) return store_lookup{std::move(key)};
    auto const expect = found == stored_.end() ? 0 : *found->second.revision;
    return store_write{std::move(key), status.model, status.segment, status.generation, expect};
}

auto quarantine_plan::removal_step(std::string const& key) const -> store_step
{
    auto const& stored = stored_.at(key);
    if (!stored.revision) return store_lookup{key};
    return store_removal{key, *stored.revision};
}

auto quarantine_plan::on_read(stored_map stored) -> void { stored_ = std::move(stored); }

auto quarantine_plan::on_found(std::string const& key, std::optional<stored_quarantine> found) -> void
{
    if (!found) return on_removed(key);
    stored_.insert_or_assign(key, *found);
}

auto quarantine_plan::on_written(std::string const& key, int generation, std::uint64_t revision) -> void
{
    stored_.insert_or_assign(key, stored_quarantine{generation, revision});
}

auto quarantine_plan::on_removed(std::string const& key) -> void { stored_.erase(key); }

// Another entry was first. If the key did not exist before, the other wrote the same verdict.
auto quarantine_plan::on_conflict(store_write const& step) -> void
{
    if (step.expect == 0)
        stored_.insert_or_assign(step.key, stored_quarantine{step.generation, std::nullopt});
    else
        stored_.at(step.key).revision.reset();
}

// Another entry removed the value, or wrote a newer verdict that this entry learns from its peers.
auto quarantine_plan::on_conflict(store_removal const& step) -> void { stored_.erase(step.key); }

} // namespace hibiscuswall
