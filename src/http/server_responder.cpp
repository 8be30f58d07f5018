#include "server_responder.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace hibiscuswall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);

auto is_transport_header(std::string_view name) -> bool
{
    return beast::iequals(name, "Content-Length") || beast::iequals(name, "Connection") ||
           beast::iequals(name, "Transfer-Encoding");
}

} // namespace

template<class Message>
auto server_responder::copy_headers(Message& message, http_headers const& headers) -> void
{
    for (auto const& header : headers.all())
        if (!is_transport_header(header.name)) message.insert(header.name, header.value);
    if (server_.events != nullptr) message.set("Hw-Clock", std::to_string(server_.events->tick()));
    announced_keep_alive_ = keep_alive_ && !server_.stopping && !server_.closing;
    message.keep_alive(announced_keep_alive_);
}

auto server_responder::note(boost::system::error_code code) -> bool
{
    if (!code) return true;
    broken_ = true;
    failure_ = "writing failed: " + code.message();
    return false;
}

auto server_responder::send(http_response response) -> asio::awaitable<bool>
{
    auto message = http::response<http::string_body>{static_cast<http::status>(response.status), 11};
    copy_headers(message, response.headers);
    message.body() = std::move(response.body);
    message.prepare_payload();
    answered_ = true;
    progress_ = answer_progress::begun;
    stream_.expires_after(server_.limits.write_timeout);
    if (is_head_request_) {
        auto serializer = http::response_serializer<http::string_body>{message};
        auto [code, size] = co_await http::async_write_header(stream_, serializer, awaitable_tuple);
        if (!code) progress_ = answer_progress::complete;
        co_return note(code);
    }
    auto [code, size] = co_await http::async_write(stream_, message, awaitable_tuple);
    if (!code) progress_ = answer_progress::complete;
    co_return note(code);
}

auto server_responder::start(int status, http_headers headers) -> asio::awaitable<bool>
{
    auto message = http::response<http::empty_body>{static_cast<http::status>(status), 11};
    copy_headers(message, headers);
    message.chunked(true);
    answered_ = true;
    progress_ = answer_progress::begun;
    streaming_ = true;
    auto serializer = http::response_serializer<http::empty_body>{message};
    stream_.expires_after(server_.limits.write_timeout);
    auto [code, size] = co_await http::async_write_header(stream_, serializer, awaitable_tuple);
    co_return note(code);
}

auto server_responder::write(std::string_view piece) -> asio::awaitable<bool>
{
    if (piece.empty()) co_return !broken_;
    if (broken_) co_return false;
    if (is_head_request_) co_return true;
    stream_.expires_after(server_.limits.write_timeout);
    auto [code, size] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(piece.data(), piece.size())), awaitable_tuple);
    co_return note(code);
}

auto server_responder::finish() -> asio::awaitable<bool>
{
    streaming_ = false;
    if (broken_) co_return false;
    if (is_head_request_) {
        progress_ = answer_progress::complete;
        co_return true;
    }
    stream_.expires_after(server_.limits.write_timeout);
    auto [code, size] = co_await asio::async_write(stream_, http::make_chunk_last(), awaitable_tuple);
    if (!code) progress_ = answer_progress::complete;
    co_return note(code);
}

auto server_responder::abort() -> void
{
    broken_ = true;
    failure_ = "aborted";
}

auto server_responder::on_disconnect(std::function<void()> callback) -> void
{
    if (!watch_->gone) {
        watch_->callback = std::move(callback);
        return;
    }
    callback();
}

auto server_responder::failure() const -> std::string
{
    return watch_->gone && failure_.empty() ? "caller " + watch_->end : failure_;
}

} // namespace hibiscuswall
