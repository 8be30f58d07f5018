#pragma once
// The merged time line as text and as one self-contained HTML page.
//
//   std::cout << timeline_text(body);     // body of GET /v1/timeline

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

[[nodiscard]] auto timeline_text(nlohmann::json const& body) -> std::string;

// Loads nothing from elsewhere; a filter field narrows the events.
[[nodiscard]] auto timeline_html(nlohmann::json const& body) -> std::string;

} // namespace hibiscuswall
