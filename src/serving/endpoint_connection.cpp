#include "hibiscuswall/serving/endpoint_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace hibiscuswall {
namespace {

using tcp = asio::ip::tcp;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto receive_buffer_size = std::size_t{16 * 1024};
constexpr auto max_idle_per_endpoint = std::size_t{24};

} // namespace

auto endpoint_connection::connect(address const& where, milliseconds timeout)
    -> asio::awaitable<boost::system::error_code>
{
    auto const target = tcp::endpoint{asio::ip::make_address(where.ip), where.port};
    stream_.expires_after(timeout);
    auto [code] = co_await stream_.async_connect(target, awaitable_tuple);
    if (code) co_return code;
    auto ignored = boost::system::error_code{};
    stream_.socket().set_option(tcp::no_delay{true}, ignored);
    stream_.socket().non_blocking(true, ignored);
    co_return code;
}

auto endpoint_connection::send(std::string const& bytes, time_point deadline) -> asio::awaitable<bool>
{
    stream_.expires_after(deadline - clock::now());
    auto [code, size] = co_await asio::async_write(stream_, asio::buffer(bytes), awaitable_tuple);
    if (code) send_failed_ = true;
    co_return !code;
}

auto endpoint_connection::receive(time_point deadline) -> asio::awaitable<std::string_view>
{
    if (buffer_.empty()) buffer_.resize(receive_buffer_size);
    stream_.expires_after(deadline - clock::now());
    receiving_ = true;
    auto [code, size] = co_await stream_.async_read_some(asio::buffer(buffer_), awaitable_tuple);
    receiving_ = false;
    if (!code) co_return std::string_view{buffer_.data(), size};
    end_ = connection_end::reset;
    // A reset that a write has reported is not reported again: the reads after it end as if the endpoint had
    // closed the connection.
    if (code == asio::error::eof && !send_failed_) end_ = connection_end::closed;
    if (code == boost::beast::error::timeout) end_ = connection_end::timed_out;
    if (code == asio::error::operation_aborted && is_open()) end_ = connection_end::interrupted;
    co_return std::string_view{};
}

auto endpoint_connection::close() -> void
{
    auto ignored = boost::system::error_code{};
    stream_.socket().close(ignored);
}

auto endpoint_connection::interrupt() -> void
{
    if (receiving_) stream_.cancel();
}

auto endpoint_connection::is_open() const -> bool { return stream_.socket().is_open(); }

auto endpoint_connection::is_usable() -> bool
{
    if (!is_open()) return false;
    auto byte = char{};
    auto code = boost::system::error_code{};
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block || code == asio::error::try_again;
}

auto endpoint_pool::take(std::string const& id, time_point now) -> endpoint_connection_ptr
{
    auto const found = idle_.find(id);
    if (found == idle_.end()) return nullptr;
    auto& list = found->second;
    while (!list.empty()) {
        auto connection = std::move(list.back());
        list.pop_back();
        if (now >= connection->idle_deadline_ || !connection->is_usable()) continue;
        connection->reused_ = true;
        return connection;
    }
    return nullptr;
}

auto endpoint_pool::connect(address const& where, milliseconds timeout)
    -> asio::awaitable<endpoint_connection_ptr>
{
    auto connection = std::make_shared<endpoint_connection>(io_, false);
    ++made_;
    auto const code = co_await connection->connect(where, timeout);
    if (code) connection = nullptr;
    co_return connection;
}

auto endpoint_pool::refuses_connections(std::string const& id, address const& where, milliseconds timeout,
                                        milliseconds idle_timeout) -> asio::awaitable<bool>
{
    auto connection = std::make_shared<endpoint_connection>(io_, false);
    auto const code = co_await connection->connect(where, timeout);
    if (!code) {
        ++made_;
        put_back(id, std::move(connection), idle_timeout, clock::now());
    }
    co_return code == asio::error::connection_refused;
}

auto endpoint_pool::put_back(std::string const& id, endpoint_connection_ptr connection,
                             milliseconds idle_timeout, time_point now) -> void
{
    auto& list = idle_[id];
    if (list.size() >= max_idle_per_endpoint) return;
    connection->idle_deadline_ = now + idle_timeout;
    connection->stream_.expires_never();
    list.push_back(std::move(connection));
}

auto endpoint_pool::close_expired(time_point now) -> void
{
    for (auto& [id, list] : idle_)
        std::erase_if(list, [&](auto const& connection) {
            return now >= connection->idle_deadline_ || !connection->is_usable();
        });
    std::erase_if(idle_, [](auto const& each) { return each.second.empty(); });
}

} // namespace hibiscuswall
