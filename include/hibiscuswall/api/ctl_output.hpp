#pragma once
// Text of hibiscusctl for people. Every function takes the body of the API's answer.

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

[[nodiscard]] auto resources_text(nlohmann::json const& body) -> std::string;
[[nodiscard]] auto status_text(nlohmann::json const& body) -> std::string;
[[nodiscard]] auto members_text(nlohmann::json const& body) -> std::string;
[[nodiscard]] auto description_text(nlohmann::json const& body) -> std::string;
[[nodiscard]] auto differences_text(nlohmann::json const& differences) -> std::string;

// Whether every host that a ModelServing names reports its version as active; explains what is missing.
[[nodiscard]] auto weights_converged(nlohmann::json const& servings, nlohmann::json const& weights,
                                     std::string& explanation) -> bool;

} // namespace hibiscuswall
