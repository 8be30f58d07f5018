#pragma once
// UDP datagrams on the peer address of each daemon: subscriptions from entries to agents, load reports back,
// chunk holdings between agents, and between entries quarantine records and messages about rate limits.
// Agents have no configured list of entries: an entry renews its subscription at every agent every 250 ms,
// and an agent drops it if it was not renewed for 3.5 s.
//
//   auto receiver = load_report_receiver{io, self, endpoints, declared};    // entry
//   auto sender = load_report_sender{io, self, declared};                   // agent
//   receiver.start(); sender.start();
//   sender.send_report(report, now);

#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/informed_peers.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hibiscuswall {

namespace asio = boost::asio;

class load_report_receiver {
public:
    // Agents listen on their engine's IP address and on the port of this process's peer address.
    load_report_receiver(asio::io_context& io, member const& self, endpoint_table& endpoints,
                         declared_state& declared);

    auto start() -> result<void>;

    // Sets the callback that runs after each received load report.
    auto on_load_report(std::function<void()> callback) -> void { on_load_report_ = std::move(callback); }

    // Sets the function that returns shed_level, the fraction of callers that this entry sheds; it is sent to
    // the agents.
    auto set_shed_level_source(std::function<double()> shed_fraction) -> void
    {
        shed_level_source_ = std::move(shed_fraction);
    }

    // Sets the function that returns the newest change of an endpoint's record that this entry knows.
    auto set_records_revision_source(std::function<std::uint64_t()> revision) -> void
    {
        records_revision_source_ = std::move(revision);
    }

    // Sets the callback that receives other entries' quarantine records and the address they came from.
    using quarantine_callback = std::function<void(quarantine_records const&, address const& from)>;
    auto on_quarantine_records(quarantine_callback callback) -> void
    {
        on_quarantine_records_ = std::move(callback);
    }

    // Sets the callbacks that receive other entries' messages about rate limits.
    auto on_rate_report(std::function<void(rate_report const&, address const& from)> callback) -> void
    {
        on_rate_report_ = std::move(callback);
    }
    auto on_rate_notice(std::function<void(rate_notice const&)> callback) -> void
    {
        on_rate_notice_ = std::move(callback);
    }

    // Sends one datagram to the peer address of another process. One that does not fit into the send buffer
    // is dropped.
    auto send(std::string const& bytes, address const& to) -> void;

    // Newest change of an endpoint's record that any entry is known to have.
    [[nodiscard]] auto peer_records_revision() const -> std::uint64_t { return peer_records_revision_; }

    // Newest operator change that a load report named.
    [[nodiscard]] auto peer_revision() const -> std::uint64_t { return operator_peers_.newest(); }

    // Peer addresses of entries that have a newer configuration, or know a newer operator change, than this
    // process, the best first.
    [[nodiscard]] auto newer_peers(time_point now) const -> std::vector<address>;

    // Peer addresses of agents that know a newer weights declaration than this process, the best first.
    [[nodiscard]] auto newer_weights_peers(time_point now) const -> std::vector<address>;

private:
    auto receive() -> asio::awaitable<void>;
    auto subscribe() -> asio::awaitable<void>;
    auto on_report_received(load_report const& report, address const& agent) -> void;
    [[nodiscard]] auto is_of_same_region(load_report const& report) const -> bool;
    [[nodiscard]] auto has_agent(tracked_endpoint const& endpoint) const -> bool;

    asio::ip::udp::socket socket_;
    member const& self_;
    endpoint_table& endpoints_;
    declared_state& declared_state_;
    informed_peers operator_peers_;      // entries that know newer operator changes
    informed_peers configuration_peers_; // entries with newer configurations; their versions as revisions
    informed_peers weights_peers_;       // agents that know newer weights declarations
    std::function<void()> on_load_report_;
    quarantine_callback on_quarantine_records_;
    std::function<void(rate_report const&, address const& from)> on_rate_report_;
    std::function<void(rate_notice const&)> on_rate_notice_;
    std::function<double()> shed_level_source_;
    std::function<std::uint64_t()> records_revision_source_;
    std::uint64_t peer_records_revision_ = 0;
};

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
    using subscriber_map = std::map<asio::ip::udp::endpoint, subscriber>;

    auto receive() -> asio::awaitable<void>;
    using subscriber_list = std::vector<std::pair<asio::ip::udp::endpoint, subscriber const*>>;
    [[nodiscard]] auto ranked_subscribers(time_point now) const -> subscriber_list;
    auto set_most_current_peer(load_report& report, time_point now) const -> void;
    auto set_newest_configuration(load_report& report, subscriber_list const& ranked) const -> void;
    auto is_due(load_report const& report, time_point now) -> bool;

    asio::ip::udp::socket socket_;
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
