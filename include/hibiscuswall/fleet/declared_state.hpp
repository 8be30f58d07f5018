#pragma once
// What a process believes of the operators' wishes: configuration, failure domains out of service, declared
// weights. No network.
//
//   fleet.apply(change, now);                       // one change from the store or from a peer
//   fleet.replace("op/", items, revision, now);     // the whole content of the operators' keys, or a part
//   fleet.map();                                     // null until the first configuration came
//   fleet.lowest_version("m", now);                 // weights version that a request may begin on
//
// Never goes back: a change whose revision is not newer than what is known of its key is passed over.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/placement.hpp"
#include "hibiscuswall/serving/service_map.hpp"
#include "platform/key_value_client.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct fleet_settings {
    milliseconds version_time{8'000}; // from the declaration of weights until no request begins on older ones
};

struct declared_weights {
    std::uint64_t version = 1; // declared
    time_point since;          // when this process learned of it
};

class fleet_state {
public:
    explicit fleet_state(fleet_settings settings) : settings_{settings} {}

    auto apply(store_change const& change, time_point now) -> void;
    // The whole content of the keys that begin with prefix; revision: up to which the items are complete.
    auto replace(std::string_view prefix, std::vector<store_item> const& items, std::uint64_t revision,
                 time_point now) -> void;

    // A peer that knows this revision told everything that it knows.
    auto agree(std::uint64_t revision) -> void { revision_ = std::max(revision_, revision); }

    [[nodiscard]] auto map() const -> service_map_ptr const& { return map_; }
    [[nodiscard]] auto out_of_service() const -> domain_set const& { return out_of_service_; }

    // Newest change of the operators that this process knows.
    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    // Newest declaration of weights among those.
    [[nodiscard]] auto weights_revision() const -> std::uint64_t { return weights_revision_; }
    [[nodiscard]] auto changed_at() const -> time_point { return changed_at_; }

    // Weights versions of a model, oldest declaration first; empty: only version 1 was ever there.
    [[nodiscard]] auto declared(std::string_view model) const -> std::span<declared_weights const>;
    [[nodiscard]] auto newest_version(std::string_view model) const -> std::uint64_t;

    // Older weights may begin no request any more, a little before the bound. 0: any.
    [[nodiscard]] auto lowest_version(std::string_view model, time_point now) const -> std::uint64_t;

    // The operators' keys of a prefix as they are known, for peers that the store turns away.
    [[nodiscard]] auto items(std::string_view prefix) const -> std::vector<store_item>;

    // Called after each change that was applied.
    auto on_change(std::function<void()> callback) -> void { on_change_ = std::move(callback); }

private:
    auto take(std::string_view key, std::string const& value, std::uint64_t revision, time_point since)
        -> bool;
    auto drop(std::string_view key, std::uint64_t revision) -> bool;
    auto take_configuration(std::string const& value, std::uint64_t revision) -> void;
    auto take_version(std::string const& model, std::string const& value, time_point since) -> void;

    fleet_settings settings_;
    service_map_ptr map_;
    domain_set out_of_service_;
    std::map<std::string, std::vector<declared_weights>, std::less<>> versions_; // by model
    std::map<std::string, store_item, std::less<>> items_;                       // by key
    std::map<std::string, std::uint64_t, std::less<>> deleted_;                  // revision of the deletion
    std::set<std::string, std::less<>> listed_;                                  // prefixes known whole
    std::uint64_t revision_ = 0;
    std::uint64_t weights_revision_ = 0;
    time_point changed_at_;
    std::function<void()> on_change_;
};

} // namespace hibiscuswall
