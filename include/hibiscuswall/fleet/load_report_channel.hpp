#pragma once
// Datagrams between entries and agents, on the peer address of each daemon. Agents keep no list of entries:
// an entry subscribes again every second, and an agent forgets it soon after it stops.
//
//   auto listener = load_listener{io, self, endpoints, fleet};       // entry
//   auto announcer = load_announcer{io, self, fleet};                // agent
//   listener.start(); announcer.start();
//   announcer.announce(news, now);

#include "hibiscuswall/fleet/declared_state.hpp"
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

class load_listener {
public:
    // Agents listen at their engine's IP and at the port of this process's peer address.
    load_listener(asio::io_context& io, member const& self, endpoint_table& endpoints,
                  fleet_state const& fleet);

    auto start() -> result<void>;

    // Called after each news.
    auto on_news(std::function<void()> callback) -> void { on_news_ = std::move(callback); }

    // Told to the agents: part of the callers that this entry turns away.
    auto on_shed_level(std::function<double()> level) -> void { shed_level_ = std::move(level); }

    // Entry that knows a newer change of the operators than this process; none: nobody is known to.
    [[nodiscard]] auto newer_peer() const -> std::optional<address>;

private:
    auto receive() -> asio::awaitable<void>;
    auto subscribe() -> asio::awaitable<void>;
    auto take(engine_news const& news) -> void;

    asio::ip::udp::socket socket_;
    member const& self_;
    endpoint_table& endpoints_;
    fleet_state const& fleet_;
    std::uint64_t told_revision_ = 0; // newest change of the operators that an agent told of
    address best_informed_;           // entry that knows it
    std::function<void()> on_news_;
    std::function<double()> shed_level_;
};

class load_announcer {
public:
    load_announcer(asio::io_context& io, member const& self, fleet_state const& fleet);

    auto start() -> result<void>;

    // To the agents at these addresses.
    auto tell(chunk_holdings const& held, std::vector<member> const& agents) -> void;
    auto on_holdings(std::function<void(chunk_holdings const&)> callback) -> void
    {
        on_holdings_ = std::move(callback);
    }

    // To every subscriber; a full socket drops the news, the next one makes up for it.
    auto announce(engine_news news, time_point now) -> void;

    // Entry that knows what this agent lacks of the operators' changes; none: nobody is known to.
    [[nodiscard]] auto newer_peer() const -> std::optional<address>;

private:
    struct subscriber {
        time_point heard_at; // latest subscription
        subscription latest;
    };
    using subscriber_map = std::map<asio::ip::udp::endpoint, subscriber>;

    auto receive() -> asio::awaitable<void>;
    auto name_best_informed(engine_news& news) const -> void;

    asio::ip::udp::socket socket_;
    member const& self_;
    fleet_state const& fleet_;
    subscriber_map subscribers_;
    std::function<void(chunk_holdings const&)> on_holdings_;
    unsigned announced_ = 0; // news so far
};

} // namespace hibiscuswall
