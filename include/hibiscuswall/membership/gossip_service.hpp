#pragma once
// Keeps the member table up to date: reads the host list, exchanges news with one random peer a second and
// more often while there is news (POST /exchange), refutes rumours about this process and announces its
// leaving.
//
//   auto gossip = gossip_service{context, table, config, host_list, settings};
//   gossip.start();
//   co_await gossip.announce_leaving();      // first step of a graceful stop

#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/membership/exchange_budget.hpp"
#include "hibiscuswall/membership/exchange_message.hpp"
#include "hibiscuswall/membership/member_table.hpp"
#include "hibiscuswall/platform/host_list_client.hpp"

#include <boost/asio/steady_timer.hpp>

namespace hibiscuswall {

class gossip_service {
public:
    gossip_service(process_context& context, member_table& table, config_service& config,
                   host_list_client& host_list, membership_settings settings);

    auto start() -> void;

    // Marks this process as leaving and tells a bounded number of peers at once, entries first.
    auto announce_leaving() -> asio::awaitable<void>;

private:
    auto host_list_loop() -> asio::awaitable<void>;
    auto take_host_list(std::vector<member> hosts) -> void;
    auto exchange_loop() -> asio::awaitable<void>;
    auto wait_for_round() -> asio::awaitable<bool>;
    auto exchange_with(member peer) -> asio::awaitable<void>;
    auto take_answer(member const& peer, exchange_message const& answer, time_point requested_at) -> void;
    auto answer_exchange(exchange_message const& request) -> exchange_message;
    auto message_for(std::string const& peer_name) -> exchange_message;
    auto take_members(exchange_message const& message, time_point now) -> void;
    auto hear_about_self(member const& report) -> void;
    auto choose_peers() -> std::vector<member>;
    auto any_live_peer() -> std::vector<member>;

    process_context& context_;
    member_table& table_;
    config_service& config_;
    host_list_client& host_list_;
    membership_settings settings_;
    exchange_budget budget_;
    asio::steady_timer until_round_; // ends early when there is news
    asio::steady_timer until_list_;  // ends early when a peer holds this process for leaving
    bool listed_leaving_ = false;    // the host list's last word about this process
    bool peer_differs_ = false;      // the last message came from a table with another digest
    time_point regular_at_ = {};     // next regular exchange
    bool host_list_read_ = false;    // once since the start
};

} // namespace hibiscuswall
