#pragma once
// One caller's call from its admission to its answer: attempts, claims, relay, retries, refusals.
//
//   auto run = call_run{services, call, out};
//   co_await run.run();                         // the caller has its answer, or is gone
//
// Logs and events are written by plain functions: GCC 12 destroys the temporaries of a braced list inside a
// coroutine twice.

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
    enum class attempt_end {
        done,    // the caller has its answer, or is gone
        not_run, // refused, or no byte left; last_ says why
        lost,    // may have run; last_ says what was seen
    };
    enum class event_use {
        relay,
        skip,   // the caller has it already
        broken, // the stream cannot go on from here; last_ says why
    };
    struct event_run {
        std::string text;    // events that arrived together and leave in one write
        bool broken = false; // the stream cannot go on after them; last_ says why
        bool done = false;   // the last one ends the stream
    };
    enum class reply {
        not_run, // never seen, and refused should it still arrive
        running,
        answered,
        unknown, // another incarnation, or the agent itself cannot tell
        silent,  // no reply
    };
    struct resolution {
        reply kind = reply::silent;
        std::optional<claim_answer> answer;
    };

    // ---- attempts (call_run.cpp)
    auto next_attempt(config_view const& view, time_point now) -> std::optional<call_attempt>;
    auto wait_for_endpoint(time_point now) -> asio::awaitable<bool>;
    auto note_failed(call_attempt const& attempt, attempt_end end) const -> void;
    auto may_retry(attempt_end end) -> bool;
    auto after(attempt_end end, call_attempt attempt) -> asio::awaitable<bool>;

    // ---- sending and relaying (call_send.cpp)
    auto send(call_attempt attempt, config_view_ptr view) -> asio::awaitable<attempt_end>;
    auto read_refusal(call_attempt attempt, forward_answer told, std::unique_ptr<http_stream> answer)
        -> asio::awaitable<attempt_end>;
    auto relay_whole(call_attempt attempt, std::unique_ptr<http_stream> answer)
        -> asio::awaitable<attempt_end>;
    auto relay_events(call_attempt attempt, std::unique_ptr<http_stream> answer)
        -> asio::awaitable<attempt_end>;
    auto take_events(std::span<stream_event const> events) -> event_run;
    auto judge_event(stream_event const& event) -> event_use;
    auto note_forwarded(call_attempt const& attempt) const -> void;
    auto note_foreign(call_attempt const& attempt, http_headers const& headers) const -> void;
    auto stream_cut(call_attempt const& attempt, error problem) -> attempt_end;
    [[nodiscard]] auto attempt_options(time_point now) const -> http_call_options;

    // ---- claims and lost answers (call_claim.cpp)
    auto take_claim(call_attempt attempt) -> asio::awaitable<bool>;
    auto look_at(claim held) -> asio::awaitable<bool>;
    auto resolve(std::string host, std::string where, std::string call_id, std::uint64_t incarnation,
                 milliseconds age) -> asio::awaitable<resolution>;
    auto note_resolved(std::string const& host, std::string const& call_id, std::string const& state) const
        -> void;
    auto settle_lost(call_attempt attempt) -> asio::awaitable<attempt_end>;
    auto end_claim(std::string call_id, claim_state end, std::optional<claim_answer> answer) -> void;

    // ---- answers to the caller (call_answer.cpp)
    auto deliver(int status, http_headers headers, std::string body) -> asio::awaitable<void>;
    auto replay(claim_answer answer, std::string call_id) -> asio::awaitable<void>;
    auto close_cancelled() -> asio::awaitable<void>;
    auto refuse(error problem) -> asio::awaitable<void>;
    auto note_result(std::string_view result) const -> void;
    auto note_refusal(error const& problem, ran outcome) const -> void;
    auto refuse_as(error problem, ran outcome) -> asio::awaitable<void>;

    std::shared_ptr<call_services> services_;
    caller_call call_;
    http_responder& out_;
    call_machine machine_;
    caller_watch_ptr watch_;
    error last_;                            // why the last attempt failed
    long long retry_after_s_ = 0;           // as told by the last refusal
    int attempts_ = 0;                      // sent or about to be
    std::string claim_id_;                  // call_id of the claim that this call holds or may replace
    time_point started_at_;                 // arrival
    std::optional<time_point> waits_until_; // for an admissible endpoint

    // ---- streams
    bool streaming_ = false;        // the caller has the header
    long long last_event_ = -1;     // id of the last event that the caller has; -1: none
    std::string stream_id_;         // attempt id of the stream, kept when it is resumed
    std::set<std::string> resumed_; // agents whose cut stream was asked for again
    std::string weights_version_;   // pinned by the first header
};

} // namespace hibiscuswall
