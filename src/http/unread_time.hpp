#pragma once
// How long the last bytes of a connection have waited in this machine's socket before the process read them.
// A process that was paused, or that has more work than processor time, reads late; what a caller's deadline
// leaves is then less than the caller wrote.
//
//   auto waited = unread_time(stream.socket());   // right after the first bytes of a request were read

#include "hibiscuswall/core/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hibiscuswall {

// Zero where the kernel does not tell.
inline auto unread_time(boost::asio::ip::tcp::socket& socket) -> milliseconds
{
    auto info = tcp_info{};
    auto size = socklen_t{sizeof(info)};
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return milliseconds{0};
    return milliseconds{info.tcpi_last_data_recv};
}

} // namespace hibiscuswall
