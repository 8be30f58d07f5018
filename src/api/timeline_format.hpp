#pragma once
// Parts of an event of the time line as text, for the text form and the page.

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

// "2026-01-31 08:15:00.250", UTC.
[[nodiscard]] auto time_text(long long wall_ms) -> std::string;

// "key=value key=value" of the event's fields.
[[nodiscard]] auto fields_text(nlohmann::json const& event) -> std::string;

// Names of the processes that did not answer, separated by commas.
[[nodiscard]] auto unreachable_text(nlohmann::json const& body) -> std::string;

} // namespace hibiscuswall
