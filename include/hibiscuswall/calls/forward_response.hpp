#pragma once
// Builds the POST /forward request for one attempt of a call, and reads the Hw- headers of its response.
//
//   auto request = make_forward_request(call, attempt, *view, now);
//   auto response = read_forward_response(stream.headers(), attempt.id);
//   if (response.outcome == ran::no) retry_at_another_endpoint();

#include "hibiscuswall/calls/caller_call.hpp"

namespace hibiscuswall {

struct call_attempt {
    std::string id; // Hw-Call-Id: id of the call for the first attempt, then id-2, id-3 and so on.
    member host;    // Agent that it is sent to.
    // Incarnation that the agent must have; sent for non-idempotent calls only.
    std::uint64_t incarnation = 0;
    std::string last_event_id;   // Resumes a stream after this event; empty: starts a new one.
    std::string weights_version; // Weights version of the resumed stream.
};

struct forward_response {
    bool is_mismatched = false;         // The response belongs to another call and must be dropped.
    ran outcome = ran::unknown;         // Hw-Ran.
    result_code code = result_code::ok; // Hw-Code; ok: the response comes from the endpoint.
    endpoint_report report;             // For the router.
    long long retry_after_s = 0;        // Retry-After; 0: absent.
};

[[nodiscard]] auto make_forward_request(caller_call const& call, call_attempt const& attempt,
                                        config_view const& view, time_point now) -> http_request;

[[nodiscard]] auto read_forward_response(http_headers const& headers, std::string_view attempt_id)
    -> forward_response;

// Whether a call that was rejected with this code may be retried at another endpoint.
[[nodiscard]] auto is_retryable_elsewhere(result_code code) -> bool;

// Whether a retry after this code counts against the retry budget. A retry after a rejection for overload
// adds load; one after a rejection because the set of endpoints changed does not.
[[nodiscard]] auto consumes_retry_budget(result_code code) -> bool;

} // namespace hibiscuswall
