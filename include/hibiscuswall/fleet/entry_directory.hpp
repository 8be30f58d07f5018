#pragma once
// The entries of the fleet, as listed in the platform's store. No network, no clock.
//
//   auto directory = entry_directory{settings, self};
//   directory.replace(range.items, now);           // the complete listing
//   directory.apply(change, now);                  // one change
//   directory.entries();                           // including this entry
//   directory.departed(now);                       // entries that left recently and may still send calls
//
// An entry that is cut off from the store loses its record, but may go on serving callers. Shares of limits
// that hold over all entries therefore still count it for a while.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/sender_assignment.hpp"
#include "platform/key_value_client.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

constexpr auto entry_prefix = std::string_view{"entries/"};

// The record that an entry writes about itself, and its decoding; none if the key or value is invalid. An
// invalid peer address counts as absent.
[[nodiscard]] auto encode_entry(listed_entry const& entry) -> std::string;
[[nodiscard]] auto decode_entry(std::string_view key, std::string_view value) -> std::optional<listed_entry>;

struct entry_directory_settings {
    milliseconds departed_lifetime{60'000}; // longer than a process is usually cut off or suspended
};

class entry_directory {
public:
    entry_directory(entry_directory_settings settings, listed_entry self);

    auto replace(std::span<store_item const> items, time_point now) -> void;
    auto apply(store_change const& change, time_point now) -> void;

    // Whether the listing was read. Before that, entries() holds this entry only.
    [[nodiscard]] auto is_known() const -> bool { return known_; }
    [[nodiscard]] auto entries() const -> std::vector<listed_entry>;
    [[nodiscard]] auto departed(time_point now) const -> int;

private:
    auto remove(std::string_view name, time_point now) -> void;

    entry_directory_settings settings_;
    listed_entry self_;
    bool known_ = false;
    std::map<std::string, listed_entry, std::less<>> listed_;   // by name
    std::map<std::string, time_point, std::less<>> departures_; // by name of a former entry
};

} // namespace hibiscuswall
