#pragma once
// Carries the messages about rate limits between entries, by datagrams over the socket of
// load_report_receiver, and shows the limits at GET /fleet/limits on the peer address.
//
//   auto exchange = rate_exchange{context, endpoints, loads};
//   exchange.on_grant([&] { relay.on_load_report(); });    // calls may be sent that could not before
//   start_loop(io.get_executor(), "rate_limits", [&] { return exchange.run(); });
//   exchange.set_entries(directory.entries());

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/fleet/load_report_receiver.hpp"
#include "hibiscuswall/fleet/rate_coordination.hpp"

#include <functional>
#include <span>

namespace hibiscuswall {

class rate_exchange {
public:
    rate_exchange(process_context& context, endpoint_table& endpoints, load_report_receiver& channel);

    auto on_grant(std::function<void()> callback) -> void { on_grant_ = std::move(callback); }

    // The entries of the fleet.
    auto set_entries(std::span<listed_entry const> entries) -> void { coordination_.set_entries(entries); }

    // Sends until the io_context stops.
    auto run() -> asio::awaitable<void>;

private:
    auto on_rate_change(tracked_endpoint& endpoint, std::optional<double> before,
                        endpoint_table::rate_source source) -> void;
    auto show(http_responder& out) -> asio::awaitable<void>;

    process_context& context_;
    endpoint_table& endpoints_;
    rate_coordination coordination_;
    clock_timer timer_; // until the next round
    std::function<void()> on_grant_;
};

} // namespace hibiscuswall
