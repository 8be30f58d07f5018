#pragma once
// Relays requests from the entry's HTTP server to endpoints, and their responses back to the callers.
//
//   auto relay = call_relay{io, declared, endpoints, quarantine, random, metrics_registry, region, settings};
//   routes.add("*", "/", [&](auto const& request, auto& out) { return relay.serve(request, out); });
//   asio::co_spawn(io, relay.run_maintenance(), asio::detached);
//
// Every request gets one response: the endpoint's, unchanged; or a rejection (503: the call was not run and
// never will be); or 502 or 504 if the call may have run. If a response breaks off midway, the caller's
// connection is closed.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/observe/metrics.hpp"
#include "hibiscuswall/serving/load_shedder.hpp"
#include "hibiscuswall/serving/placement.hpp"
#include "hibiscuswall/serving/priority_admission.hpp"
#include "hibiscuswall/serving/relayed_call.hpp"
#include "hibiscuswall/serving/retry_schedule.hpp"
#include "hibiscuswall/serving/stall_detection.hpp"
#include "hibiscuswall/serving/window_retry_budget.hpp"

#include <map>
#include <set>
#include <string>

namespace hibiscuswall {

struct relay_settings {
    placement_settings placement;
    window_retry_budget_settings retry_limits;
    stall_settings stalls;
    wait_settings waiting;
    shedding_settings shedding;
    milliseconds connect_timeout{300}; // for a connection to an endpoint
    milliseconds idle_timeout{4'000};  // of a pooled connection if the endpoint sends no Keep-Alive timeout
    std::size_t max_response_bytes = 4U << 20U; // of a response that is not a stream
    response_memory_settings responses;         // of all calls together
    // A rejection ends a call that has not begun once it has been sent this many times in total.
    int max_rejected_sends = 3;
};

class call_relay {
public:
    call_relay(asio::io_context& io, declared_state& declared, endpoint_table& endpoints,
               prompt_quarantine& quarantine, random_source& random, metrics& metrics_registry,
               std::string region, relay_settings const& settings);

    auto serve(http_request const& request, http_responder& out) -> asio::awaitable<void>;

    // Sends waiting calls to endpoints that have become free. Called after each load report, and after calls
    // to an endpoint with a rate limit were granted.
    auto on_load_report() -> void { dispatch_waiting(); }

    // Sets the callback that runs after this entry has observed something that changes the quarantine.
    auto on_crash_evidence(std::function<void()> callback) -> void
    {
        on_crash_evidence_ = std::move(callback);
    }

    // Periodic work: closes stalled sends, moves streams from paused engines, dispatches waiting calls,
    // updates load shedders, removes expired records and connections, and assigns preferred entries. Runs
    // until the io_context stops.
    auto run_maintenance() -> asio::awaitable<void>;

    // Sets the number of entries that share the retry budget of each service.
    auto set_entry_count(int entries) -> void;

    // A planned stop begins: a call that begins from now on ends at this time at the latest, and its endpoint
    // is told so.
    auto limit_deadlines(time_point latest) -> void { latest_deadline_ = latest; }

    // Ends all calls: those that were never sent are rejected, the others get 502 or 504, and the endpoints'
    // connections are closed.
    auto end_all(time_point now) -> void;

    // Highest shed level of any service: the fraction of its callers that is shed.
    [[nodiscard]] auto shed_level() const -> double;

    [[nodiscard]] auto active() const -> std::size_t { return active_.size(); }
    [[nodiscard]] auto waiting() const -> std::size_t { return wait_queue_.size(); }

private:
    struct registered_call;

    // ---- call_relay.cpp
    auto look_up(relayed_call& call) -> result<void>;
    auto find_match(relayed_call const& call, route_match& match) -> result<void>;
    auto choose_service(route_match& match) -> result<void>;
    auto run(relayed_call& call) -> asio::awaitable<void>;
    auto record_send_outcome(relayed_call const& call, tracked_endpoint& endpoint,
                             send_outcome const& outcome) -> void;
    auto end_unroutable_call(relayed_call& call, error why) -> asio::awaitable<void>;
    auto handle_outcome(relayed_call& call, send_outcome outcome) -> asio::awaitable<bool>;
    auto handle_response(relayed_call& call, send_responded response) -> asio::awaitable<bool>;
    auto deliver(relayed_call& call, send_responded response) -> asio::awaitable<void>;
    auto reject(relayed_call& call, error why, milliseconds retry_after) -> asio::awaitable<void>;
    auto end_without_retry(relayed_call& call, result_code code, std::string reason, milliseconds retry_after)
        -> asio::awaitable<void>;
    auto retry_budget_for(std::string const& service) -> window_retry_budget&;

    // ---- call_endpoint.cpp
    [[nodiscard]] auto placement_request(relayed_call const& call, time_point now) const -> placement_call;
    auto next_endpoint(relayed_call& call) -> placement;
    [[nodiscard]] auto should_wait_to_resume(relayed_call const& call, time_point now) const -> bool;
    static auto remember_unwilling_endpoint(relayed_call& call, tracked_endpoint const& endpoint,
                                            send_outcome const& outcome, time_point now) -> void;
    static auto remember_lost_connection(relayed_call& call, tracked_endpoint const& endpoint,
                                         send_outcome const& outcome) -> void;

    // ---- call_log.cpp
    auto record_end(relayed_call& call, std::string_view outcome, int status, std::string_view reason)
        -> void;
    auto log_incomplete(relayed_call const& call, std::string_view reason) -> void;
    auto log_moved(relayed_call const& call, std::string_view reason, endpoint_record const& to) -> void;
    auto log_takeover_stopped(relayed_call const& call, stream_takeover const& takeover,
                              std::string_view reason) -> void;
    auto log_rejected_resume(relayed_call const& call, endpoint_record const& by, int status) -> void;

    // ---- call_limits.cpp
    [[nodiscard]] auto priority_of(relayed_call const& call) const -> int;
    auto admit_by_priority(relayed_call& call, placement decision, time_point now) -> placement;
    auto retry_after(relayed_call const& call, rejected const& rejection, time_point now) -> milliseconds;
    auto may_be_written(tracked_endpoint& endpoint, std::optional<call_permit> permit, time_point now)
        -> bool;
    auto record_announcements(relayed_call const& call, tracked_endpoint& endpoint, time_point sent_at,
                              class endpoint_response_parser const& parser, time_point now) -> void;

    // ---- call_waiting.cpp
    auto find_endpoint_or_wait(relayed_call& call) -> asio::awaitable<placement>;
    auto set_queue_entry(relayed_call& call, time_point now) -> void;
    auto wait_for_slot(relayed_call& call) -> asio::awaitable<void>;
    auto pause(relayed_call& call, time_point until) -> asio::awaitable<void>;
    auto pause_before_resuming(relayed_call& call) -> asio::awaitable<void>;
    auto dispatch_waiting() -> void;
    auto reserve_slot(relayed_call& call, endpoint_ptr const& endpoint) -> void;
    auto assign_endpoint(relayed_call& call, endpoint_ptr const& endpoint) -> void;
    auto release_slot(relayed_call& call) -> void;

    // ---- call_takeover.cpp
    auto begin_takeover(relayed_call& call, endpoint_ptr const& to, time_point now) -> void;
    auto run_takeover(relayed_call& call, stream_takeover_ptr takeover) -> asio::awaitable<void>;
    auto write_resume_request(relayed_call& call, stream_takeover& takeover) -> asio::awaitable<bool>;
    auto on_resume_response(relayed_call& call, stream_takeover& takeover) -> void;
    auto on_taken(relayed_call& call, stream_takeover& takeover) -> void;
    auto stop_takeover(relayed_call& call, std::string_view reason) -> void;
    auto check_takeover(relayed_call& call, time_point now) -> void;
    auto send_and_follow(relayed_call& call) -> asio::awaitable<send_outcome>;
    auto await_takeover(relayed_call& call) -> asio::awaitable<void>;
    auto leave_endpoint(relayed_call& call, send_outcome const& outcome) -> void;
    auto relay_taken_stream(relayed_call& call) -> asio::awaitable<send_outcome>;
    auto write_to_caller(relayed_call& call, std::string_view events) -> asio::awaitable<bool>;
    static auto holds_events(relayed_call const& call) -> bool;
    auto pass_on(relayed_call& call, std::string_view events, bool are_held) -> asio::awaitable<bool>;
    auto pass_on_held_events(relayed_call& call) -> asio::awaitable<bool>;

    // ---- call_replacement.cpp
    auto check_progress(relayed_call& call, time_point now) -> void;
    auto seek_replacement(relayed_call& call) -> void;
    auto stop_seeking_replacement(relayed_call& call) -> void;
    auto renew_match(relayed_call& call) -> bool;
    auto place_elsewhere(relayed_call& call) -> placement;
    [[nodiscard]] auto is_worth_asking(relayed_call const& call, tracked_endpoint const& endpoint) const
        -> bool;
    auto reserve_replacement(relayed_call& call, time_point now) -> bool;
    auto take_replacement(relayed_call& call) -> bool;

    // ---- call_quarantine.cpp
    auto prompt_of(relayed_call& call) -> shared_prompt const&;
    [[nodiscard]] auto goes_to_engine(relayed_call const& call) const -> bool;
    auto must_decide_again(relayed_call& call, time_point now) -> bool;
    auto is_tried_one_at_a_time(relayed_call& call) -> bool;
    auto end_if_quarantined(relayed_call& call) -> asio::awaitable<bool>;
    auto end_quarantined(relayed_call& call, std::string segments) -> asio::awaitable<void>;
    auto end_held(relayed_call& call, milliseconds retry_after) -> asio::awaitable<void>;
    auto end_trial(relayed_call& call) -> void;
    auto remember_suspicion(relayed_call& call) -> void;
    auto record_prompt_progress(relayed_call& call, bool is_complete) -> void;
    auto end_after_lost_connection(relayed_call& call, endpoint_ptr endpoint, send_outcome const& outcome)
        -> asio::awaitable<bool>;
    auto record_crash(std::string call_id, crash_suspect suspect, endpoint_record record)
        -> asio::awaitable<void>;
    auto recall_if_quarantined(relayed_call& call, time_point now) -> void;
    auto log_quarantine_changes(time_point now) -> void;

    // ---- call_shedding.cpp
    auto select_endpoint(relayed_call& call) -> asio::awaitable<placement>;
    auto shedder_for(std::string const& service) -> load_shedder&;
    auto set_shed_decision(relayed_call& call) -> void;
    auto update_shedders(time_point now) -> void;
    auto log_shedding_change(std::string const& service, double level) -> void;
    auto has_headroom(placed const& found) const -> bool;
    auto record_unshed_call(relayed_call const& call, placement const& decision) -> void;

    // ---- endpoint_send.cpp
    auto connect(endpoint_record record, bool may_be_kept, time_point deadline)
        -> asio::awaitable<endpoint_connection_ptr>;
    auto request_to(relayed_call const& call, tracked_endpoint const& endpoint, time_point now)
        -> std::string;
    auto send(relayed_call& call) -> asio::awaitable<send_outcome>;
    auto exchange(relayed_call& call) -> asio::awaitable<send_outcome>;
    auto read_response(relayed_call& call, class endpoint_response_parser& parser)
        -> asio::awaitable<send_outcome>;
    auto relay_events(relayed_call& call, class endpoint_response_parser& parser)
        -> asio::awaitable<send_outcome>;
    auto begin_stream(relayed_call& call, class endpoint_response_parser& parser) -> asio::awaitable<bool>;
    auto return_connection(relayed_call& call, class endpoint_response_parser& parser) -> void;

    asio::io_context& io_;
    std::string region_; // region of this entry
    declared_state& declared_state_;
    endpoint_table& endpoints_;
    prompt_quarantine& quarantine_;
    random_source& random_;
    metrics& metrics_registry_;
    relay_settings settings_;
    endpoint_pool pool_;
    response_memory responses_;
    std::map<std::string, load_shedder> shedders_; // by service
    std::set<std::string> shedding_;               // services whose shedding has been logged as begun
    std::map<std::string, window_retry_budget, std::less<>> budgets_; // by service
    std::map<std::string, priority_admission> admissions_;            // by service
    std::map<std::string, retry_schedule> retry_schedules_;           // by service
    std::set<relayed_call*> active_;
    time_point latest_deadline_ = time_point::max(); // of calls that begin
    wait_queue wait_queue_;
    wait_queue replacement_queue_;                   // calls at stalled endpoints that seek another one
    std::map<waiter*, relayed_call*> waiting_calls_; // calls in the wait queue
    std::function<void()> on_crash_evidence_;
    std::set<std::pair<std::string, std::string>> logged_quarantine_; // model and segment
};

} // namespace hibiscuswall
