#pragma once
// The entry's end of the datagrams between daemons, on its peer address: subscribes to the agents of its
// endpoints and receives their load reports, and exchanges quarantine records and messages about rate limits
// with other entries. Agents have no configured list of entries: an entry renews its subscription at every
// agent every 250 ms. It also tells the agent that its engine's record says that it drains; the agent tells
// the engine's other senders, who may get the record later.
//
//   auto receiver = load_report_receiver{io, self, endpoints, declared};
//   receiver.start();
//   receiver.newer_peers(now);          // whom to ask for what operators declared

#include "hibiscuswall/fleet/datagram_socket.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/informed_peers.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
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

    // Tells the endpoint's agent at once that the record says that the endpoint drains. Later subscriptions
    // repeat it.
    auto announce_draining(std::string const& endpoint_id) -> void;

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
    auto on_datagram(datagram const& message, datagram_endpoint const& from) -> void;
    auto subscribe() -> asio::awaitable<void>;
    [[nodiscard]] auto current_subscription(time_point now) const -> subscription;
    auto send_subscription(subscription const& message, std::string const& agent_ip) -> void;
    auto on_report_received(load_report const& report, address const& agent) -> void;
    auto log_departure(load_report const& report) const -> void;
    [[nodiscard]] auto is_of_same_region(load_report const& report) const -> bool;
    [[nodiscard]] auto has_agent(tracked_endpoint const& endpoint) const -> bool;

    datagram_socket socket_;
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

} // namespace hibiscuswall
