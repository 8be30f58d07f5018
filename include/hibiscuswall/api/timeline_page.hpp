#pragma once
// The merged time line as one self-contained HTML page: a lane with a dot for each event of each process, in
// causal order, above a table that can be filtered. Needs no network and no other file.
//
//   std::cout << timeline_page(body);      // answer of GET /v1/timeline

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

// Events are expected in causal order, as GET /v1/timeline gives them.
[[nodiscard]] auto timeline_page(nlohmann::json const& body) -> std::string;

} // namespace hibiscuswall
