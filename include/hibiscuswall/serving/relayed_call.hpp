#pragma once
// State of one request that an entry relays, and the outcomes of sending it to an endpoint.

#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/http/http_router.hpp"
#include "hibiscuswall/serving/endpoint_connection.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/event_splitter.hpp"
#include "hibiscuswall/serving/prompt_quarantine.hpp"
#include "hibiscuswall/serving/response_memory.hpp"
#include "hibiscuswall/serving/service_map.hpp"
#include "hibiscuswall/serving/stream_takeover.hpp"
#include "hibiscuswall/serving/wait_queue.hpp"
#include "platform/call_headers.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace hibiscuswall {

// ---- outcomes of one send

struct send_not_sent { // no byte of the request was sent
    std::string reason;
};

struct send_withheld { // the endpoint stopped accepting calls after it was chosen; nothing was sent
};

struct send_rejected { // the endpoint responded that it did not run the call
    int status = 503;
};

struct send_failed {    // the call may have run; the caller has received no part of a response
    std::string reason; // for the log and the error response; "silent", "late" and "cut" are fixed values
    // The connection had carried earlier calls and ended before a byte of the response: the endpoint may have
    // closed it as idle at the moment at which the call was sent.
    bool lost_kept_connection = false;
};

struct send_responded { // complete response, not delivered to the caller yet
    int status = 200;
    http_headers headers;
    std::string body;
};

struct send_streamed { // all events and the end of the stream were sent to the caller
};

struct send_interrupted { // events were sent to the caller, then the endpoint's stream broke off
    std::string reason;
};

using send_outcome = std::variant<send_not_sent, send_withheld, send_rejected, send_failed, send_responded,
                                  send_streamed, send_interrupted>;

// ---- the call

// What one configuration says about a call. Replaced as a whole: the pointers are valid as long as its map.
struct route_match {
    service_map_ptr map;                         // the configuration
    call_route const* route = nullptr;           // in map
    client_account const* account = nullptr;     // in map; null if the call needs no account
    service_definition const* service = nullptr; // in map
};

struct relayed_call : route_match {
    http_request const& request;  // as received from the caller
    http_responder& out;          // response to the caller
    platform::call_fields fields; // decoded headers
    time_point arrived_at;        // the first bytes reached this host
    time_point read_at;           // this process has read the complete request
    time_point deadline;          // latest time for the final response

    std::set<std::string> tried_endpoints; // ids of endpoints that must not get the call again
    // Of them, those that did not take a stream that has begun, but may do so later, and when to ask again.
    std::map<std::string, time_point> ask_again_at;
    // Id of the one that may have closed a kept connection as idle, or empty. It may get the call on a new
    // connection if no other endpoint may.
    std::string endpoint_to_reconnect;
    bool needs_new_connection = false; // a kept connection was lost, others may be about to close as well
    int send_count = 0;                // send attempts for which a connection to an endpoint was available
    int run_count = 0;                 // sends that ran or may have run
    bool response_started = false;     // the response header was sent to the caller
    event_splitter events;             // events of the stream, across all endpoints that served it
    // Error response of an endpoint, delivered if no retry succeeds.
    std::optional<send_responded> fallback_response;
    time_point first_event_at;        // zero if there is none yet
    time_point last_event_at;         // zero if there is none yet
    clock::duration max_event_gap{0}; // longest time between two events

    // ---- waiting for an endpoint
    bool shed = false; // the call is among those to be shed; it is sent only if enough slots are free
    bool is_counted_as_demand = false; // an endpoint was searched for before
    std::optional<bool> is_taken;      // decided once, where all endpoints limit their calls
    waiter queue_entry;                // priority and deadline in the wait queue
    clock_timer* wait_timer = nullptr; // cancelled to end the wait early; null while not waiting
    milliseconds wait_duration{0};     // total time spent waiting

    // ---- the current send
    std::optional<call_permit> permit;      // to send to an endpoint that limits the rate of calls
    endpoint_ptr endpoint;                  // endpoint with a slot reserved for the call, or null
    endpoint_connection_ptr connection;     // null if the call is not being sent
    int unprocessed_prompt_tokens = 0;      // prompt tokens counted at the endpoint until the first event
    time_point sent_at;                     // start of sending the request
    time_point last_progress_at;            // the header, an event, or a part of a plain body arrived
    std::size_t body_bytes_at_progress = 0; // of a plain body, at last_progress_at
    bool waits_for_caller = false;          // events are being written to the caller
    bool closed_as_stalled = false;         // connection closed because the endpoint stalled
    bool seeks_replacement = false;         // stalled; stays at its endpoint until another can take it
    endpoint_ptr replacement; // slot reserved for the next send, its retry spent from the budget; or null
    time_point replacement_state_at; // when an operator change was last applied before the reservation
    // Connection closed to move a stream that has not begun from an engine that changes its weights.
    bool closed_as_moved = false;
    bool moved = false; // from an engine that changes its weights, at most once per call

    // ---- moving a stream that has begun, see serving/stream_takeover
    stream_takeover_ptr takeover; // under way, or null
    std::string held_events;      // complete events of the present endpoint that the caller does not have yet
    std::string taken_events;     // first events of the endpoint that has taken the stream, to be passed on
    int stopped_takeovers = 0;    // without success
    time_point next_takeover_at;  // not before
    bool stays_if_sound = false;  // leaves its endpoint only if that falls silent
    int rejected_resumes = 0;     // in a row

    bool caller_disconnected = false; // the caller has closed its connection
    bool ended_by_stop = false;       // this entry stops and ends the call
    std::string end_reason;           // why it ended, as in the log line call_ended

    // ---- segments that may crash engines, see serving/prompt_quarantine
    std::optional<shared_prompt> prompt;     // decoded once it is needed
    suspicion suspicion_when_sent;           // of the prompt's segments, at the current send
    std::vector<std::string> trial_segments; // the call is on trial for these
    std::size_t events_when_sent = 0;        // events.count() at the current send
    bool past_beginning = false; // the current response has got past its beginning: its engine survived it
    bool recalled = false;       // connection closed because the prompt was quarantined after the send

    response_memory::share memory; // what the call holds of responses

    relayed_call(http_request const& from_caller, http_responder& towards_caller, response_memory& responses)
        : request{from_caller}, out{towards_caller}, memory{responses}
    {
    }

    // Records that the call holds so many bytes of the current response, besides an earlier one that it may
    // deliver. False if this process must not hold as much.
    [[nodiscard]] auto hold(std::size_t bytes) -> bool
    {
        return memory.hold(bytes + (fallback_response ? fallback_response->body.size() : 0));
    }

    // Called once the endpoint has processed the prompt, or the send has ended.
    auto on_prompt_processed() -> void
    {
        endpoint->unprocessed_prompt_tokens -= std::exchange(unprocessed_prompt_tokens, 0);
    }

    // Whether the call may run once more after this number of runs. Events that have reached the caller must
    // be continued, not repeated.
    [[nodiscard]] auto may_run_after(int runs) const -> bool
    {
        if (response_started && !events.can_resume()) return false;
        return route->is_retryable() && runs < route->max_attempts;
    }
    [[nodiscard]] auto may_run_again() const -> bool { return may_run_after(run_count); }
    [[nodiscard]] auto is_stream() const -> bool { return route->kind == call_kind::stream; }

    [[nodiscard]] auto is_taken_over() const -> bool
    {
        return takeover != nullptr && takeover->state == takeover_state::taken;
    }

    // Whether the caller has a part of the stream, and another endpoint may still continue it.
    [[nodiscard]] auto can_still_resume(time_point now) const -> bool
    {
        return response_started && may_run_again() && now < deadline && !caller_disconnected &&
               !ended_by_stop;
    }
};

} // namespace hibiscuswall
