#pragma once
// Settings for the calls of an entry ("calls" in its settings file), including routing and claims.

#include "hibiscuswall/calls/claim_store.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/routing/routing_settings.hpp"

namespace hibiscuswall {

struct call_settings {
    // "default_timeout_ms": deadline of calls without X-Request-Timeout-Ms
    milliseconds default_timeout{60'000};
    // "longest_timeout_ms": limit for the timeouts that callers request
    milliseconds max_timeout{600'000};
    // "connect_timeout_ms": limit for connecting to an agent
    milliseconds connect_timeout{500};
    // "status_timeout_ms": limit for one attempt of an idempotent status call
    milliseconds status_timeout{1'000};
    // "answer_timeout_ms": limit for one attempt of another idempotent call
    milliseconds response_timeout{20'000};
    // "event_timeout_ms": limit between two pieces of a stream after the first event
    milliseconds event_timeout{5'000};
    // "endpoint_wait_ms": how long a call waits while no endpoint is admissible
    milliseconds endpoint_wait_timeout{2'000};
    // "resolve_timeout_ms": limit for one call.resolve or probe request
    milliseconds resolve_timeout{500};
    // "resolve_attempts": call.resolve requests sent to an agent that does not respond
    int max_resolve_attempts = 3;
    // "attempts": attempts of one call, including the first
    int max_attempts = 6;
    // "answer_bytes": maximum size of a response that is not streamed
    std::size_t max_response_bytes = 8U << 20U;
    // "routing"
    routing_settings routing;
    // "claims"
    claim_settings claims;
};

[[nodiscard]] auto read_call_settings(settings_reader reader) -> call_settings;

} // namespace hibiscuswall
