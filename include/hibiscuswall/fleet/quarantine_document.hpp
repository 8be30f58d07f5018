#pragma once
// Quarantined prompt segments as values of the store. No network, no clock.
//
//   store.put(quarantine_key(record.model, record.segment), *encode_quarantine(record), 0);
//   auto record = decode_quarantine(item.key, item.value, now);
//
// A value names model, segment and the crashes. Times are left out: no steady clock spans two processes, so
// the crashes count as observed when the value is read.

#include "hibiscuswall/serving/marked_segment.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

constexpr auto quarantine_prefix = std::string_view{"quarantine/"};

// Key of a segment's value; of equal length for all segments.
[[nodiscard]] auto quarantine_key(std::string_view model, std::string_view segment) -> std::string;

// Returns nullopt if a name is not valid UTF-8, which JSON cannot hold.
[[nodiscard]] auto encode_quarantine(segment_record const& record) -> std::optional<std::string>;

// Returns nullopt if key or value is malformed, or does not belong to the other.
[[nodiscard]] auto decode_quarantine(std::string_view key, std::string_view value, time_point now)
    -> std::optional<segment_record>;

// Highest generation of the marks that are not cleared; 0 if there are none.
[[nodiscard]] auto highest_generation(segment_record const& record) -> int;

} // namespace hibiscuswall
