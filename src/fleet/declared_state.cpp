#include "hibiscuswall/fleet/declared_state.hpp"

#include "hibiscuswall/observe/log.hpp"
#include "platform/operator_documents.hpp"
#include "platform/store_revision.hpp"

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

// Old versions are excluded this long before the grace period ends, because a request may wait in a full
// engine for most of a second before it starts.
constexpr auto version_switch_margin = milliseconds{950};
// Of each model. The first ones are kept even if a later grace period has ended.
constexpr auto kept_declarations = std::size_t{8};
constexpr auto max_declarations = std::size_t{64};
// Smaller corrections of the time of a declaration come with nearly every message of a peer.
constexpr auto min_logged_correction = milliseconds{100};

// Forgets the declaration that was followed most closely; its successor takes over its time, so that no
// version is allowed for longer.
auto merge_closest(std::vector<declared_weights>& list) -> void
{
    auto closest = std::next(list.begin());
    for (auto each = closest; std::next(each) != list.end(); ++each)
        if (std::next(each)->declared_at - each->declared_at <
            std::next(closest)->declared_at - closest->declared_at)
            closest = each;
    auto& successor = *std::next(closest);
    successor.declared_at = std::min(successor.declared_at, closest->declared_at);
    list.erase(closest);
}

auto log_unread(unread_fields const& unread, std::uint64_t revision) -> void
{
    if (unread.count == 0) return;
    auto paths = std::string{};
    for (auto const& path : unread.first)
        paths += (paths.empty() ? "" : " ") + path;
    log_event(
        log_level::warning, "configuration_fields_unread",
        {{"revision", std::to_string(revision)}, {"fields", std::to_string(unread.count)}, {"first", paths}});
}

} // namespace

auto declared_state::apply(store_change const& change, time_point now, time_point since) -> void
{
    revision_ = std::max(revision_, change.revision);
    apply_alone(change, now, since);
}

auto declared_state::apply_alone(store_change const& change, time_point now, time_point since) -> void
{
    auto const applied = change.value ? put_item(change.key, *change.value, change.revision, now, since)
                                      : delete_item(change.key, change.revision);
    if (!applied) return;
    changed_at_ = now;
    if (on_change_) on_change_();
}

auto declared_state::replace(std::string_view prefix, std::vector<store_item> const& items,
                             std::uint64_t revision, time_point now, time_point since, absent_keys absent)
    -> void
{
    // Store revisions start above 0; 0 comes from a peer that has no declared state yet.
    if (revision == 0) return;
    // Items found by the first read may have been declared long ago, so they get no grace period.
    if (!has_read(prefix)) since = now - settings_.old_version_grace_period;
    read_prefixes_.insert(std::string{prefix});
    auto applied = false;
    for (auto const& item : items)
        applied = put_item(item.key, item.value, item.revision, now, since) || applied;
    if (absent == absent_keys::deleted) applied = delete_absent(prefix, items, revision) || applied;
    if (prefix == platform::operator_prefix)
        for (auto const& item : items)
            revision_ = std::max(revision_, item.revision);
    if (!applied) return;
    changed_at_ = now;
    if (on_change_) on_change_();
}

auto declared_state::delete_absent(std::string_view prefix, std::vector<store_item> const& present,
                                   std::uint64_t revision) -> bool
{
    auto present_keys = std::set<std::string_view>{};
    for (auto const& item : present)
        present_keys.insert(item.key);
    auto deleted_keys = std::vector<std::string>{};
    for (auto const& [key, item] : items_)
        if (key.starts_with(prefix) && !present_keys.contains(key) && item.revision <= revision)
            deleted_keys.push_back(key);
    auto applied = false;
    for (auto const& key : deleted_keys)
        applied = delete_item(key, revision) || applied;
    return applied;
}

// Whether the prefix was read before, by itself or as a part of a shorter one.
auto declared_state::has_read(std::string_view prefix) const -> bool
{
    return std::any_of(read_prefixes_.begin(), read_prefixes_.end(),
                       [&](auto const& each) { return prefix.starts_with(each); });
}

// Whether a value with this revision may be newer than what is known of the key. Of a configuration from an
// earlier era of the store, only its version tells.
auto declared_state::is_news(std::string_view key, std::uint64_t revision) const -> bool
{
    auto const era_of = [](std::uint64_t each) { return store_revision::from_ordered(each).era; };
    auto const is_newer_than = [&](std::uint64_t known) {
        return revision > known || (platform::is_configuration(key) && era_of(revision) < era_of(known));
    };
    auto const known = items_.find(key);
    if (known != items_.end() && !is_newer_than(known->second.revision)) return false;
    auto const deleted = deleted_.find(key);
    return deleted == deleted_.end() || is_newer_than(deleted->second);
}

auto declared_state::put_item(std::string_view key, std::string const& value, std::uint64_t revision,
                              time_point now, time_point since) -> bool
{
    if (!is_news(key, revision)) return false;
    if (platform::is_configuration(key) && !apply_configuration(value, revision)) return false;
    if (auto const model = platform::declared_model(key)) {
        weights_revision_ = std::max(weights_revision_, revision);
        if (!apply_weights_version(*model, value, revision, now, since)) return false;
    }
    items_[std::string{key}] = {std::string{key}, value, revision};
    if (auto domain = platform::evacuated_domain(key)) {
        log_event(log_level::info, "failure_domain_out",
                  {{"failure_domain", *domain}, {"revision", std::to_string(revision)}});
        out_of_service_.insert(std::move(*domain));
    }
    return true;
}

auto declared_state::delete_item(std::string_view key, std::uint64_t revision) -> bool
{
    auto const known = items_.find(key);
    if (known == items_.end() || known->second.revision > revision) return false;
    // Deleting the configuration key leaves the last accepted configuration in force, so that callers are
    // still served.
    if (auto const domain = platform::evacuated_domain(key)) {
        log_event(log_level::info, "failure_domain_in",
                  {{"failure_domain", *domain}, {"revision", std::to_string(revision)}});
        out_of_service_.erase(*domain);
    }
    deleted_[known->first] = revision;
    items_.erase(known);
    return true;
}

auto declared_state::apply_configuration(std::string const& value, std::uint64_t revision) -> bool
{
    auto const known = items_.find(platform::configuration_key);
    auto const is_newest_revision = known == items_.end() || revision > known->second.revision;
    auto decoded = platform::decode_configuration(value);
    if (!decoded) {
        log_event(log_level::error, "configuration_refused",
                  {{"revision", std::to_string(revision)}, {"reason", decoded.error().message}});
        return is_newest_revision;
    }
    log_unread(decoded.value().unread, revision);
    auto const version = decoded.value().map->version();
    if (map_ != nullptr && map_->version() > version) {
        log_event(log_level::warning, "configuration_older",
                  {{"version", std::to_string(version)},
                   {"revision", std::to_string(revision)},
                   {"known_version", std::to_string(map_->version())}});
        return false;
    }
    if (map_ != nullptr && map_->version() == version) return is_newest_revision;
    map_ = std::move(decoded).value().map;
    log_event(log_level::info, "configuration_applied",
              {{"version", std::to_string(map_->version())},
               {"revision", std::to_string(revision)},
               {"routes", std::to_string(map_->routes().size())}});
    return true;
}

auto declared_state::apply_weights_version(std::string const& model, std::string const& value,
                                           std::uint64_t revision, time_point now, time_point since) -> bool
{
    auto const version = platform::decode_weights_version(value);
    if (!version) {
        log_event(log_level::error, "weights_declaration_refused",
                  {{"model", model}, {"reason", version.error().message}});
        return true;
    }
    auto& list = versions_[model];
    if (!list.empty() && list.back().version >= version.value())
        return list.back().version == version.value();
    auto const known_since = revision == announced_revision_ ? std::min(now, announced_since_) : now;
    since = std::min(since, known_since);
    list.push_back({version.value(), since, known_since, revision});
    forget_old(list, now);
    log_event(log_level::info, "weights_declared",
              {{"model", model},
               {"version", std::to_string(version.value())},
               {"declared_ms_ago", milliseconds_text(now - since)}});
    return true;
}

// The first declaration that is kept decides what is excluded until the next one's grace period has ended.
auto declared_state::forget_old(std::vector<declared_weights>& list, time_point now) const -> void
{
    while (list.size() > kept_declarations && has_ended_grace_period(list[1], now))
        list.erase(list.begin());
    while (list.size() > max_declarations)
        merge_closest(list);
}

auto declared_state::has_ended_grace_period(declared_weights const& declaration, time_point now) const -> bool
{
    return now - declaration.declared_at >= settings_.old_version_grace_period - version_switch_margin;
}

auto declared_state::correct_declaration(std::string_view key, std::uint64_t revision, time_point declared_at)
    -> void
{
    auto const model = platform::declared_model(key);
    auto const found = model ? versions_.find(*model) : versions_.end();
    if (found == versions_.end() || found->second.back().revision != revision) return;
    set_declared_at(*model, found->second.back(), declared_at);
}

auto declared_state::set_declared_at(std::string_view model, declared_weights& declaration,
                                     time_point declared_at) -> void
{
    if (declared_at >= declaration.declared_at) return;
    auto const by = declaration.declared_at - declared_at;
    declaration.declared_at = declared_at;
    if (by < min_logged_correction) return;
    log_event(log_level::info, "weights_declared_earlier",
              {{"model", std::string{model}},
               {"version", std::to_string(declaration.version)},
               {"by_ms", milliseconds_text(by)}});
}

auto declared_state::note_skipped_versions(store_item const& item, time_point now, time_point declared_at)
    -> void
{
    auto const model = platform::declared_model(item.key);
    if (!model) return;
    auto const version = platform::decode_weights_version(item.value);
    if (!version || version.value() <= newest_version(*model) + 1) return;
    versions_[*model].push_back({version.value() - 1, declared_at, now, 0});
}

auto declared_state::newest_weights(time_point now) const -> known_declaration
{
    auto newest = known_declaration{weights_revision_, milliseconds{0}};
    for (auto const& [model, list] : versions_)
        if (list.back().revision == weights_revision_)
            newest.age = std::chrono::duration_cast<milliseconds>(now - list.back().known_since);
    return newest;
}

auto declared_state::on_peer_knows(known_declaration const& peer, time_point now) -> void
{
    if (peer.revision == 0) return;
    if (peer.revision > weights_revision_ && peer.revision >= announced_revision_) {
        auto const is_new = peer.revision > announced_revision_;
        announced_since_ = is_new ? now - peer.age : std::min(announced_since_, now - peer.age);
        announced_revision_ = peer.revision;
    }
    for (auto& [model, list] : versions_)
        for (auto& each : list) {
            if (each.revision != peer.revision) continue;
            each.known_since = std::min(each.known_since, now - peer.age);
            set_declared_at(model, each, each.known_since);
        }
}

auto declared_state::declared_versions(std::string_view model) const -> std::span<declared_weights const>
{
    auto const found = versions_.find(model);
    if (found == versions_.end()) return {};
    return found->second;
}

auto declared_state::newest_version(std::string_view model) const -> std::uint64_t
{
    auto const list = declared_versions(model);
    return list.empty() ? 1 : list.back().version;
}

auto declared_state::min_version(std::string_view model, time_point now) const -> std::uint64_t
{
    auto oldest_allowed = std::uint64_t{0};
    for (auto const& declaration : declared_versions(model))
        if (has_ended_grace_period(declaration, now)) oldest_allowed = declaration.version;
    return oldest_allowed;
}

auto declared_state::offered_configuration_version() const -> std::uint64_t
{
    return items_.contains(platform::configuration_key) ? configuration_version() : 0;
}

auto declared_state::ages(std::string_view prefix, time_point now) const
    -> std::map<std::string, milliseconds, std::less<>>
{
    auto found = std::map<std::string, milliseconds, std::less<>>{};
    for (auto const& [key, item] : items_) {
        auto const model = platform::declared_model(key);
        if (!key.starts_with(prefix) || !model) continue;
        auto const list = declared_versions(*model);
        if (list.empty()) continue;
        found[key] = std::chrono::duration_cast<milliseconds>(now - list.back().declared_at);
    }
    return found;
}

auto declared_state::items(std::string_view prefix) const -> std::vector<store_item>
{
    auto list = std::vector<store_item>{};
    for (auto const& [key, item] : items_)
        if (key.starts_with(prefix)) list.push_back(item);
    return list;
}

} // namespace hibiscuswall
