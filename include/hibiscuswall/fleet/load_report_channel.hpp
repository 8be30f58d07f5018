#pragma once
// Datagrams between entries and agents, on the peer address of each daemon. Agents keep no list of entries:
// an entry subscribes again every second, and an agent forgets it soon after it stops.
//
//   auto listener = load_report_receiver{io, self, endpoints, declared};       // entry
//   auto announcer = load_report_sender{io, self, declared};                // agent
//   listener.start(); announcer.start();
//   announcer.send_report(news, now);

#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/load_news.hpp"

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
    // Agents listen at their engine's IP and at the port of this process's peer address.
    load_report_receiver(asio::io_context& io, member const& self, endpoint_table& endpoints,
                         declared_state const& declared);

    auto start() -> result<void>;

    // Called after each news.
    auto on_load_report(std::function<void()> callback) -> void { on_load_report_ = std::move(callback); }

    // Told to the agents: part of the callers that this entry turns away.
    auto set_shed_level_source(std::function<double()> level) -> void { shed_level_ = std::move(level); }

    // Entry that knows a newer change of the operators than this process; none: nobody is known to.
    [[nodiscard]] auto newer_peer() const -> std::optional<address>;

private:
    auto receive() -> asio::awaitable<void>;
    auto subscribe() -> asio::awaitable<void>;
    auto take(load_report const& news) -> void;

    asio::ip::udp::socket socket_;
    member const& self_;
    endpoint_table& endpoints_;
    declared_state const& declared_state_;
    std::uint64_t told_revision_ = 0; // newest change of the operators that an agent told of
    address best_informed_;           // entry that knows it
    std::function<void()> on_load_report_;
    std::function<double()> shed_level_;
};

class load_report_sender {
public:
    load_report_sender(asio::io_context& io, member const& self, declared_state const& declared);

    auto start() -> result<void>;

    // To the agents at these addresses.
    auto send_holdings(chunk_holdings const& held, std::vector<member> const& agents) -> void;
    auto on_holdings(std::function<void(chunk_holdings const&)> callback) -> void
    {
        on_holdings_ = std::move(callback);
    }

    // To every subscriber; a full socket drops the news, the next one makes up for it.
    auto send_report(load_report news, time_point now) -> void;

    // Entry that knows what this agent lacks of the operators' changes; none: nobody is known to.
    [[nodiscard]] auto newer_peer() const -> std::optional<address>;

private:
    struct subscriber {
        time_point received_at; // latest subscription
        subscription latest;
    };
    using subscriber_map = std::map<asio::ip::udp::endpoint, subscriber>;

    auto receive() -> asio::awaitable<void>;
    auto name_best_informed(load_report& news) const -> void;

    asio::ip::udp::socket socket_;
    member const& self_;
    declared_state const& declared_state_;
    subscriber_map subscribers_;
    std::function<void(chunk_holdings const&)> on_holdings_;
    unsigned announced_ = 0; // news so far
};

} // namespace hibiscuswall
