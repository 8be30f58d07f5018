#pragma once
// Ports on 127.0.0.1 below the kernel's ephemeral range: an outgoing connection cannot take one between its
// choice and the start of the process that listens there. Each test program takes a block of ports that no
// other one has while it runs, so that two never choose the same port.
//
//   auto where = port_pool::next();

#include "hibiscuswall/core/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

namespace hibiscuswall {

class port_pool {
public:
    static auto next() -> address
    {
        static auto const block = claim_block();
        static auto used = 0;
        while (true) {
            // The first port of a block is the one that claims it.
            auto const port = static_cast<unsigned short>(port_of(block) + 1 + used);
            used = (used + 1) % (ports_per_block - 1);
            if (is_free(port)) return {"127.0.0.1", port};
        }
    }

private:
    static constexpr auto first_port = 12'000; // up to 31,999; ephemeral ports start at 32,768
    static constexpr auto block_count = 20;
    static constexpr auto ports_per_block = 1'000;

    static auto port_of(int block) -> int { return first_port + block * ports_per_block; }

    // Listens on the first port of a free block until the program ends.
    static auto claim_block() -> int
    {
        for (auto i = 0; i < block_count; ++i) {
            auto const block = (getpid() + i) % block_count;
            auto const guard = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            auto at = sockaddr_in{};
            at.sin_family = AF_INET;
            at.sin_port = htons(static_cast<std::uint16_t>(port_of(block)));
            at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            auto const bound = ::bind(guard, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0;
            if (bound && ::listen(guard, 1) == 0) return block;
            ::close(guard);
        }
        std::fprintf(stderr, "port_pool: %d test programs run already, each with a block of ports\n",
                     block_count);
        std::abort();
    }

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
