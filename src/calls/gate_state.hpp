#pragma once
// State of request_gate, shared by its source files: request_gate.cpp (admission and lifecycle), gate_rpc.cpp
// (JSON-RPC methods), forward_call.cpp (one call to the endpoint) and engine_watch.cpp (the engine's status).
// It is used on the network thread only.

#include "hibiscuswall/admission/admission_controller.hpp"
#include "hibiscuswall/calls/call_registry.hpp"
#include "hibiscuswall/calls/forward_request.hpp"
#include "hibiscuswall/calls/request_gate.hpp"
#include "hibiscuswall/core/rate_knowledge.hpp"
#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/lifecycle/endpoint_machine.hpp"

#include <map>
#include <set>

namespace hibiscuswall {

// A request that waits for its admission decision.
struct waiting_call {
    explicit waiting_call(asio::io_context& io) : timer{io} {}

    clock_timer timer; // Cancelled when the decision is set.
    std::optional<admission_decision> decision;
};

// How a forwarded call ended.
struct call_outcome {
    result_code code = result_code::ok; // ok: the endpoint's response was relayed.
    ran execution = ran::unknown;       // Whether it ran.
    std::string message;                // For operators and callers; not parsed.
    completion_sample sample;           // For the concurrency limit.
    bool relayed = false;               // A response was sent, at least in part.

    // The constructors are needed since GCC 12 destroys an aggregate temporary inside a co_await expression
    // twice.
    call_outcome() = default;
    call_outcome(result_code why, ran has_run, std::string text, completion_sample measured, bool sent)
        : code{why}, execution{has_run}, message{std::move(text)}, sample{measured}, relayed{sent}
    {
    }
};

struct active_forward; // forward_call.cpp

struct request_gate::state : std::enable_shared_from_this<request_gate::state> {
    state(process_context& shared, config_source& source, endpoint_settings endpoint_config,
          admission_settings limits);

    // ---- request_gate.cpp
    auto add_routes() -> void;
    auto check_admission(forward_request const& call) -> result_code;
    auto handle(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto run_admitted(std::uint64_t id, forward_request call, std::string body, http_responder& out)
        -> asio::awaitable<void>;
    auto record_outcome(forward_request const& call, call_outcome const& outcome, clock::duration spent)
        -> void;
    auto wait_for_admission(std::uint64_t id, forward_request call, http_responder& out)
        -> asio::awaitable<admission_decision>;
    auto send_error(http_responder& out, std::string call_id, result_code code, std::string message,
                    ran execution, milliseconds retry_after) -> asio::awaitable<void>;
    auto respond_to_duplicate(http_responder& out, std::string call_id, result_code code)
        -> asio::awaitable<void>;
    auto apply_decisions(admission_controller::decisions const& decisions) -> void;
    auto reject_waiting_calls(result_code reason) -> void;
    auto configuration_changed(config_view const& view) -> void;
    auto add_state_headers(http_headers& headers, std::string_view call_id) const -> void;
    auto transition(endpoint_event event) -> void;
    auto finish_call(std::uint64_t id, completion_sample sample) -> void;
    auto weight_of(std::string const& account) const -> double;
    auto report_request_traffic(request_traffic const& traffic) const -> void
    {
        if (request_traffic_callback) request_traffic_callback(traffic);
    }

    // ---- gate_rpc.cpp
    auto is_own_incarnation(std::uint64_t incarnation) -> bool;
    auto resolve(nlohmann::json const& params) -> result<nlohmann::json>;
    auto status() const -> nlohmann::json;

    // ---- forward_call.cpp
    auto forward(forward_request call, std::string body, http_responder& out)
        -> asio::awaitable<call_outcome>;
    auto cancel_on_disconnect(forward_request const& call, http_responder& out)
        -> std::shared_ptr<active_forward>;
    auto header_mismatch(forward_request const& call, http_headers const& headers) -> std::string;
    auto body_mismatch(forward_request call, std::string_view body) -> asio::awaitable<std::string>;
    auto weights_mismatch(forward_request call, time_point received_at) -> asio::awaitable<std::string>;
    auto relay(forward_request const& call, http_stream& stream, http_responder& out, time_point sent)
        -> asio::awaitable<call_outcome>;
    auto relay_buffered(forward_request const& call, http_stream& stream, http_headers headers,
                        http_responder& out, completion_sample sample) -> asio::awaitable<call_outcome>;
    auto relay_stream(forward_request const& call, http_stream& stream, http_headers headers,
                      http_responder& out, completion_sample sample) -> asio::awaitable<call_outcome>;

    // ---- endpoint_rate.cpp
    auto on_response_head(forward_request const& call, http_headers const& headers, time_point requested_at)
        -> void;
    auto on_status_head(rate_statement const& stated, time_point requested_at) -> void;
    auto on_rate_statement(rate_statement const& stated, time_point requested_at) -> void;
    auto forget_rate_limit() -> void;
    auto apply_rate_limit(std::optional<double> before) -> void;
    auto resume_waiting_calls() -> asio::awaitable<void>;

    // ---- engine_watch.cpp
    auto watch_engine() -> asio::awaitable<void>;
    auto read_engine_status() -> asio::awaitable<void>;
    auto read_engine_status_after(time_point time) -> asio::awaitable<bool>;
    auto is_still_warm() -> asio::awaitable<bool>;
    auto apply_status(engine_status const& found) -> void;
    auto matches_order(engine_status const& found) const -> bool;

    [[nodiscard]] auto is_engine() const -> bool { return endpoint.type == service_type::engine; }

    process_context& context;
    config_source& config;
    endpoint_settings endpoint;
    engine_client engine;
    admission_controller admission;
    call_registry registry{call_registry_settings{}};
    endpoint_machine machine;
    // Incarnations of this process at its start and whenever a call or call.resolve arrived;
    // context.self.incarnation may increase.
    std::set<std::uint64_t> own_incarnations;

    std::optional<served_weights> ordered_weights; // Set by serve().
    // Code with which new calls are rejected; ok: open.
    result_code admission_code = result_code::endpoint_cold;
    bool leaving = false;                   // A graceful stop has begun.
    bool engine_reached = true;             // False after several failed status reads, until one succeeds.
    int failed_status_reads = 0;            // Consecutive failed status reads.
    time_point last_status_at;              // End of the last successful status read.
    time_point last_status_read_started_at; // Start of the latest successful status read.
    // read_engine_status_after() is reading for all waiting calls.
    bool shared_status_read_in_progress = false;
    clock_timer status_read_finished{context.io}; // Cancelled when that read ends.
    rate_knowledge rate;                          // the rate limit that the endpoint names in its responses
    bool status_names_limits =
        false; // a status of this instance did: one without a limit says that there is none
    bool resumes_waiting_calls = false;                // resume_waiting_calls() runs
    bool engine_matches_order = false;                 // The latest status reported the ordered weights.
    std::uint64_t cold_resets = 0;                     // Resets of the limit to its cold value.
    std::string instance;                              // Engine instance in the last status; empty: unknown.
    engine_state reported_state = engine_state::ready; // In the last status.
    std::function<void(request_traffic const&)> request_traffic_callback;

    std::map<std::uint64_t, std::shared_ptr<waiting_call>> waiting_calls;
    std::uint64_t next_id = 1;
    bool was_in_service = true; // According to the last configuration.
};

} // namespace hibiscuswall
