#include "hibiscuswall/fleet/datagram_socket.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace hibiscuswall {
namespace {

constexpr auto max_datagram_bytes = std::size_t{2'048};

} // namespace

auto datagram_socket::open(address const& where) -> result<void>
{
    auto code = boost::system::error_code{};
    auto const local = to_endpoint(where);
    socket_.open(local.protocol(), code);
    if (!code) socket_.bind(local, code);
    if (!code) socket_.non_blocking(true, code);
    if (code) return fail(result_code::settings_invalid, "udp " + where.text() + ": " + code.message());
    return success();
}

auto datagram_socket::send(std::string const& bytes, datagram_endpoint const& to) -> void
{
    auto dropped = boost::system::error_code{};
    socket_.send_to(asio::buffer(bytes), to, 0, dropped);
}

auto datagram_socket::receive(handler on_message) -> asio::awaitable<void>
{
    auto buffer = std::array<char, max_datagram_bytes>{};
    auto from = datagram_endpoint{};
    while (true) {
        auto [code, size] = co_await socket_.async_receive_from(asio::buffer(buffer), from,
                                                                asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted) co_return;
        if (code) continue; // for example: the port is closed on the other side
        auto const message = decode_datagram({buffer.data(), size});
        if (message) on_message(*message, from);
    }
}

auto to_endpoint(address const& where) -> datagram_endpoint
{
    return {asio::ip::make_address(where.ip), where.port};
}

auto to_address(datagram_endpoint const& from) -> address
{
    return {from.address().to_string(), from.port()};
}

} // namespace hibiscuswall
