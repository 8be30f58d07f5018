#pragma once
// A TCP port on 127.0.0.1 that nothing listens on. The kernel hands out ephemeral ports in a spread order, so
// two callers in a row do not get the same one.
//
//   auto where = free_address();

#include "hibiscuswall/core/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace hibiscuswall {

inline auto free_address() -> address
{
    using tcp = boost::asio::ip::tcp;
    auto io = boost::asio::io_context{};
    auto acceptor = tcp::acceptor{io, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace hibiscuswall
