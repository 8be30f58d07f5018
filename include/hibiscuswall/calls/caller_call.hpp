#pragma once
// A caller's request as an entry understands it: account, endpoint query, class, deadline, idempotency.
//
//   auto read = read_caller_call(request, *view, settings, clock::now());
//   if (!read) refuse(read.error());                    // request_malformed, unknown_account, ...

#include "hibiscuswall/calls/call_settings.hpp"
#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_message.hpp"
#include "hibiscuswall/routing/endpoint_router.hpp"

#include <string>

namespace hibiscuswall {

struct caller_call {
    std::string id;                                   // X-Call-Id; set by the handler
    std::string account;                              // name of the Account resource
    request_class priority = request_class::drafting; // from the service's route
    bool idempotent = true;                           // may be sent again after an unknown outcome
    std::string idempotency_key;                      // empty: none, or not needed
    time_point deadline;                              // arrival plus the caller's timeout
    std::string method;                               // towards the endpoint
    std::string target;                               // path and query at the endpoint
    std::string content_type;                         // of the body
    std::string body;                                 // as sent by the caller
    std::string digest;                               // SHA-256 of method, target and body; with a key only
    route_query query;                                // what the endpoint must offer
};

[[nodiscard]] auto read_caller_call(http_request const& request, config_view const& view,
                                    call_settings const& settings, time_point now) -> result<caller_call>;

} // namespace hibiscuswall
