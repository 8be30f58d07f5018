#pragma once
// Handles one call of a caller from its acceptance to its response: attempts, claims, relaying, retries and
// errors.
//
//   auto run = call_run{services, call, out};
//   co_await run.run();                         // the caller has its response or has disconnected
//
// Log lines and events are written by plain functions, since GCC 12 destroys the temporaries of a braced list
// inside a coroutine twice.

#include "call_services.hpp"
#include "caller_cancellation.hpp"

#include "hibiscuswall/calls/event_parser.hpp"
#include "hibiscuswall/calls/forward_response.hpp"
#include "hibiscuswall/lifecycle/call_machine.hpp"

namespace hibiscuswall {

class call_run {
public:
    call_run(std::shared_ptr<call_services> services, caller_call call, http_responder& out);

    auto run() -> asio::awaitable<void>;

private:
    enum class attempt_result {
        done,          // The caller has its response or has disconnected.
        not_run,       // The agent rejected it or no byte was sent; last_error_ holds the reason.
        response_lost, // It may have run; last_error_ holds the failure.
    };
    enum class event_action {
        relay,
        skip,        // The caller has already received it.
        interrupted, // The stream cannot continue with this event; last_error_ holds the reason.
    };
    struct event_batch {
        std::string text;         // Events that arrived together and are relayed in one write.
        bool interrupted = false; // The stream cannot continue after them; last_error_ holds the reason.
        bool done = false;        // The last event ends the stream.
    };
    enum class resolution_state {
        not_run, // The agent has not run it and rejects it if it still arrives.
        running,
        answered,
        unknown,     // The agent has another incarnation or has no record of the call.
        no_response, // The agent did not respond.
    };
    struct resolution {
        resolution_state state = resolution_state::no_response;
        std::optional<claim_response> response;
    };

    // ---- attempts (call_run.cpp)
    auto next_attempt(config_view const& view, time_point now) -> std::optional<call_attempt>;
    auto wait_for_endpoint(time_point now) -> asio::awaitable<bool>;
    auto record_failed_attempt(call_attempt const& attempt, attempt_result result) const -> void;
    auto may_retry(attempt_result result) -> bool;
    auto finish_attempt(attempt_result result, call_attempt attempt) -> asio::awaitable<bool>;

    // ---- sending and relaying (call_send.cpp)
    auto send(call_attempt attempt, config_view_ptr view) -> asio::awaitable<attempt_result>;
    auto read_error_response(call_attempt attempt, forward_response response,
                             std::unique_ptr<http_stream> stream) -> asio::awaitable<attempt_result>;
    auto relay_buffered(call_attempt attempt, std::unique_ptr<http_stream> stream)
        -> asio::awaitable<attempt_result>;
    auto relay_events(call_attempt attempt, std::unique_ptr<http_stream> stream)
        -> asio::awaitable<attempt_result>;
    auto collect_events(std::span<stream_event const> events) -> event_batch;
    auto classify_event(stream_event const& event) -> event_action;
    auto record_forwarded(call_attempt const& attempt) const -> void;
    auto record_dropped_response(call_attempt const& attempt, http_headers const& headers) const -> void;
    auto on_stream_interrupted(call_attempt const& attempt, error problem) -> attempt_result;
    [[nodiscard]] auto attempt_options(time_point now) const -> http_call_options;

    // ---- claims and lost responses (call_claim.cpp)
    auto acquire_claim(call_attempt attempt) -> asio::awaitable<bool>;
    auto resolve_existing_claim(claim existing) -> asio::awaitable<bool>;
    auto resolve(std::string host, std::string where, std::string call_id, std::uint64_t incarnation,
                 milliseconds age) -> asio::awaitable<resolution>;
    auto record_resolution(std::string const& host, std::string const& call_id,
                           std::string const& state) const -> void;
    auto resolve_lost_response(call_attempt attempt) -> asio::awaitable<attempt_result>;
    auto finish_claim_in_background(std::string call_id, claim_state final_state,
                                    std::optional<claim_response> response) -> void;

    // ---- responses to the caller (call_response.cpp)
    auto send_response(int status, http_headers headers, std::string body) -> asio::awaitable<void>;
    auto replay(claim_response stored, std::string call_id) -> asio::awaitable<void>;
    auto finish_cancelled() -> asio::awaitable<void>;
    auto send_error(error problem) -> asio::awaitable<void>;
    auto count_result(std::string_view result) const -> void;
    auto record_error(error const& problem, ran outcome) const -> void;
    auto send_error_with_outcome(error problem, ran outcome) -> asio::awaitable<void>;

    std::shared_ptr<call_services> services_;
    caller_call call_;
    http_responder& out_;
    call_machine machine_;
    caller_cancellation_ptr cancellation_;
    error last_error_;            // Why the last attempt failed.
    long long retry_after_s_ = 0; // Retry-After of the last error response; 0: absent.
    int attempts_ = 0;            // Attempts that were sent or are about to be.
    std::string claim_call_id_;   // call_id of the claim that this call holds or may replace; empty: none.
    time_point arrived_at_;
    // End of the wait for an admissible endpoint; none: not waiting.
    std::optional<time_point> endpoint_wait_until_;

    // ---- streams
    bool streaming_ = false;              // The response header was sent to the caller.
    long long last_event_id_ = -1;        // id of the last event relayed to the caller; -1: none.
    std::string stream_attempt_id_;       // Attempt id of the stream; a resume uses it again.
    std::set<std::string> resumed_hosts_; // Agents that were asked to resume an interrupted stream.
    std::string weights_version_;         // From the first header; a resume must have the same.
};

} // namespace hibiscuswall
