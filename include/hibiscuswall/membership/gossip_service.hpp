#pragma once
// Keeps the member table current by gossip and by reading the host list. It exchanges updates with one random
// peer per exchange_interval (1 s by default), and more often while updates are pending (POST /exchange). It
// also refutes false reports about this process and announces when this process leaves.
//
//   auto gossip = gossip_service{context, table, config, host_list, settings};
//   gossip.start();
//   co_await gossip.announce_leaving();      // first step of a graceful stop

#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/membership/exchange_budget.hpp"
#include "hibiscuswall/membership/exchange_message.hpp"
#include "hibiscuswall/membership/member_table.hpp"
#include "hibiscuswall/platform/host_list_client.hpp"

namespace hibiscuswall {

class gossip_service {
public:
    gossip_service(process_context& context, member_table& table, config_service& config,
                   host_list_client& host_list, membership_settings settings);

    auto start() -> void;

    // Marks this process as leaving and notifies a bounded number of peers directly, entries first.
    auto announce_leaving() -> asio::awaitable<void>;

private:
    auto host_list_loop() -> asio::awaitable<void>;
    auto on_host_list(std::vector<member> hosts) -> void;
    auto exchange_loop() -> asio::awaitable<void>;
    auto wait_for_round() -> asio::awaitable<bool>;
    auto exchange_with(member peer) -> asio::awaitable<void>;
    auto on_response(member const& peer, exchange_message const& response, time_point requested_at) -> void;
    auto respond(exchange_message const& request, time_point received_at) -> exchange_message;
    auto message_for(std::string const& peer_name) -> exchange_message;
    auto merge_members(exchange_message const& message, time_point now) -> void;
    auto on_report_about_self(member const& report) -> void;
    auto choose_peers() -> std::vector<member>;
    auto random_live_peer() -> std::vector<member>;

    process_context& context_;
    member_table& table_;
    config_service& config_;
    host_list_client& host_list_;
    membership_settings settings_;
    exchange_budget budget_;
    clock_timer round_timer_;            // cancelled when an update is pending
    clock_timer host_list_timer_;        // cancelled when a peer reports this process as leaving
    bool listed_leaving_ = false;        // the host list lists this process as leaving, or a peer reported so
    bool digests_differ_ = false;        // the latest message came from a table with another digest
    time_point next_regular_round_ = {}; // time of the next regular exchange
    bool host_list_read_ = false;        // the host list was read since the start
};

} // namespace hibiscuswall
