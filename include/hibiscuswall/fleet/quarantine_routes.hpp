#pragma once
// Shows operators the suspected and quarantined prompt segments, and lets them lift the quarantine of one, on
// the peer address.
//
//   auto routes = quarantine_routes{context, quarantine, [&] { exchange.on_change(); }};
//
// GET /fleet/quarantine returns the list; DELETE /fleet/quarantine/{model}/{segment} clears a segment at
// every entry. The names are percent-encoded; a '/' in the segment's name has to be.

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/serving/prompt_quarantine.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

[[nodiscard]] auto segment_state_text(segment_state state) -> std::string_view;

// JSON array of the list.
[[nodiscard]] auto status_json(std::span<segment_status const> statuses) -> std::string;

struct segment_name {
    std::string model;
    std::string segment;
};

// Reads the names from a path of DELETE; nullopt if it does not name both.
[[nodiscard]] auto segment_name_from(std::string_view path) -> std::optional<segment_name>;

class quarantine_routes {
public:
    // on_change: called after a segment was cleared.
    quarantine_routes(process_context& context, prompt_quarantine& quarantine,
                      std::function<void()> on_change);

private:
    [[nodiscard]] auto list() const -> http_response;
    [[nodiscard]] auto clear(http_request const& request) -> http_response;

    prompt_quarantine& quarantine_;
    std::function<void()> on_change_;
};

} // namespace hibiscuswall
