#include "hibiscuswall/serving/prompt_quarantine.hpp"

#include "hibiscuswall/core/sha256.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto trial_generation = 2; // from which one call at a time is sent

auto contains(std::vector<std::string> const& names, std::string_view name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto append(std::vector<std::string>& to, std::span<std::string const> names) -> void
{
    for (auto const& name : names)
        if (!contains(to, name)) to.push_back(name);
}

} // namespace

// A segment of a call with a known record. The views live as long as the record.
struct prompt_quarantine::suspect_segment {
    std::string_view segment;
    marked_segment const* marks = nullptr;
    candidate_group const* group = nullptr; // nullptr: below the quarantine generation
};

// What the segments of a call require.
struct prompt_quarantine::verdict {
    std::vector<std::string> quarantined;
    std::vector<std::string> held;
    std::vector<std::string> trials;
};

auto run_id(std::string_view endpoint_id, std::uint64_t started_at_ms) -> std::uint64_t
{
    auto text = std::string{endpoint_id};
    text += '\x1f';
    text += std::to_string(started_at_ms);
    auto const digest = sha256(text);
    constexpr auto digits = 16; // hexadecimal digits of 64 bits
    auto id = std::uint64_t{0};
    std::from_chars(digest.data(), digest.data() + digits, id, 16);
    return id;
}

prompt_quarantine::prompt_quarantine(quarantine_settings settings, std::string self)
    : settings_{settings}, marks_{settings}, ranks_{std::move(self)}
{
}

auto prompt_quarantine::set_entries(std::vector<std::string> names) -> void
{
    ranks_.set_entries(std::move(names));
}

// ---- observed by this entry

auto prompt_quarantine::record_crash(std::uint64_t run, std::span<crash_suspect const> suspects,
                                     time_point now) -> bool
{
    auto changed = false;
    for (auto const& suspect : suspects) {
        auto const& segments = suspect.prompt.segments;
        auto const count = std::min(segments.size(), settings_.max_call_segments);
        for (auto i = std::size_t{0}; i < count; ++i) {
            auto const when_sent = i < suspect.when_sent.size() ? suspect.when_sent[i] : 0;
            changed |= marks_.add(suspect.prompt.model, segments[i], run, when_sent, now);
        }
    }
    if (changed) update_all_groups();
    return changed;
}

auto prompt_quarantine::record_progress(shared_prompt const& prompt, time_point /*now*/) -> bool
{
    if (marks_.find_model(prompt.model) == nullptr) return false;
    auto changed = false;
    auto const count = std::min(prompt.segments.size(), settings_.max_call_segments);
    for (auto i = std::size_t{0}; i < count; ++i)
        changed |= marks_.clear(prompt.model, prompt.segments[i]);
    if (changed) update_groups(prompt.model);
    return changed;
}

auto prompt_quarantine::clear(std::string_view model, std::string_view segment, time_point /*now*/) -> bool
{
    auto const changed = marks_.clear(model, segment);
    if (changed) update_groups(model);
    return changed;
}

auto prompt_quarantine::on_weights_declared(std::string_view model, time_point now) -> void
{
    auto buffer = std::string{};
    weights_declared_at_[std::string{bounded_id(model, buffer)}] = now;
}

// ---- exchanged with other entries

auto prompt_quarantine::merge(std::span<segment_record const> records, time_point now) -> bool
{
    auto changed = false;
    for (auto const& record : records)
        changed |= marks_.merge(record, now);
    if (!records.empty()) update_all_groups();
    return changed;
}

auto prompt_quarantine::records(std::size_t max_count, time_point now) -> std::vector<segment_record>
{
    remove_expired(now);
    return marks_.records(max_count);
}

auto prompt_quarantine::remove_expired(time_point now) -> void
{
    std::erase_if(weights_declared_at_, [&](auto const& each) {
        return now >= each.second + settings_.max_quarantine_time + settings_.trial_due_lifetime;
    });
    if (marks_.remove_expired(now)) update_all_groups();
}

// ---- decisions

auto prompt_quarantine::decide(shared_prompt const& prompt, time_point now) -> send_decision
{
    auto judged = judge(prompt, now);
    if (!judged.quarantined.empty()) return send_quarantined{std::move(judged.quarantined)};
    if (!judged.held.empty()) return send_held{judged.held.front(), settings_.held_retry_after};
    if (judged.trials.empty()) return send_allowed{};
    auto buffer = std::string{};
    auto& running = trials_[std::string{bounded_id(prompt.model, buffer)}];
    running.insert(judged.trials.begin(), judged.trials.end());
    return send_on_trial{std::move(judged.trials)};
}

auto prompt_quarantine::end_trial(std::string_view model, std::span<std::string const> segments) -> void
{
    auto buffer = std::string{};
    auto const running = trials_.find(bounded_id(model, buffer));
    if (running == trials_.end()) return;
    for (auto const& segment : segments)
        running->second.erase(segment);
    if (running->second.empty()) trials_.erase(running);
}

auto prompt_quarantine::suspicion_of(shared_prompt const& prompt) const -> suspicion
{
    if (marks_.find_model(prompt.model) == nullptr) return {};
    auto generations = suspicion{};
    auto const count = std::min(prompt.segments.size(), settings_.max_call_segments);
    generations.reserve(count);
    for (auto i = std::size_t{0}; i < count; ++i) {
        auto const* const marks = marks_.find(prompt.model, prompt.segments[i]);
        generations.push_back(marks != nullptr ? marks->generation() : 0);
    }
    return generations;
}

auto prompt_quarantine::is_quarantined(shared_prompt const& prompt, time_point now) const -> bool
{
    return !judge(prompt, now).quarantined.empty();
}

auto prompt_quarantine::empty() const -> bool { return marks_.empty(); }

auto prompt_quarantine::status(time_point now) const -> std::vector<segment_status>
{
    auto listed = std::vector<segment_status>{};
    for (auto const& [model, segments] : marks_.models())
        for (auto const& [segment, marks] : segments)
            listed.push_back(status_of(model, segment, marks, now));
    return listed;
}

auto prompt_quarantine::suspect_segments(shared_prompt const& prompt) const -> std::vector<suspect_segment>
{
    auto suspects = std::vector<suspect_segment>{};
    auto const* const known = marks_.find_model(prompt.model);
    if (known == nullptr) return suspects;
    auto model_buffer = std::string{};
    auto const model = bounded_id(prompt.model, model_buffer);
    auto const count = std::min(prompt.segments.size(), settings_.max_call_segments);
    for (auto i = std::size_t{0}; i < count; ++i) {
        auto buffer = std::string{};
        auto const found = known->find(bounded_id(prompt.segments[i], buffer));
        if (found == known->end() || found->second.generation() < trial_generation) continue;
        suspects.push_back({found->first, &found->second, find_group(model, found->first)});
    }
    // A segment that the call holds several times counts once.
    std::sort(suspects.begin(), suspects.end(),
              [](auto const& left, auto const& right) { return left.segment < right.segment; });
    auto const is_same = [](auto const& left, auto const& right) { return left.segment == right.segment; };
    suspects.erase(std::unique(suspects.begin(), suspects.end(), is_same), suspects.end());
    return suspects;
}

auto prompt_quarantine::judge(shared_prompt const& prompt, time_point now) const -> verdict
{
    auto result = verdict{};
    auto const suspects = suspect_segments(prompt);
    if (suspects.empty()) return result;
    auto buffer = std::string{};
    auto const model = bounded_id(prompt.model, buffer);
    auto held_of_group = std::map<candidate_group const*, std::size_t>{};
    for (auto const& suspect : suspects)
        if (suspect.group != nullptr) ++held_of_group[suspect.group];
    for (auto const& suspect : suspects) {
        auto const* const group = suspect.group;
        auto const is_whole = group != nullptr && held_of_group[group] == group->segments.size();
        if (!is_whole || group->is_explained) {
            judge_trial(suspect, model, now, result);
        } else if (group->segments.front() == suspect.segment) { // once for the whole group
            judge_group(*group, model, now, result);
        }
    }
    return result;
}

auto prompt_quarantine::judge_trial(suspect_segment const& suspect, std::string_view model, time_point now,
                                    verdict& result) const -> void
{
    auto const is_waiting = [&] {
        auto const delay = settings_.trial_rank_delay * ranks_.rank(model, suspect.segment);
        return now < suspect.marks->newest() + delay;
    };
    auto const is_held = is_on_trial_now(model, suspect.segment) || is_waiting();
    (is_held ? result.held : result.trials).emplace_back(suspect.segment);
}

auto prompt_quarantine::judge_group(candidate_group const& group, std::string_view model, time_point now,
                                    verdict& result) const -> void
{
    // All segments of a group go by the rank of the first one: a call on trial needs one entry for all.
    auto const may_try =
        now >= quarantine_end(model, group) && ranks_.rank(model, group.segments.front()) == 0;
    if (!may_try) return append(result.quarantined, group.segments);
    auto const is_held = std::any_of(group.segments.begin(), group.segments.end(),
                                     [&](auto const& segment) { return is_on_trial_now(model, segment); });
    append(is_held ? result.held : result.trials, group.segments);
}

auto prompt_quarantine::is_on_trial_now(std::string_view model, std::string_view segment) const -> bool
{
    auto const running = trials_.find(model);
    return running != trials_.end() && running->second.contains(segment);
}

auto prompt_quarantine::quarantine_end(std::string_view model, candidate_group const& group) const
    -> time_point
{
    auto const end = group.newest + quarantine_time(settings_, group.generation);
    auto const declared = weights_declared_at_.find(model);
    if (declared == weights_declared_at_.end() || declared->second < group.newest) return end;
    return std::min(end, declared->second + settings_.weights_trial_delay);
}

auto prompt_quarantine::find_group(std::string_view model, std::string_view segment) const
    -> candidate_group const*
{
    auto const groups = groups_.find(model);
    return groups != groups_.end() ? groups->second.find(segment) : nullptr;
}

auto prompt_quarantine::status_of(std::string_view model, std::string_view segment,
                                  marked_segment const& marks, time_point now) const -> segment_status
{
    auto status = segment_status{std::string{model}, std::string{segment}};
    status.generation = marks.generation();
    status.crashes = marks.crashes();
    if (status.generation == 0) return status;
    status.age = std::chrono::duration_cast<milliseconds>(now - marks.newest());
    status.state = status.generation < trial_generation ? segment_state::suspected : segment_state::on_trial;
    auto const* const group = find_group(model, segment);
    if (group == nullptr) return status;
    if (group->is_explained) {
        status.state = segment_state::explained;
        return status;
    }
    auto const end = quarantine_end(model, *group);
    if (now >= end) return status;
    status.state = segment_state::quarantined;
    status.trial_in = std::chrono::ceil<milliseconds>(end - now);
    return status;
}

auto prompt_quarantine::update_groups(std::string_view model) -> void
{
    auto buffer = std::string{};
    auto const name = std::string{bounded_id(model, buffer)};
    groups_.erase(name);
    auto const* const segments = marks_.find_model(name);
    if (segments == nullptr) return;
    auto groups = candidate_groups{*segments, settings_};
    if (!groups.empty()) groups_.emplace(name, std::move(groups));
}

auto prompt_quarantine::update_all_groups() -> void
{
    groups_.clear();
    for (auto const& [model, segments] : marks_.models())
        update_groups(model);
}

} // namespace hibiscuswall
