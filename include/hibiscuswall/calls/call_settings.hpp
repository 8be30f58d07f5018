#pragma once
// Settings for the calls of an entry ("calls" in its settings file), including routing and claims.

#include "hibiscuswall/calls/claim_store.hpp"
#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/routing/routing_settings.hpp"

namespace hibiscuswall {

struct call_settings {
    milliseconds default_timeout{60'000};      // "default_timeout_ms": without X-Request-Timeout-Ms
    milliseconds max_timeout{600'000};         // "longest_timeout_ms": limit for callers' timeouts
    milliseconds connect_timeout{500};         // "connect_timeout_ms": for connections to agents
    milliseconds status_timeout{1'000};        // "status_timeout_ms": per attempt of a status call
    milliseconds response_timeout{20'000};     // "answer_timeout_ms": per attempt of other idempotent calls
    milliseconds event_timeout{5'000};         // "event_timeout_ms": between two events of a stream
    milliseconds endpoint_wait_timeout{2'000}; // "endpoint_wait_ms": for an admissible endpoint
    milliseconds resolve_timeout{500};         // "resolve_timeout_ms": of a call.resolve or probe request
    int max_resolve_attempts = 3;              // "resolve_attempts": call.resolve requests without a response
    int max_attempts = 6;                      // "attempts": per call, including the first attempt
    std::size_t max_response_bytes = 8U << 20U; // "answer_bytes": of responses that are not streamed
    routing_settings routing;                   // "routing"
    claim_settings claims;                      // "claims"
};

[[nodiscard]] auto read_call_settings(settings_reader reader) -> call_settings;

} // namespace hibiscuswall
