#pragma once
// The agent's end of the datagrams between daemons, on its peer address: receives the subscriptions of
// entries, sends them load reports of its engine, and exchanges chunk holdings with other agents. A
// subscription that was not renewed for 3.5 s is dropped.
//
//   auto sender = load_report_sender{io, self, declared};
//   sender.start();
//   sender.send_report(report, now);

#include "hibiscuswall/fleet/datagram_socket.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace hibiscuswall {

namespace asio = boost::asio;

class load_report_sender {
public:
    load_report_sender(asio::io_context& io, member const& self, declared_state& declared);

    auto start() -> result<void>;

    // Sends the chunk holdings of this host to the agents, except to this process.
    auto send_holdings(chunk_holdings const& held, std::vector<member> const& agents) -> void;
    auto on_holdings(std::function<void(chunk_holdings const&)> callback) -> void
    {
        on_holdings_ = std::move(callback);
    }

    // Sends the load report to the subscribers. A datagram that does not fit into the send buffer is dropped:
    // the next report replaces it.
    auto send_report(load_report report, time_point now) -> void;

    // Peer addresses of entries that know weights declarations or a configuration that this agent lacks, in
    // the order of entries().
    [[nodiscard]] auto newer_peers(time_point now) const -> std::vector<address>;

    // Peer addresses of the entries that subscribe to this agent: those that were heard of lately first, then
    // those of its own region, in an order that differs between agents.
    [[nodiscard]] auto entries(time_point now) const -> std::vector<address>;

private:
    struct subscriber {
        time_point received_at; // when the latest subscription arrived
        subscription latest;
    };
    using subscriber_map = std::map<datagram_endpoint, subscriber>;

    auto on_datagram(datagram const& message, datagram_endpoint const& from) -> void;
    using subscriber_list = std::vector<std::pair<datagram_endpoint, subscriber const*>>;
    [[nodiscard]] auto ranked_subscribers(time_point now) const -> subscriber_list;
    auto set_most_current_peer(load_report& report, time_point now) const -> void;
    auto set_newest_configuration(load_report& report, subscriber_list const& ranked) const -> void;
    [[nodiscard]] auto is_draining(load_report const& report) const -> bool;
    auto is_due(load_report const& report, time_point now) -> bool;

    datagram_socket socket_;
    member const& self_;
    declared_state& declared_state_;
    subscriber_map subscribers_;
    std::function<void(chunk_holdings const&)> on_holdings_;
    bool was_idle_ = false;                // in the latest report that was sent
    std::size_t reported_subscribers_ = 0; // at that time
    std::uint64_t reported_version_ = 0;   // weights version at that time; 0: none
    bool reported_limit_ = false;          // whether the engine named a rate limit at that time
    time_point sent_at_;
    unsigned reports_sent_ = 0; // counts the unpaused reports, to select those for other regions
};

} // namespace hibiscuswall
