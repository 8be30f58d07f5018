#pragma once
// The configuration as stored: one root that names content-addressed objects by their SHA-256.
//
//   auto next = previous.with(puts, deletions, write_id);  // revision still that of previous
//   auto errors = next.validate();                          // references between resources
//   auto view = next.view();                                // snapshot for the decisions
//   auto delta = make_delta(*old, *next);                   // what config.push carries
//   auto merged = apply_delta(*old, delta);                 // error when an object is missing or altered

#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/config/resource_parser.hpp"
#include "hibiscuswall/core/result.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

// An earlier accepted write, kept in the root so that a superseded write can still be recognised.
struct recent_write {
    std::string write_id;       // unique id of the write
    std::uint64_t revision = 0; // store revision that it got
};

struct config_delta {
    std::uint64_t from_revision = 0; // 0: from the empty document
    std::uint64_t revision = 0;
    std::string write_id;
    std::deque<recent_write> recent;
    std::map<std::string, std::optional<std::string>> changed; // "Kind/name" -> digest, none: deleted
    std::map<std::string, std::string> objects;                // digest -> text
};

struct config_document {
    std::uint64_t revision = 0;                   // store revision of the root; 0: no root yet
    std::string write_id;                         // of the write that made it
    std::deque<recent_write> recent;              // earlier writes, newest first
    std::map<std::string, std::string> resources; // "Kind/name" -> digest
    std::map<std::string, std::string> objects;   // digest -> text, of all resources

    // Text of config/root: {"write_id", "recent", "resources"}.
    [[nodiscard]] auto root_text() const -> std::string;

    // Digests that resources name and objects lacks.
    [[nodiscard]] auto missing_objects() const -> std::vector<std::string>;

    // This document with resources added, replaced and removed by "Kind/name".
    [[nodiscard]] auto with(std::vector<declared_resource> const& puts,
                            std::vector<std::string> const& deletions, std::string next_write_id) const
        -> config_document;

    // Mistakes between resources, each with the resource and field.
    [[nodiscard]] auto validate() const -> std::vector<std::string>;

    // Resources that do not parse (of a later version) are left out and named in skipped.
    [[nodiscard]] auto view(std::vector<std::string>& skipped) const -> config_view;

    // Revision that a write got, when this document or one of its recent writes is it.
    [[nodiscard]] auto revision_of(std::string_view id) const -> std::optional<std::uint64_t>;
};

// A root without its objects; response_malformed when the text is no root.
[[nodiscard]] auto parse_root(std::string_view text, std::uint64_t revision) -> result<config_document>;

[[nodiscard]] auto make_delta(config_document const& from, config_document const& to) -> config_delta;

// response_malformed when an object does not match its digest or a named object is missing.
[[nodiscard]] auto apply_delta(config_document const& from, config_delta const& delta)
    -> result<config_document>;

[[nodiscard]] auto to_json(config_delta const& delta) -> nlohmann::json;
[[nodiscard]] auto delta_from_json(nlohmann::json const& value) -> result<config_delta>;

} // namespace hibiscuswall
