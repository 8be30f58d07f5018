#pragma once
// The merged time line as text. As a page: timeline_page.hpp.
//
//   std::cout << timeline_text(body);     // body of GET /v1/timeline

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

[[nodiscard]] auto timeline_text(nlohmann::json const& body) -> std::string;

} // namespace hibiscuswall
