#pragma once
// Resource files of operators: one resource, a list of them, or {"resources": [...]}.
//
//   auto declared = read_resource_files({"pool.json", "accounts.json"});   // error: every mistake with its
//   path

#include "hibiscuswall/config/resource_parser.hpp"
#include "hibiscuswall/core/result.hpp"

#include <string>
#include <vector>

namespace hibiscuswall {

// settings_unreadable, or resource_invalid with one mistake a line: "file: resources[0].spec.region: is
// required".
[[nodiscard]] auto read_resource_files(std::vector<std::string> const& paths)
    -> result<std::vector<declared_resource>>;

} // namespace hibiscuswall
