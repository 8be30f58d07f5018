#pragma once
// Ports on 127.0.0.1 below the kernel's ephemeral range: an outgoing connection cannot take one between its
// choice and the start of the process that listens there. Test programs start at distant places by their
// process id, so that two that run at the same time do not meet.
//
//   auto where = port_pool::next();

#include "hibiscuswall/core/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

namespace hibiscuswall {

class port_pool {
public:
    static auto next() -> address
    {
        constexpr auto first = 12'000;
        constexpr auto count = 20'000; // up to 31999; ephemeral ports start at 32768
        static auto offset = (getpid() % count * 7'919) % count;
        while (true) {
            auto const port = static_cast<unsigned short>(first + offset);
            offset = (offset + 1) % count;
            if (is_free(port)) return {"127.0.0.1", port};
        }
    }

private:
    static auto is_free(unsigned short port) -> bool
    {
        using tcp = boost::asio::ip::tcp;
        auto io = boost::asio::io_context{};
        auto acceptor = tcp::acceptor{io};
        auto code = boost::system::error_code{};
        acceptor.open(tcp::v4(), code);
        acceptor.set_option(tcp::acceptor::reuse_address{true}, code);
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, code);
        return !code;
    }
};

} // namespace hibiscuswall
