#include "hibiscuswall/fleet/entry_directory.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace hibiscuswall {

namespace {

auto peer_address_from(nlohmann::json const& document) -> std::optional<address>
{
    auto const found = document.find("peer");
    if (found == document.end() || !found->is_string()) return std::nullopt;
    auto const parsed = parse_address(found->get<std::string>());
    return parsed ? std::optional{parsed.value()} : std::nullopt;
}

} // namespace

auto encode_entry(listed_entry const& entry) -> std::string
{
    auto document = nlohmann::json{{"region", entry.region}};
    if (entry.peer_address) document["peer"] = entry.peer_address->text();
    return document.dump();
}

auto decode_entry(std::string_view key, std::string_view value) -> std::optional<listed_entry>
{
    if (!key.starts_with(entry_prefix) || key.size() == entry_prefix.size()) return std::nullopt;
    auto const document = nlohmann::json::parse(value, nullptr, false);
    if (!document.is_object() || !document.contains("region")) return std::nullopt;
    if (!document["region"].is_string()) return std::nullopt;
    return listed_entry{std::string{key.substr(entry_prefix.size())}, document["region"].get<std::string>(),
                        peer_address_from(document)};
}

entry_directory::entry_directory(entry_directory_settings settings, listed_entry self)
    : settings_{settings}, self_{std::move(self)}
{
    listed_[self_.name] = self_;
}

auto entry_directory::replace(std::span<store_item const> items, time_point now) -> void
{
    known_ = true;
    auto listed = std::set<std::string>{};
    for (auto const& item : items)
        if (auto entry = decode_entry(item.key, item.value)) {
            listed.insert(entry->name);
            departures_.erase(entry->name);
            listed_.insert_or_assign(entry->name, *entry);
        }
    auto gone = std::vector<std::string>{};
    for (auto const& [name, entry] : listed_)
        if (!listed.contains(name)) gone.push_back(name);
    for (auto const& name : gone)
        remove(name, now);
}

auto entry_directory::apply(store_change const& change, time_point now) -> void
{
    auto entry = change.value ? decode_entry(change.key, *change.value) : std::nullopt;
    if (!entry) return remove(std::string_view{change.key}.substr(entry_prefix.size()), now);
    departures_.erase(entry->name);
    listed_.insert_or_assign(entry->name, *entry);
}

auto entry_directory::remove(std::string_view name, time_point now) -> void
{
    if (name == self_.name) return;
    auto const found = listed_.find(name);
    if (found == listed_.end()) return;
    departures_.insert_or_assign(found->first, now);
    listed_.erase(found);
}

auto entry_directory::entries() const -> std::vector<listed_entry>
{
    auto list = std::vector<listed_entry>{};
    for (auto const& [name, entry] : listed_)
        list.push_back(entry);
    return list;
}

auto entry_directory::departed(time_point now) const -> int
{
    return static_cast<int>(std::count_if(departures_.begin(), departures_.end(), [&](auto const& each) {
        return now - each.second <= settings_.departed_lifetime;
    }));
}

} // namespace hibiscuswall
