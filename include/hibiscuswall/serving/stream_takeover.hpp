#pragma once
// Moves a stream that has begun to another endpoint, and leaves the present one only after that.
//
// The other endpoint is asked to resume the stream while the present one goes on. What the present one sends
// from then on is held back, because the other one continues after the last event that the caller has.
// - The other endpoint sends an event: it has taken the stream. The held events are dropped, and the
//   connection to the present endpoint is closed.
// - It rejects the call, fails, or sends no event until the caller would notice the pause: the held events
// are
//   passed on, and the stream stays where it is.
//
//   relay: begin_takeover() -> run_takeover() -> relay_taken_stream() or stop_takeover()

#include "hibiscuswall/serving/endpoint_connection.hpp"
#include "hibiscuswall/serving/endpoint_response_parser.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/event_splitter.hpp"
#include "hibiscuswall/serving/prompt_quarantine.hpp"
#include "hibiscuswall/serving/service_map.hpp"

#include <memory>
#include <optional>
#include <string>

namespace hibiscuswall {

enum class takeover_state {
    connecting, // events of the present endpoint are passed on
    asked,      // the request is on its way; events of the present endpoint are held back
    taken,      // the first event has arrived
    stopped,    // the stream stays with its present endpoint, or has ended
};

struct stream_takeover {
    takeover_state state = takeover_state::connecting;
    endpoint_ptr endpoint;              // to resume at; a slot is reserved for the stream
    std::optional<call_permit> permit;  // to send to it, if it limits the rate of calls
    bool from_silent = false;           // the present endpoint is silent; else its engine changes its weights
    endpoint_connection_ptr connection; // to it; null while connecting
    endpoint_response_parser parser{false}; // its response
    bool is_recorded = false;               // what its head says about the endpoint
    int unprocessed_prompt_tokens = 0;      // counted at it until its first event
    time_point asked_at;                    // start of sending the request
    time_point hold_until;                  // events of the present endpoint are passed on then at the latest
    event_splitter events;                  // those that the caller has, and then those of the other endpoint
    std::size_t events_when_asked = 0;      // events.count() at asked_at
    std::string first_events;               // once taken: its events, not passed on yet
    suspicion suspicion_when_asked;         // of the prompt's segments
};

// How long after the caller's latest event the events of the present endpoint may be held back.
[[nodiscard]] auto max_hold_time(call_route const& route) -> milliseconds;

using stream_takeover_ptr = std::shared_ptr<stream_takeover>;

} // namespace hibiscuswall
