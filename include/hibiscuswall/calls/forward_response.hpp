#pragma once
// One attempt of a call on its way to an agent and back: the Hw- headers of POST /forward.
//
//   auto request = make_forward(call, attempt, *view, now);
//   auto told = read_forward_answer(stream.status(), stream.headers(), attempt.id);
//   if (told.ran == ran::no) try_another();

#include "hibiscuswall/calls/caller_call.hpp"

namespace hibiscuswall {

struct call_attempt {
    std::string id;                // Hw-Call-Id: the call's id for the first attempt, then id-2, id-3
    member host;                   // agent it goes to
    std::uint64_t incarnation = 0; // the agent must have; sent for non-idempotent calls
    std::string last_event_id;     // resume of a stream after this event; empty: from its beginning
    std::string weights_version;   // the resumed stream's
};

struct forward_answer {
    bool foreign = false;               // it belongs to another call: drop it
    ran outcome = ran::unknown;         // Hw-Ran
    result_code code = result_code::ok; // Hw-Code: ok for the endpoint's own answer
    endpoint_report report;             // for the router
    long long retry_after_s = 0;        // Retry-After; 0: not told
};

[[nodiscard]] auto make_forward(caller_call const& call, call_attempt const& attempt, config_view const& view,
                                time_point now) -> http_request;

[[nodiscard]] auto read_forward_answer(http_headers const& headers, std::string_view attempt_id)
    -> forward_answer;

// Whether another endpoint may take a call that was refused with this code.
[[nodiscard]] auto worth_another_endpoint(result_code code) -> bool;

// Whether the retry adds load: a refusal for overload does, one for a change of the pool does not.
[[nodiscard]] auto costs_retry_budget(result_code code) -> bool;

} // namespace hibiscuswall
