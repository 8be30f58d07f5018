#pragma once
// Takes callers' requests from the entry's HTTP server to endpoints and brings the answers back.
//
//   auto relay = call_relay{io, fleet, endpoints, random, measures, settings};
//   routes.add("*", "/", [&](auto const& request, auto& out) { return relay.serve(request, out); });
//   asio::co_spawn(io, relay.watch(), asio::detached);
//
// Every request gets one answer: an endpoint's, unchanged; or a refusal (503: not run and never will be); or
// 502 or 504 where it may have run. An answer that breaks off midway closes the caller's connection.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/observe/metrics.hpp"
#include "hibiscuswall/serving/load_shedder.hpp"
#include "hibiscuswall/serving/placement.hpp"
#include "hibiscuswall/serving/relayed_call.hpp"
#include "hibiscuswall/serving/window_retry_budget.hpp"
#include "hibiscuswall/serving/stall_detection.hpp"

#include <map>
#include <set>
#include <string>

namespace hibiscuswall {

struct relay_settings {
    placement_settings placement;
    repeat_budget_settings repeats;
    silence_settings silence;
    waiting_settings waiting;
    shedding_settings shedding;
    milliseconds connect_timeout{300};     // to an endpoint
    milliseconds idle_time{4'000};         // of a kept connection, where the endpoint states none
    std::size_t answer_bytes = 16U << 20U; // larger answers are given up
    int most_refused_sends = 3;            // endpoints asked that refuse, for one call
};

class call_relay {
public:
    call_relay(asio::io_context& io, fleet_state& fleet, endpoint_table& endpoints, random_source& random,
               metrics& measures, std::string region, relay_settings const& settings);

    auto serve(http_request const& request, http_responder& out) -> asio::awaitable<void>;

    // Looks for places for the calls that wait: after news of the endpoints.
    auto on_news() -> void { serve_waiting(); }

    // Gives up silent endpoints and closes connections that were kept too long; until the io_context stops.
    auto watch() -> asio::awaitable<void>;

    // Part of the callers of the most loaded service that is turned away.
    [[nodiscard]] auto shed_level() const -> double;

    [[nodiscard]] auto active() const -> std::size_t { return active_.size(); }
    [[nodiscard]] auto waiting() const -> std::size_t { return room_.size(); }

private:
    // ---- call_relay.cpp
    auto look_up(relayed_call& call) -> result<void>;
    auto choose_service(relayed_call& call) -> result<void>;
    auto run(relayed_call& call) -> asio::awaitable<void>;
    auto next_endpoint(relayed_call& call) -> placement;
    auto may_move(relayed_call& call, time_point now) -> bool;
    auto note_send(relayed_call const& call, endpoint_state& endpoint, send_outcome const& outcome) -> void;
    auto end_unroutable(relayed_call& call, error why) -> asio::awaitable<void>;
    auto settle(relayed_call& call, send_outcome outcome) -> asio::awaitable<bool>;
    auto settle_answer(relayed_call& call, send_answered answer) -> asio::awaitable<bool>;
    auto deliver(relayed_call& call, send_answered answer) -> asio::awaitable<void>;
    auto refuse(relayed_call& call, error why, milliseconds retry_after) -> asio::awaitable<void>;
    auto give_up(relayed_call& call, result_code code, std::string reason, milliseconds retry_after)
        -> asio::awaitable<void>;
    auto budget_of(std::string const& service) -> repeat_budget&;
    auto note_end(relayed_call const& call, std::string_view outcome, int status, std::string_view reason)
        -> void;

    // ---- call_waiting.cpp
    auto find_place_now_or_later(relayed_call& call) -> asio::awaitable<placement>;
    auto set_wait(relayed_call& call, time_point now) -> void;
    auto wait_for_place(relayed_call& call) -> asio::awaitable<void>;
    auto serve_waiting() -> void;
    auto take_place(relayed_call& call, endpoint_ptr const& endpoint) -> void;
    auto release_place(relayed_call& call) -> void;

    // ---- call_shedding.cpp
    auto find_place(relayed_call& call) -> asio::awaitable<placement>;
    auto shedder_of(std::string const& service) -> load_shedder&;
    auto set_shed(relayed_call& call) -> void;
    auto step_shedders(time_point now) -> void;
    auto note_shedding(std::string const& service, double level) -> void;
    auto has_spare(placed const& found) const -> bool;
    auto note_place(relayed_call const& call, placement const& decision) -> void;

    // ---- endpoint_send.cpp
    auto send(relayed_call& call) -> asio::awaitable<send_outcome>;
    auto exchange(relayed_call& call) -> asio::awaitable<send_outcome>;
    auto read_answer(relayed_call& call, class answer_parser& parser) -> asio::awaitable<send_outcome>;
    auto relay_events(relayed_call& call, class answer_parser& parser) -> asio::awaitable<send_outcome>;
    auto begin_stream(relayed_call& call, class answer_parser& parser) -> asio::awaitable<bool>;
    auto keep_link(relayed_call& call, class answer_parser& parser) -> void;

    asio::io_context& io_;
    std::string region_; // of this entry
    fleet_state& fleet_;
    endpoint_table& endpoints_;
    random_source& random_;
    metrics& measures_;
    relay_settings settings_;
    endpoint_pool pool_;
    std::map<std::string, load_shedder> shedders_;              // by service
    std::set<std::string> shedding_;                            // services that turn callers away, as logged
    std::map<std::string, repeat_budget, std::less<>> budgets_; // by service
    std::set<relayed_call*> active_;
    waiting_room room_;
    std::map<waiter*, relayed_call*> waiting_calls_; // those in the room
};

} // namespace hibiscuswall
