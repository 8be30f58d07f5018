#pragma once
// The stored form of the configuration: a root that references content-addressed objects by their SHA-256
// digests.
//
//   auto next = previous.with(puts, deletions, write_id);  // revision is still that of previous
//   auto errors = next.validate();                          // errors in references between resources
//   auto view = next.view();                                // snapshot that readers use
//   auto delta = make_delta(*old, *next);                   // content of a config.push request
//   auto merged = apply_delta(*old, delta);                 // error if an object is missing or altered

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

// An earlier accepted write. The root keeps recent ones, so that a write whose response was lost is still
// recognised after another write superseded it.
struct recent_write {
    std::string write_id;       // unique id of the write
    std::uint64_t revision = 0; // store revision that the write produced
};

struct config_delta {
    std::uint64_t from_revision = 0; // revision that the delta applies to; 0: the empty document
    std::uint64_t revision = 0;
    std::string write_id;
    std::deque<recent_write> recent;
    std::map<std::string, std::optional<std::string>> changed; // "Kind/name" -> digest; none: deleted
    std::map<std::string, std::string> objects;                // digest -> text
};

struct config_document {
    std::uint64_t revision = 0;                   // store revision of the root; 0: no root yet
    std::string write_id;                         // id of the write that created this revision
    std::deque<recent_write> recent;              // earlier writes, newest first
    std::map<std::string, std::string> resources; // "Kind/name" -> digest
    std::map<std::string, std::string> objects;   // digest -> text of all resources

    // Text to store under config/root: {"write_id", "recent", "resources"}.
    [[nodiscard]] auto root_text() const -> std::string;

    // Digests that are referenced by resources but missing in objects.
    [[nodiscard]] auto missing_objects() const -> std::vector<std::string>;

    // Returns this document with the puts added or replaced and the deletions ("Kind/name") removed.
    [[nodiscard]] auto with(std::vector<declared_resource> const& puts,
                            std::vector<std::string> const& deletions, std::string next_write_id) const
        -> config_document;

    // Returns the errors in references between resources, each with its resource and field.
    [[nodiscard]] auto validate() const -> std::vector<std::string>;

    // Resources that cannot be parsed, for example those of a later version, are left out and listed in
    // skipped.
    [[nodiscard]] auto view(std::vector<std::string>& skipped) const -> config_view;

    // Revision that the write with this id produced, if the write is that of this document or a recent one.
    [[nodiscard]] auto revision_of(std::string_view id) const -> std::optional<std::uint64_t>;
};

// Whether the root is an earlier state of the known document, which a store that was restored from a copy
// gives out again under a revision of its new era. An empty root stands for a store that lost it.
[[nodiscard]] auto is_older_copy(config_document const& root, config_document const& known) -> bool;

// Parses a root, without its objects. Errors: response_malformed.
[[nodiscard]] auto parse_root(std::string_view text, std::uint64_t revision) -> result<config_document>;

[[nodiscard]] auto make_delta(config_document const& from, config_document const& to) -> config_delta;

// Errors: response_malformed if an object does not match its digest or a referenced object is missing.
[[nodiscard]] auto apply_delta(config_document const& from, config_delta const& delta)
    -> result<config_document>;

[[nodiscard]] auto to_json(config_delta const& delta) -> nlohmann::json;
[[nodiscard]] auto delta_from_json(nlohmann::json const& value) -> result<config_delta>;

} // namespace hibiscuswall
