#pragma once
// One caller's request on its way through an entry, and what came of each send to an endpoint.

#include "hibiscuswall/http/http_router.hpp"
#include "hibiscuswall/serving/endpoint_connection.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/event_splitter.hpp"
#include "hibiscuswall/serving/service_map.hpp"
#include "hibiscuswall/serving/wait_queue.hpp"
#include "platform/call_headers.hpp"

#include <boost/asio/steady_timer.hpp>

#include <set>
#include <string>
#include <utility>
#include <variant>

namespace hibiscuswall {

// ---- outcome of one send

struct send_unsent { // no byte of the request left this process
    std::string reason;
};

struct send_refused { // the endpoint says that it did not run the call
    int status = 503;
};

struct send_failed { // the call may have run; nothing of an answer went to the caller
    std::string reason;
};

struct send_answered { // whole answer, not yet delivered
    int status = 200;
    http_headers headers;
    std::string body;
};

struct send_streamed { // every event and the end went to the caller
};

struct send_interrupted { // events went to the caller, then the endpoint broke off
    std::string reason;
};

using send_outcome =
    std::variant<send_unsent, send_refused, send_failed, send_answered, send_streamed, send_interrupted>;

// ---- the call

struct relayed_call {
    http_request const& request;             // as the caller sent it
    http_responder& out;                     // towards the caller
    platform::call_fields fields;            // decoded headers
    service_map_ptr map;                     // configuration in force when it was last looked up
    call_route const* route = nullptr;       // in map
    client_account const* account = nullptr; // in map; null: none needed
    service_entry const* service = nullptr;  // in map
    time_point arrived;                      // first bytes reached this machine
    time_point read;                         // whole request read by this process
    time_point deadline;                     // final answer at the latest

    std::set<std::string> tried;        // ids of endpoints that are not asked again
    int arrivals = 0;                   // sends that reached an endpoint
    int runs = 0;                       // sends that ran or may have run
    bool answering = false;             // the answer's header went to the caller
    event_splitter events;              // of its stream, over all endpoints
    std::optional<send_answered> spare; // an endpoint's failure, delivered if no other send is better
    time_point first_event_at;          // zero: none yet
    time_point last_event_at;           // zero: none yet
    clock::duration longest_gap{0};     // between two events

    // ---- the wait for an endpoint
    bool shed = false;                   // one of those turned away while the endpoints are full
    waiter place;                        // while it waits
    asio::steady_timer* woken = nullptr; // cancelled when an endpoint was found; null: does not wait
    milliseconds waited{0};              // in all

    // ---- the running send
    endpoint_ptr endpoint;    // holds one of its places; null: none
    link_ptr link;            // null: none
    int reading_tokens = 0;   // counted at the endpoint until the first event
    time_point sent_at;       // request left
    time_point last_bytes_at; // last bytes of the answer
    bool abandoned = false;   // given up by the watch of silent endpoints
    bool moved = false;       // taken from an engine that changes its weights
    bool caller_gone = false; // the caller closed its connection

    relayed_call(http_request const& from_caller, http_responder& towards_caller)
        : request{from_caller}, out{towards_caller}
    {
    }

    // The endpoint has read the prompt, or will not.
    auto note_read() -> void { endpoint->reading_tokens -= std::exchange(reading_tokens, 0); }

    [[nodiscard]] auto may_run_again() const -> bool
    {
        return route->may_repeat() && runs < route->max_attempts;
    }
    [[nodiscard]] auto is_stream() const -> bool { return route->kind == call_kind::stream; }
};

} // namespace hibiscuswall
