#include "hibiscuswall/fleet/declared_state.hpp"

#include "hibiscuswall/observe/log.hpp"
#include "platform/operator_documents.hpp"

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

// A request may wait in an engine before it begins.
constexpr auto version_margin = milliseconds{600};
constexpr auto kept_declarations = std::size_t{8}; // of one model

} // namespace

auto fleet_state::apply(store_change const& change, time_point now) -> void
{
    auto const applied = change.value ? take(change.key, *change.value, change.revision, now)
                                      : drop(change.key, change.revision);
    revision_ = std::max(revision_, change.revision);
    if (!applied) return;
    changed_at_ = now;
    if (on_change_) on_change_();
}

auto fleet_state::replace(std::string_view prefix, std::vector<store_item> const& items,
                          std::uint64_t revision, time_point now) -> void
{
    if (revision == 0) return; // the store's first change has a higher one: told by a peer that knows nothing
    // What a process finds at its start may have been declared long ago.
    auto const is_first = listed_.insert(std::string{prefix}).second;
    auto const since = is_first ? now - settings_.version_time : now;
    auto present = std::set<std::string_view>{};
    auto applied = false;
    for (auto const& item : items) {
        present.insert(item.key);
        applied = take(item.key, item.value, item.revision, since) || applied;
    }
    auto gone = std::vector<std::string>{};
    for (auto const& [key, item] : items_)
        if (key.starts_with(prefix) && !present.contains(key) && item.revision <= revision)
            gone.push_back(key);
    for (auto const& key : gone)
        applied = drop(key, revision) || applied;
    for (auto const& item : items)
        revision_ = std::max(revision_, item.revision);
    if (!applied) return;
    changed_at_ = now;
    if (on_change_) on_change_();
}

auto fleet_state::take(std::string_view key, std::string const& value, std::uint64_t revision,
                       time_point since) -> bool
{
    auto const known = items_.find(key);
    if (known != items_.end() && known->second.revision >= revision) return false;
    auto const deleted = deleted_.find(key);
    if (deleted != deleted_.end() && deleted->second >= revision) return false;
    items_[std::string{key}] = {std::string{key}, value, revision};
    if (platform::is_configuration(key)) take_configuration(value, revision);
    if (auto const model = platform::declared_model(key)) {
        weights_revision_ = std::max(weights_revision_, revision);
        take_version(*model, value, since);
    }
    if (auto domain = platform::evacuated_domain(key)) {
        log_event(log_level::info, "failure_domain_out",
                  {{"failure_domain", *domain}, {"revision", std::to_string(revision)}});
        out_of_service_.insert(std::move(*domain));
    }
    return true;
}

auto fleet_state::drop(std::string_view key, std::uint64_t revision) -> bool
{
    auto const known = items_.find(key);
    if (known == items_.end() || known->second.revision > revision) return false;
    // A configuration that goes leaves the newest one in force: callers are served by what was accepted last.
    if (auto const domain = platform::evacuated_domain(key)) {
        log_event(log_level::info, "failure_domain_in",
                  {{"failure_domain", *domain}, {"revision", std::to_string(revision)}});
        out_of_service_.erase(*domain);
    }
    deleted_[known->first] = revision;
    items_.erase(known);
    return true;
}

auto fleet_state::take_configuration(std::string const& value, std::uint64_t revision) -> void
{
    auto decoded = platform::decode_configuration(value);
    if (!decoded) {
        log_event(log_level::error, "configuration_refused",
                  {{"revision", std::to_string(revision)}, {"reason", decoded.error().message}});
        return;
    }
    if (map_ != nullptr && map_->version() >= decoded.value()->version()) return;
    map_ = std::move(decoded).value();
    log_event(log_level::info, "configuration_applied",
              {{"version", std::to_string(map_->version())},
               {"revision", std::to_string(revision)},
               {"routes", std::to_string(map_->routes().size())}});
}

auto fleet_state::take_version(std::string const& model, std::string const& value, time_point since) -> void
{
    auto const version = platform::decode_weights_version(value);
    if (!version) {
        log_event(log_level::error, "weights_declaration_refused",
                  {{"model", model}, {"reason", version.error().message}});
        return;
    }
    auto& list = versions_[model];
    if (!list.empty() && list.back().version >= version.value()) return;
    list.push_back({version.value(), since});
    if (list.size() > kept_declarations) list.erase(list.begin());
    log_event(log_level::info, "weights_declared",
              {{"model", model}, {"version", std::to_string(version.value())}});
}

auto fleet_state::declared(std::string_view model) const -> std::span<declared_weights const>
{
    auto const found = versions_.find(model);
    if (found == versions_.end()) return {};
    return found->second;
}

auto fleet_state::newest_version(std::string_view model) const -> std::uint64_t
{
    auto const list = declared(model);
    return list.empty() ? 1 : list.back().version;
}

auto fleet_state::lowest_version(std::string_view model, time_point now) const -> std::uint64_t
{
    auto lowest = std::uint64_t{0};
    for (auto const& each : declared(model))
        if (now - each.since >= settings_.version_time - version_margin) lowest = each.version;
    return lowest;
}

auto fleet_state::items(std::string_view prefix) const -> std::vector<store_item>
{
    auto list = std::vector<store_item>{};
    for (auto const& [key, item] : items_)
        if (key.starts_with(prefix)) list.push_back(item);
    return list;
}

} // namespace hibiscuswall
