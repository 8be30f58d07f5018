#pragma once
// Decides when an endpoint that does not answer is given up so that the call can go on elsewhere.
//
//   if (is_silent(call, settings, now)) call.link->close();
//
// A call that must not run twice is never given up: its answer may still come.

#include "hibiscuswall/serving/relayed_call.hpp"

namespace hibiscuswall {

struct silence_settings {
    milliseconds plain_answer{250};  // idempotent call to a plain service
    milliseconds first_event{800};   // stream, no event yet
    milliseconds next_event{1'200};  // stream, since its last event
    milliseconds lost_engine{350};   // the same two, when the engine's agent is not heard either
    milliseconds move_after{700};    // from an engine's pause until its streams go on elsewhere
    milliseconds news_lifetime{700}; // an agent is not heard when its news is older
};

// Whether a running stream goes on elsewhere because its engine changes its weights: the engine can do so
// only when its last stream has ended, and most of its places are idle by then.
[[nodiscard]] auto is_to_move(relayed_call const& call, silence_settings const& settings, time_point now)
    -> bool;

[[nodiscard]] auto is_silent(relayed_call const& call, silence_settings const& settings, time_point now)
    -> bool;

} // namespace hibiscuswall
