#include "hibiscuswall/http/http_server.hpp"

#include "disconnect_watch.hpp"
#include "http_server_state.hpp"
#include "read_limit.hpp"
#include "server_responder.hpp"
#include "unread_time.hpp"

#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <vector>

namespace hibiscuswall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto first_read_bytes = std::size_t{4096};
constexpr auto discard_bytes = std::size_t{16 * 1024}; // read at a time after a refusal

auto refusal(int status, result_code code, std::string message) -> http_response
{
    return json_response(status, error_body(fail(code, std::move(message)), describe(code).outcome));
}

auto to_request(http::request<http::string_body>&& message) -> http_request
{
    auto request = http_request{};
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    for (auto const& field : message)
        request.headers.add(std::string_view{field.name_string()}, std::string_view{field.value()});
    request.body = std::move(message.body());
    return request;
}

// Reads what the caller still sends. Closing a socket with unread bytes resets the connection, and a caller
// whose write fails may never read its answer.
auto discard_rest(beast::tcp_stream& stream, milliseconds time) -> asio::awaitable<void>
{
    auto ignored = boost::system::error_code{};
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    auto scratch = std::vector<char>(discard_bytes);
    stream.expires_after(time);
    while (true) {
        auto [code, size] = co_await stream.async_read_some(asio::buffer(scratch), awaitable_tuple);
        if (code) co_return;
    }
}

// Error answer for a request that could not be read; empty when the connection just ended.
auto read_failure(boost::system::error_code code) -> std::optional<http_response>
{
    if (code == http::error::body_limit)
        return refusal(413, result_code::request_too_large, "the body exceeds the limit");
    if (code == http::error::header_limit || code == http::error::buffer_overflow)
        return refusal(431, result_code::request_too_large, "the header exceeds the limit");
    if (code == beast::error::timeout)
        return refusal(408, result_code::request_timeout, "the request was not received in time");
    if (code.category() == make_error_code(http::error::bad_method).category() &&
        code != http::error::end_of_stream && code != http::error::partial_message)
        return refusal(400, result_code::request_malformed, code.message());
    return std::nullopt;
}

} // namespace

auto http_server::state::accept_loop() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    while (!stopping) {
        auto [code, socket] = co_await acceptor.async_accept(awaitable_tuple);
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) break;
        if (code) {
            // Out of descriptors, for example: accept again after a pause instead of spinning.
            log_event(log_level::warning, "accept_failed", {{"reason", code.message()}});
            auto timer = clock_timer{io, milliseconds{50}};
            co_await timer.async_wait(awaitable_tuple);
            continue;
        }
        if (connections >= limits.connections) { // the socket closes here
            log_event(log_level::warning, "connection_refused",
                      {{"connections", std::to_string(connections)}});
            continue;
        }
        auto ignored = boost::system::error_code{};
        socket.set_option(tcp::no_delay{true}, ignored);
        asio::co_spawn(io, serve(std::move(socket)), asio::detached);
    }
}

auto http_server::state::serve(tcp::socket socket) -> asio::awaitable<void>
{
    auto self = shared_from_this();
    auto stream = beast::tcp_stream{std::move(socket)};
    stream.socket().non_blocking(true);
    ++connections;
    try {
        co_await serve_requests(stream);
    } catch (std::exception const& problem) {
        log_event(log_level::error, "http_connection_failed", {{"reason", problem.what()}});
    }
    --connections;
    idle.erase(&stream);
    auto ignored = boost::system::error_code{};
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream.socket().close(ignored);
}

auto http_server::state::serve_requests(beast::tcp_stream& stream) -> asio::awaitable<void>
{
    auto buffer = beast::flat_buffer{limits.header_bytes + limits.body_bytes};
    while (!stopping) {
        auto received = clock::now();
        // Waits for the first byte with the idle timeout, then reads the whole request with its own.
        if (buffer.size() == 0) {
            idle.insert(&stream);
            stream.expires_after(limits.idle_timeout);
            auto [idle_code, size] = co_await stream.async_read_some(
                buffer.prepare(std::min(first_read_bytes, buffer.max_size())), awaitable_tuple);
            idle.erase(&stream);
            if (idle_code) co_return;
            buffer.commit(size);
            received = clock::now() - unread_time(stream.socket());
        }

        auto parser = http::request_parser<http::string_body>{};
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
        auto limit = read_limit{stream, limits.request_timeout};
        auto [code, size] = co_await http::async_read(stream, buffer, parser, awaitable_tuple);
        auto const late = limit.stop();
        auto watch = std::make_shared<disconnect_watch>(stream);
        if (code) {
            auto failure = read_failure(late ? beast::error::timeout : code);
            log_event(log_level::info, "request_not_read",
                      {{"reason", late ? "timeout" : code.message()},
                       {"target", std::string{parser.get().target()}},
                       {"status", failure ? std::to_string(failure->status) : "none"}});
            if (!failure) co_return;
            auto out = server_responder{stream, *this, watch, false};
            co_await out.send(std::move(*failure));
            co_await discard_rest(stream, limits.linger_timeout);
            co_return;
        }

        auto const keep_alive = parser.get().keep_alive();
        auto request = to_request(parser.release());
        request.received = received;
        if (events != nullptr && request.headers.contains("Hw-Clock"))
            events->observe(static_cast<std::uint64_t>(request.headers.number("Hw-Clock", 0)));
        auto out = server_responder{stream, *this, watch, keep_alive, request.method == "HEAD"};
        stream.expires_never();
        watch->arm();
        ++active;
        co_await handle(request, out);
        --active;
        watch->finish();
        if (!out.reusable()) co_return;
        auto ignored = boost::system::error_code{};
        stream.socket().cancel(ignored); // ends the disconnect watch
    }
}

auto http_server::state::handle(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto const* handler = routes.match(request.method, request.path());
    if (handler == nullptr) {
        auto missing = refusal(404, result_code::resource_not_found, "no such path or method");
        co_await out.send(std::move(missing));
        co_return;
    }
    auto failed = std::string{};
    try {
        co_await (*handler)(request, out);
    } catch (std::exception const& problem) {
        failed = problem.what();
    }
    auto& answer = static_cast<server_responder&>(out);
    if (!failed.empty())
        log_event(log_level::error, "http_handler_failed", {{"target", request.target}, {"reason", failed}});
    if (answer.answered()) co_return;
    // GCC 12 destroys the temporary of a conditional expression inside co_await although it was not
    // constructed.
    if (failed.empty()) failed = "no answer";
    auto fault = refusal(500, result_code::internal_error, failed);
    co_await out.send(std::move(fault));
}

http_server::http_server(asio::io_context& io, http_router const& routes, timeline* events,
                         http_server_limits limits)
    : state_{std::make_shared<state>(io, routes, events, limits)}
{
}

http_server::~http_server() { stop_accepting(); }

auto http_server::listen(address const& where) -> result<void>
{
    auto code = boost::system::error_code{};
    auto const endpoint = tcp::endpoint{asio::ip::make_address(where.ip), where.port};
    state_->acceptor.open(endpoint.protocol(), code);
    if (!code) state_->acceptor.set_option(asio::socket_base::reuse_address{true}, code);
    if (!code) state_->acceptor.bind(endpoint, code);
    if (!code) state_->acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return fail(result_code::settings_invalid,
                    "cannot listen on " + where.text() + ": " + code.message());
    // The loop keeps the state alive from now on: the server may be destroyed before the loop first runs.
    start_loop(state_->io.get_executor(), "accept", [kept = state_] { return kept->accept_loop(); });
    return success();
}

auto http_server::close_after_answers() -> void { state_->closing = true; }
auto http_server::change_limits(http_server_limits limits) -> void { state_->limits = limits; }

auto http_server::stop_accepting() -> void
{
    state_->stopping = true;
    auto ignored = boost::system::error_code{};
    state_->acceptor.close(ignored);
    for (auto* stream : std::set{state_->idle})
        stream->cancel();
}

auto http_server::active() const -> std::size_t { return state_->active; }

} // namespace hibiscuswall
