#pragma once
// Reads one JSON file whole.
//
//   auto document = read_json_file("agent.json");
//   if (!document) print(document.error().message);   // names the path and the place of the mistake

#include "hibiscuswall/core/result.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

// settings_unreadable: the file cannot be opened or is not JSON.
[[nodiscard]] auto read_json_file(std::string const& path) -> result<nlohmann::json>;

} // namespace hibiscuswall
