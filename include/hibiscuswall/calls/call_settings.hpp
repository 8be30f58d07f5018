#pragma once
// Settings of an entry's calls ("calls" in its settings file); routing and claims are children of it.

#include "hibiscuswall/calls/claim_store.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/routing/routing_settings.hpp"

namespace hibiscuswall {

struct call_settings {
    milliseconds default_timeout{60'000};  // "default_timeout_ms": deadline without X-Request-Timeout-Ms
    milliseconds longest_timeout{600'000}; // "longest_timeout_ms": callers may not ask for more
    milliseconds connect_timeout{500};     // "connect_timeout_ms": to an agent
    milliseconds status_timeout{1'000};    // "status_timeout_ms": one attempt of an idempotent status call
    milliseconds response_timeout{20'000}; // "answer_timeout_ms": one attempt of any other idempotent call
    milliseconds event_timeout{5'000};     // "event_timeout_ms": from one event of a stream to the next
    milliseconds endpoint_wait{2'000};     // "endpoint_wait_ms": wait while no endpoint is admissible
    milliseconds resolve_timeout{500};     // "resolve_timeout_ms": one question about a lost answer
    int resolve_attempts = 3;              // "resolve_attempts": while the agent does not reply
    int attempts = 6;                      // "attempts": of one call, the first one included
    std::size_t max_response_bytes = 8U << 20U; // "answer_bytes": largest answer that is not a stream
    routing_settings routing;                   // "routing"
    claim_settings claims;                      // "claims"
};

[[nodiscard]] auto read_call_settings(settings_reader reader) -> call_settings;

} // namespace hibiscuswall
