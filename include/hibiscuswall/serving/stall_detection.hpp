#pragma once
// Detects endpoints that do not respond, so that their calls can be retried at another endpoint.
//
//   if (has_stalled(call, settings, now)) seek_replacement(call);
//
// A sound endpoint may be silent for a while too, so a stalled call stays where it is until another endpoint
// can take it.
//
// A call that must not run again (not retryable, or at max_attempts) never counts as stalled: its response
// may still arrive. Progress is a response header, a complete event, or a kilobyte of a plain body: bytes
// that trickle in without completing anything do not keep a call at an endpoint.

#include "hibiscuswall/serving/relayed_call.hpp"

namespace hibiscuswall {

struct stall_settings {
    milliseconds plain_response_timeout{250}; // retryable call that is not a stream
    milliseconds first_event_timeout{800};    // stream without a response header yet
    milliseconds event_gap_timeout{1'200};    // stream, since its header or latest complete event
    // Replaces both stream limits once the latest load report is older than load_report_lifetime.
    milliseconds unreachable_engine_timeout{350};
    milliseconds move_delay{700};           // from an engine's pause until its streams are moved
    milliseconds load_report_lifetime{700}; // an agent with an older load report counts as unreachable
};

// Whether a running stream should resume at another engine because its engine changes its weights. The engine
// can change them only after its last stream has ended, and most of its slots are idle until then.
[[nodiscard]] auto should_move(relayed_call const& call, stall_settings const& settings, time_point now)
    -> bool;

[[nodiscard]] auto has_stalled(relayed_call const& call, stall_settings const& settings, time_point now)
    -> bool;

} // namespace hibiscuswall
