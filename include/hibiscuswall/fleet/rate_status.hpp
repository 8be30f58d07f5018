#pragma once
// Shows operators the rate limits that endpoints name, and logs when one begins, changes or ends.
//
//   context.control.add("GET", "/fleet/limits", ...rate_limits_json(endpoints, clock::now()));
//   endpoints.on_rate_change(log_rate_change);

#include "hibiscuswall/serving/endpoint_table.hpp"

#include <string>

namespace hibiscuswall {

// JSON array: endpoint, service, calls_per_second (of all entries together), own_calls_per_second and
// available (of this entry), senders, divider, has_grant (whether grants of the divider arrive).
[[nodiscard]] auto rate_limits_json(endpoint_table const& endpoints, time_point now) -> std::string;

auto log_rate_change(tracked_endpoint const& endpoint, std::optional<double> before,
                     endpoint_table::rate_source source, time_point now) -> void;

} // namespace hibiscuswall
