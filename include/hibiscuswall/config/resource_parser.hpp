#pragma once
// Parses and validates the JSON resources that operators declare. Every error is reported with the path of
// its field.
//
//   auto errors = std::vector<std::string>{};
//   auto parsed = parse_resource(document, "resources[0]", errors);
//   if (!parsed) ...     // errors: "resources[0].spec.cold_limit: 0 is below 1"

#include "hibiscuswall/config/resource.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

struct declared_resource {
    std::string kind;    // "ModelServing", "FailureDomain", "Host", "Service", "Account" or "Policy"
    std::string name;    // unique within its kind
    nlohmann::json spec; // as declared
    resource value;      // parsed

    [[nodiscard]] auto key() const -> std::string { return kind + "/" + name; }

    // Canonical text (sorted keys, no white space). Its SHA-256 digest is the name of the stored object.
    [[nodiscard]] auto text() const -> std::string;
};

// Returns no value if errors were added.
[[nodiscard]] auto parse_resource(nlohmann::json const& document, std::string const& path,
                                  std::vector<std::string>& errors) -> std::optional<declared_resource>;

[[nodiscard]] auto is_resource_kind(std::string_view kind) -> bool;

} // namespace hibiscuswall
