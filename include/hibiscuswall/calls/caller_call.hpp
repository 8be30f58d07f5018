#pragma once
// A caller's request as parsed by an entry: account, endpoint query, class, deadline and idempotency.
//
//   auto read = read_caller_call(request, *view, settings, clock::now());
//   if (!read) reject(read.error());                    // request_malformed, unknown_account, ...

#include "hibiscuswall/calls/call_settings.hpp"
#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_message.hpp"
#include "hibiscuswall/routing/endpoint_router.hpp"

#include <string>

namespace hibiscuswall {

struct caller_call {
    std::string id;                                   // X-Call-Id; set by call_handler
    std::string account;                              // Name of the Account resource.
    request_class priority = request_class::drafting; // From the route of the service.
    bool idempotent = true;                           // The call may be retried after an unknown outcome.
    std::string idempotency_key; // Empty: the caller sent none or the call is idempotent.
    time_point deadline;         // Time of arrival plus the caller's timeout.
    std::string method;          // HTTP method for the endpoint.
    std::string target;          // Path and query for the endpoint.
    std::string content_type;    // Content-Type of the body.
    std::string body;            // As received from the caller.
    std::string digest;          // SHA-256 of method, target and body; only with an idempotency key.
    route_query query;           // Requirements on the endpoint.
};

[[nodiscard]] auto read_caller_call(http_request const& request, config_view const& view,
                                    call_settings const& settings, time_point now) -> result<caller_call>;

} // namespace hibiscuswall
