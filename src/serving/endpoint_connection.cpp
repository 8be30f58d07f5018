#include "hibiscuswall/serving/endpoint_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace hibiscuswall {
namespace {

using tcp = asio::ip::tcp;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto receive_bytes = std::size_t{16 * 1024};
constexpr auto kept_per_endpoint = std::size_t{24};

} // namespace

auto endpoint_link::connect(address const& where, milliseconds timeout) -> asio::awaitable<bool>
{
    auto const target = tcp::endpoint{asio::ip::make_address(where.ip), where.port};
    stream_.expires_after(timeout);
    auto [code] = co_await stream_.async_connect(target, awaitable_tuple);
    if (code) co_return false;
    auto ignored = boost::system::error_code{};
    stream_.socket().set_option(tcp::no_delay{true}, ignored);
    stream_.socket().non_blocking(true, ignored);
    co_return true;
}

auto endpoint_link::send(std::string const& bytes, time_point deadline) -> asio::awaitable<bool>
{
    stream_.expires_at(deadline);
    auto [code, size] = co_await asio::async_write(stream_, asio::buffer(bytes), awaitable_tuple);
    co_return !code;
}

auto endpoint_link::receive(time_point deadline) -> asio::awaitable<std::string_view>
{
    if (buffer_.empty()) buffer_.resize(receive_bytes);
    stream_.expires_at(deadline);
    auto [code, size] = co_await stream_.async_read_some(asio::buffer(buffer_), awaitable_tuple);
    if (!code) co_return std::string_view{buffer_.data(), size};
    end_ = link_end::reset;
    if (code == asio::error::eof) end_ = link_end::closed;
    if (code == boost::beast::error::timeout) end_ = link_end::late;
    co_return std::string_view{};
}

auto endpoint_link::close() -> void
{
    auto ignored = boost::system::error_code{};
    stream_.socket().close(ignored);
}

auto endpoint_link::is_usable() -> bool
{
    if (!stream_.socket().is_open()) return false;
    auto byte = char{};
    auto code = boost::system::error_code{};
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block || code == asio::error::try_again;
}

auto endpoint_pool::take(std::string const& id, time_point now) -> link_ptr
{
    auto const found = idle_.find(id);
    if (found == idle_.end()) return nullptr;
    auto& list = found->second;
    while (!list.empty()) {
        auto link = std::move(list.back());
        list.pop_back();
        if (now >= link->usable_until_ || !link->is_usable()) continue;
        link->reused_ = true;
        return link;
    }
    return nullptr;
}

auto endpoint_pool::connect(address const& where, milliseconds timeout) -> asio::awaitable<link_ptr>
{
    auto link = std::make_shared<endpoint_link>(io_, false);
    ++made_;
    auto const connected = co_await link->connect(where, timeout);
    if (!connected) link = nullptr;
    co_return link;
}

auto endpoint_pool::give_back(std::string const& id, link_ptr link, milliseconds idle_time, time_point now)
    -> void
{
    auto& list = idle_[id];
    if (list.size() >= kept_per_endpoint) return;
    link->usable_until_ = now + idle_time;
    link->stream_.expires_never();
    list.push_back(std::move(link));
}

auto endpoint_pool::sweep(time_point now) -> void
{
    for (auto& [id, list] : idle_)
        std::erase_if(list,
                      [&](auto const& link) { return now >= link->usable_until_ || !link->is_usable(); });
    std::erase_if(idle_, [](auto const& each) { return each.second.empty(); });
}

} // namespace hibiscuswall
