#pragma once
// The UDP socket on a daemon's peer address, by which load reports, subscriptions and the like travel
// (serving/load_datagram.hpp).
//
//   auto socket = datagram_socket{io};
//   socket.open(peer_address);
//   start_loop(executor, "datagrams", [&] { return socket.receive([&](auto const& message, auto const& from)
//   {
//       if (auto const* report = std::get_if<load_report>(&message)) ...
//   }); });
//   socket.send(encode(report), to);

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>

namespace hibiscuswall {

namespace asio = boost::asio;

using datagram_endpoint = asio::ip::udp::endpoint;

class datagram_socket {
public:
    using handler = std::function<void(datagram const& message, datagram_endpoint const& from)>;

    explicit datagram_socket(asio::io_context& io) : socket_{io} {}

    // Errors: settings_invalid if the address cannot be bound.
    auto open(address const& where) -> result<void>;

    // One that does not fit into the send buffer is dropped.
    auto send(std::string const& bytes, datagram_endpoint const& to) -> void;

    // Passes each message that can be decoded to the handler, until the socket is closed.
    auto receive(handler on_message) -> asio::awaitable<void>;

    [[nodiscard]] auto executor() -> asio::any_io_executor { return socket_.get_executor(); }

private:
    asio::ip::udp::socket socket_;
};

[[nodiscard]] auto to_endpoint(address const& where) -> datagram_endpoint;
[[nodiscard]] auto to_address(datagram_endpoint const& from) -> address;

} // namespace hibiscuswall
