#pragma once
// This process's copy of the state that operators declared: the configuration, the failure domains that are
// out of service, and the weights version of each model. Does no network I/O.
//
//   declared.apply(change, now, since);                     // one change from the store
//   declared.replace("op/", items, revision, now, since);   // complete content of a key prefix
//   declared.map();                                         // null until the first one was applied
//   declared.min_version("m", now);                         // oldest weights that a request may start on
//
// Never goes back: a change is ignored unless its revision is newer than the known revision of its key, and
// unless the version that a configuration or a declaration names is at least the known one. A store that was
// restored from a copy names an older one until operators have written the newer one again; a configuration
// of an earlier era of the store is therefore taken if its version is newer.
//
// The grace period of an old weights version runs from its successor's declaration, which this process may
// receive late: after a pause, after a call to the store that got no response, or behind a large value. So
// each change comes with the earliest time at which it may have been declared. Processes also tell each other
// how long they have known the newest declaration: it was made before any of them knew it.
//
//   auto const known = declared.newest_weights(now);        // sent to peers
//   declared.on_peer_knows(received_from_a_peer, now);      // moves the begin of the grace period back

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

struct declared_state_settings {
    // How long after a weights declaration requests may still start on older versions.
    milliseconds old_version_grace_period{8'000};
};

struct declared_weights {
    std::uint64_t version = 1;
    time_point declared_at;     // earliest time at which it may have been declared
    time_point known_since;     // earliest time at which a process is known to have received it
    std::uint64_t revision = 0; // store revision of the declaration
};

// How long the newest declaration of weights has been known, as processes tell each other.
struct known_declaration {
    std::uint64_t revision = 0; // store revision of the declaration; 0: none is known
    milliseconds age{0};        // since the first process that is known to have received it did
};

class declared_state {
public:
    explicit declared_state(declared_state_settings settings) : settings_{settings} {}

    // since: earliest time at which the change may have been declared.
    auto apply(store_change const& change, time_point now, time_point since) -> void;
    auto apply(store_change const& change, time_point now) -> void { apply(change, now, now); }

    // Applies a change that came without the earlier changes of other keys, so that revision() stays as it
    // is.
    auto apply_alone(store_change const& change, time_point now, time_point since) -> void;

    // Merges the complete content of a prefix, as of the given store revision: newer items are stored, and
    // known keys that are absent are deleted unless they changed after that revision. Revision 0 comes from a
    // peer that has no declared state yet and changes nothing.
    // since: earliest time at which those that this process lacks may have been declared.
    // absent: kept, none is deleted.
    auto replace(std::string_view prefix, std::vector<store_item> const& items, std::uint64_t revision,
                 time_point now, time_point since, absent_keys absent = absent_keys::deleted) -> void;
    auto replace(std::string_view prefix, std::vector<store_item> const& items, std::uint64_t revision,
                 time_point now) -> void
    {
        replace(prefix, items, revision, now, now);
    }

    // Takes over from a peer that a weights declaration was made at this time, if that is earlier than known.
    auto correct_declaration(std::string_view key, std::uint64_t revision, time_point declared_at) -> void;

    // Records that a version before the one that the item declares, which this process lacks as well, may
    // have been declared at this time. Changes nothing unless the item skips a version.
    auto note_skipped_versions(store_item const& item, time_point now, time_point declared_at) -> void;

    // The newest declaration of weights that this process knows, of any model.
    [[nodiscard]] auto newest_weights(time_point now) const -> known_declaration;

    // Takes over since when a peer has known a declaration; kept for one that this process has yet to
    // receive.
    auto on_peer_knows(known_declaration const& peer, time_point now) -> void;

    // Records that this state is complete up to the revision, after a peer sent its complete state.
    auto agree(std::uint64_t revision) -> void { revision_ = std::max(revision_, revision); }

    [[nodiscard]] auto map() const -> service_map_ptr const& { return map_; }
    // Version of the configuration in force; 0: none yet.
    [[nodiscard]] auto configuration_version() const -> std::uint64_t
    {
        return map_ == nullptr ? 0 : map_->version();
    }
    // The same as far as items() holds it for peers: operators may have deleted its key.
    [[nodiscard]] auto offered_configuration_version() const -> std::uint64_t;
    [[nodiscard]] auto out_of_service() const -> failure_domain_set const& { return out_of_service_; }

    // Store revision up to which this process knows all operator changes, as far as it keeps them.
    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }

    // Store revision of the newest weights declaration that this process knows.
    [[nodiscard]] auto weights_revision() const -> std::uint64_t { return weights_revision_; }
    [[nodiscard]] auto changed_at() const -> time_point { return changed_at_; }

    // Declared weights versions of a model, oldest first. Empty if none was declared: then version 1 applies.
    // Of more than 64 within one grace period, some are left out.
    [[nodiscard]] auto declared_versions(std::string_view model) const -> std::span<declared_weights const>;
    [[nodiscard]] auto newest_version(std::string_view model) const -> std::uint64_t;

    // Oldest weights version that a request may start on; 0 allows any version. Rises a margin before the
    // grace period ends, because a request may wait in an engine before it starts.
    [[nodiscard]] auto min_version(std::string_view model, time_point now) const -> std::uint64_t;

    // Known operator keys that begin with prefix; sent to peers that lack changes from the store.
    [[nodiscard]] auto items(std::string_view prefix) const -> std::vector<store_item>;

    // Time since the weights declarations under the prefix were made, by key.
    [[nodiscard]] auto ages(std::string_view prefix, time_point now) const
        -> std::map<std::string, milliseconds, std::less<>>;

    // Sets the callback that runs after each applied change.
    auto on_change(std::function<void()> callback) -> void { on_change_ = std::move(callback); }

private:
    auto put_item(std::string_view key, std::string const& value, std::uint64_t revision, time_point now,
                  time_point since) -> bool;
    auto delete_item(std::string_view key, std::uint64_t revision) -> bool;
    auto delete_absent(std::string_view prefix, std::vector<store_item> const& present,
                       std::uint64_t revision) -> bool;
    [[nodiscard]] auto has_read(std::string_view prefix) const -> bool;
    static auto set_declared_at(std::string_view model, declared_weights& declaration, time_point declared_at)
        -> void;
    [[nodiscard]] auto is_news(std::string_view key, std::uint64_t revision) const -> bool;
    // These return whether the value is at least as new as the one that is in force.
    auto apply_configuration(std::string const& value, std::uint64_t revision) -> bool;
    auto apply_weights_version(std::string const& model, std::string const& value, std::uint64_t revision,
                               time_point now, time_point since) -> bool;
    auto forget_old(std::vector<declared_weights>& list, time_point now) const -> void;
    // Whether requests may no longer start on the versions before the declared one.
    [[nodiscard]] auto has_ended_grace_period(declared_weights const& declaration, time_point now) const
        -> bool;

    declared_state_settings settings_;
    service_map_ptr map_;
    failure_domain_set out_of_service_;
    std::map<std::string, std::vector<declared_weights>, std::less<>> versions_; // by model
    std::map<std::string, store_item, std::less<>> items_;                       // by key
    std::map<std::string, std::uint64_t, std::less<>> deleted_; // revision of each deletion, by key
    std::set<std::string, std::less<>> read_prefixes_;          // prefixes with complete content
    std::uint64_t revision_ = 0;
    std::uint64_t weights_revision_ = 0;
    std::uint64_t announced_revision_ = 0; // newest declaration that peers know and this process does not
    time_point announced_since_;           // since when the first of them is known to have known it
    time_point changed_at_;
    std::function<void()> on_change_;
};

} // namespace hibiscuswall
