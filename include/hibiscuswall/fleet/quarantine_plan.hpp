#pragma once
// Decides what an entry writes to the store about quarantined segments, and when. No network, no clock.
//
//   auto plan = quarantine_plan{"entry-1"};
//   plan.set_entries(names);                                  // of the fleet, including this one
//   plan.on_read(stored);                                     // what the store holds
//   if (auto const step = plan.next_step(quarantine.status(now), now))
//       std::visit([&](auto const& each) { perform(each); }, *step);
//   plan.on_written(key, generation, revision);               // or on_conflict(), on_found(), on_removed()
//
// All entries come to the same verdict and one of them has to write it: the entry of rank n does so n seconds
// later, unless it knows that the value is there. The same holds for the removal once a segment is cleared,
// or forgotten; a value that the quarantine had no room for stays.

#include "hibiscuswall/serving/prompt_quarantine.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hibiscuswall {

struct quarantine_plan_settings {
    milliseconds rank_delay{1'000}; // the entry of rank n waits n times this
};

// What this entry knows of a value in the store.
struct stored_quarantine {
    int generation = 0;                    // highest that the value names
    std::optional<std::uint64_t> revision; // none if another entry wrote the value
};

// Write the segment's record under the key, which must have the expected revision; 0: must not exist.
struct store_write {
    std::string key;
    std::string model;
    std::string segment;
    int generation = 0;
    std::uint64_t expect = 0;
};

struct store_removal {
    std::string key;
    std::uint64_t expect = 0; // revision that the key must have
};

// Read the key, because its revision is needed.
struct store_lookup {
    std::string key;
};

using store_step = std::variant<store_write, store_removal, store_lookup>;

class quarantine_plan {
public:
    explicit quarantine_plan(std::string self, quarantine_plan_settings settings = {});

    auto set_entries(std::vector<std::string> names) -> void;

    // Whether nothing is known to be stored.
    [[nodiscard]] auto empty() const -> bool { return stored_.empty(); }

    // The first step that is due, or nullopt. It is due again until its outcome is reported.
    [[nodiscard]] auto next_step(std::span<segment_status const> statuses, time_point now)
        -> std::optional<store_step>;

    // ---- outcomes
    using stored_map = std::map<std::string, stored_quarantine, std::less<>>; // by key

    auto on_read(stored_map stored) -> void; // all values of the store
    auto on_found(std::string const& key, std::optional<stored_quarantine> found) -> void;
    auto on_written(std::string const& key, int generation, std::uint64_t revision) -> void;
    auto on_removed(std::string const& key) -> void;
    auto on_conflict(store_write const& step) -> void;
    auto on_conflict(store_removal const& step) -> void;

private:
    // A change that the store lacks, since this entry has noticed it.
    struct pending_change {
        time_point due_at;
        bool is_removal = false;
    };
    using pending_map = std::map<std::string, pending_change, std::less<>>; // by key
    using key_set = std::set<std::string, std::less<>>;

    [[nodiscard]] auto is_stored(std::string_view key, int generation) const -> bool;
    [[nodiscard]] auto is_due(std::string const& key, bool is_removal, time_point now, pending_map& pending)
        -> bool;
    [[nodiscard]] auto write_step(std::string key, segment_status const& status) const -> store_step;
    [[nodiscard]] auto removal_step(std::string const& key) const -> store_step;

    std::string self_;
    quarantine_plan_settings settings_;
    std::vector<std::string> entries_; // names, including this entry's
    stored_map stored_;
    pending_map pending_;
    key_set seen_; // keys of segments that the quarantine has known since they were stored
};

} // namespace hibiscuswall
