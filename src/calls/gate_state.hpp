#pragma once
// State of request_gate, shared by its sources: request_gate.cpp (admission and lifecycle), gate_rpc.cpp,
// forward_call.cpp (one call to the endpoint) and engine_watch.cpp (the engine's status). Network thread
// only.

#include "hibiscuswall/admission/admission_controller.hpp"
#include "hibiscuswall/calls/call_registry.hpp"
#include "hibiscuswall/calls/forward_request.hpp"
#include "hibiscuswall/calls/request_gate.hpp"
#include "hibiscuswall/lifecycle/endpoint_machine.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

namespace hibiscuswall {

// A request that waits for its turn.
struct waiting_call {
    explicit waiting_call(asio::io_context& io) : timer{io} {}

    asio::steady_timer timer; // cancelled when the decision is there
    std::optional<admission_decision> decision;
};

// How a forwarded call ended.
struct call_outcome {
    result_code code = result_code::ok; // ok: an answer of the endpoint was relayed
    ran execution = ran::unknown;       // whether it ran
    std::string message;                // for people
    completion_sample sample;           // for the limit
    bool relayed = false;               // an answer was sent, at least in part

    // GCC 12 destroys an aggregate temporary inside a co_await expression twice; constructors avoid it.
    call_outcome() = default;
    call_outcome(result_code why, ran has_run, std::string text, completion_sample measured, bool sent)
        : code{why}, execution{has_run}, message{std::move(text)}, sample{measured}, relayed{sent}
    {
    }
};

struct live_call; // forward_call.cpp

struct request_gate::state : std::enable_shared_from_this<request_gate::state> {
    state(process_context& shared, config_source& source, endpoint_settings where, admission_settings limits);

    // ---- request_gate.cpp
    auto add_routes() -> void;
    auto refusal(forward_request const& call) -> result_code;
    auto handle(http_request const& request, http_responder& out) -> asio::awaitable<void>;
    auto admitted(std::uint64_t id, forward_request call, std::string body, http_responder& out)
        -> asio::awaitable<void>;
    auto record_outcome(forward_request const& call, call_outcome const& outcome, clock::duration spent)
        -> void;
    auto wait_for_turn(std::uint64_t id, forward_request call, http_responder& out)
        -> asio::awaitable<admission_decision>;
    auto refuse(http_responder& out, std::string call_id, result_code code, std::string message,
                ran execution, milliseconds retry_after) -> asio::awaitable<void>;
    auto answer_repeat(http_responder& out, std::string call_id, result_code code) -> asio::awaitable<void>;
    auto deliver(admission_controller::decisions const& decisions) -> void;
    auto stop_new_work(result_code reason) -> void;
    auto configuration_changed(config_view const& view) -> void;
    auto add_state_headers(http_headers& headers, std::string_view call_id) const -> void;
    auto move(endpoint_event event) -> void;
    auto finish_call(std::uint64_t id, completion_sample sample) -> void;
    auto weight_of(std::string const& account) const -> double;
    auto charge_link(request_traffic const& moved) const -> void
    {
        if (link_charged) link_charged(moved);
    }

    // ---- gate_rpc.cpp
    auto is_own(std::uint64_t incarnation) -> bool;
    auto resolve(nlohmann::json const& params) -> result<nlohmann::json>;
    auto status() const -> nlohmann::json;

    // ---- forward_call.cpp
    auto forward(forward_request call, std::string body, http_responder& out)
        -> asio::awaitable<call_outcome>;
    auto cancel_on_disconnect(forward_request const& call, http_responder& out) -> std::shared_ptr<live_call>;
    auto foreign(forward_request const& call, http_headers const& headers) -> std::string;
    auto mixed(forward_request call, std::string_view body) -> asio::awaitable<std::string>;
    auto weights_changed(forward_request call, time_point arrived) -> asio::awaitable<std::string>;
    auto relay(forward_request const& call, http_stream& answer, http_responder& out, time_point sent)
        -> asio::awaitable<call_outcome>;
    auto relay_whole(forward_request const& call, http_stream& answer, http_headers headers,
                     http_responder& out, completion_sample sample) -> asio::awaitable<call_outcome>;
    auto relay_stream(forward_request const& call, http_stream& answer, http_headers headers,
                      http_responder& out, completion_sample sample) -> asio::awaitable<call_outcome>;

    // ---- engine_watch.cpp
    auto watch_engine() -> asio::awaitable<void>;
    auto read_engine() -> asio::awaitable<void>;
    auto read_engine_since(time_point moment) -> asio::awaitable<bool>;
    auto still_warm() -> asio::awaitable<bool>;
    auto judge(engine_status const& found) -> void;
    auto is_ordered(engine_status const& found) const -> bool;

    [[nodiscard]] auto is_engine() const -> bool { return endpoint.type == service_type::engine; }

    process_context& context;
    config_source& config;
    endpoint_settings endpoint;
    engine_client engine;
    admission_controller admission;
    call_registry registry{call_registry_settings{}};
    endpoint_machine machine;
    std::set<std::uint64_t> own_incarnations; // that calls have met here; context.self.incarnation may rise

    std::optional<served_weights> ordered;           // by serve()
    result_code closed = result_code::endpoint_cold; // ok: open
    bool leaving = false;                            // graceful stop
    bool engine_reached = true;                      // the last status reads succeeded
    int failed_reads = 0;                            // consecutive status reads that failed
    time_point last_read;                            // of the engine's status
    time_point last_read_begun;                      // of the last status read that succeeded
    bool sharing_read = false;                       // read_engine_since() reads
    asio::steady_timer read_shared{context.io};      // cancelled when that read ends
    bool reports_ordered = false;                    // the last status named the ordered weights
    std::uint64_t cold_turns = 0;                    // resets of the limit so far
    std::string instance;                            // engine instance of the last status; empty: unknown
    engine_state reported = engine_state::ready;     // by the last status
    std::function<void(request_traffic const&)> link_charged;

    std::map<std::uint64_t, std::shared_ptr<waiting_call>> waiting;
    std::uint64_t next_id = 1;
    bool was_in_service = true; // at the last configuration
};

} // namespace hibiscuswall
