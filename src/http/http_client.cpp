#include "hibiscuswall/http/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace hibiscuswall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto awaitable_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto idle_connections_per_address = std::size_t{16};
constexpr auto idle_connection_lifetime = seconds{30}; // below the server's idle timeout of 60 s
constexpr auto idle_sweep_interval = seconds{1};       // between closings of idle connections
constexpr auto piece_bytes = std::size_t{64 * 1024};

// Bytes of an answer that are received and not yet parsed. A chunk's header is parsed once it is complete, so
// one without an end would be kept without a limit.
constexpr auto max_unparsed_bytes = std::size_t{160 * 1024};

struct connection {
    explicit connection(asio::io_context& io) : stream{io}, buffer{max_unparsed_bytes} {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idle_since;
    bool reused = false;
};

using connection_ptr = std::unique_ptr<connection>;

// Whether the other side closed a kept-alive connection or left bytes in it.
auto is_stale(connection& held) -> bool
{
    auto byte = char{};
    auto code = boost::system::error_code{};
    held.stream.socket().non_blocking(true, code);
    held.stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code != asio::error::would_block && code != asio::error::try_again;
}

// A connection that goes silent for good, without a reset, fails after about three seconds. Only long waits
// for a response depend on it.
auto set_keep_alive(tcp::socket& socket) -> void
{
    using idle_option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval_option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using count_option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    auto ignored = boost::system::error_code{};
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(idle_option{1}, ignored);
    socket.set_option(interval_option{1}, ignored);
    socket.set_option(count_option{2}, ignored);
}

// Gives the socket its source address; without an address the kernel chooses.
auto bind_source(tcp::socket& socket, std::string const& ip) -> boost::system::error_code
{
    auto code = boost::system::error_code{};
    if (ip.empty()) return code;
    auto const own = asio::ip::make_address(ip, code);
    if (code) return code;
    auto const any_port = tcp::endpoint{own, 0};
    socket.open(any_port.protocol(), code);
    if (code) return code;
    // The port is chosen by the connect: one port then serves connections to different targets.
    using late_port = asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    socket.set_option(late_port{true}, code);
    socket.bind(any_port, code);
    return code;
}

// The timeout, or what is left until the deadline.
auto shorter(milliseconds timeout, std::optional<time_point> deadline) -> milliseconds
{
    if (!deadline) return timeout;
    auto const left = std::chrono::ceil<milliseconds>(*deadline - clock::now());
    return std::clamp(left, milliseconds{0}, timeout);
}

auto is_silence(boost::system::error_code code) -> bool
{
    return code == beast::error::timeout || code == asio::error::timed_out;
}

auto transport_error(boost::system::error_code code, address const& where) -> error
{
    auto const what = where.text() + ": " + code.message();
    if (code == beast::error::timeout) return fail(result_code::transport_timeout, what);
    if (code.category() == make_error_code(http::error::bad_method).category() &&
        code != http::error::end_of_stream && code != http::error::partial_message)
        return fail(result_code::response_malformed, what);
    return fail(result_code::connection_lost, what);
}

auto to_message(http_request&& request, address const& where, timeline* events)
    -> http::request<http::string_body>
{
    auto message = http::request<http::string_body>{};
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, where.text());
    for (auto const& header : request.headers.all())
        message.set(header.name, header.value);
    if (events != nullptr) message.set("Hw-Clock", std::to_string(events->tick()));
    message.body() = std::move(request.body);
    message.erase(http::field::content_length);
    message.erase(http::field::transfer_encoding);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

} // namespace

struct http_client::state : std::enable_shared_from_this<state> {
    asio::io_context& io;
    timeline* events = nullptr;
    std::map<address, std::vector<connection_ptr>> idle;
    std::string source; // IP of outgoing connections; empty: the kernel chooses
    traffic_by_purpose traffic;
    time_point swept_at;

    state(asio::io_context& context, timeline* line) : io{context}, events{line} {}

    auto counts_of(std::string_view purpose) -> http_traffic&
    {
        auto const found = traffic.find(purpose);
        return found != traffic.end() ? found->second : traffic[std::string{purpose}];
    }

    auto take(address const& where, time_point now) -> connection_ptr
    {
        auto& list = idle[where];
        while (!list.empty()) {
            auto held = std::move(list.back());
            list.pop_back();
            if (now - held->idle_since > idle_connection_lifetime || is_stale(*held)) continue;
            held->reused = true;
            return held;
        }
        return nullptr;
    }

    // An address that is not asked again, such as one of thousands of peers, would keep its connection for
    // good.
    auto sweep(time_point now) -> void
    {
        swept_at = now;
        for (auto& [where, list] : idle)
            std::erase_if(list, [&](auto const& held) {
                return now - held->idle_since > idle_connection_lifetime || is_stale(*held);
            });
        std::erase_if(idle, [](auto const& item) { return item.second.empty(); });
    }

    auto give_back(address const& where, connection_ptr held, time_point now) -> void
    {
        if (now - swept_at >= idle_sweep_interval) sweep(now);
        auto& list = idle[where];
        if (list.size() >= idle_connections_per_address || held->buffer.size() > 0) return;
        held->stream.expires_never();
        held->idle_since = now;
        list.push_back(std::move(held));
    }

    // Connections to one address that go silent, without a reset, do so together: one that was idle meanwhile
    // would cost the next call its whole timeout.
    auto drop_idle(address const& where) -> void { idle.erase(where); }

    auto connect(address const& where, milliseconds timeout) -> asio::awaitable<result<connection_ptr>>
    {
        auto fresh = std::make_unique<connection>(io);
        auto const target = tcp::endpoint{asio::ip::make_address(where.ip), where.port};
        if (auto const unbound = bind_source(fresh->stream.socket(), source))
            co_return fail(result_code::connect_failed, source + ": " + unbound.message());
        fresh->stream.expires_after(timeout);
        auto [code] = co_await fresh->stream.async_connect(target, awaitable_tuple);
        if (code) co_return fail(result_code::connect_failed, where.text() + ": " + code.message());
        auto ignored = boost::system::error_code{};
        fresh->stream.socket().set_option(tcp::no_delay{true}, ignored);
        set_keep_alive(fresh->stream.socket());
        co_return fresh;
    }

    auto exchange(address where, http_request request, http_call_options options,
                  std::optional<time_point> deadline)
        -> asio::awaitable<result<std::unique_ptr<http_stream>>>;
};

namespace {

class response_stream final : public http_stream {
public:
    response_stream(std::shared_ptr<http_client::state> client, address where, connection_ptr held,
                    http_call_options options, std::optional<time_point> deadline)
        : client_{std::move(client)}, where_{std::move(where)}, connection_{std::move(held)},
          options_{options}, deadline_{deadline}, counts_{client_->counts_of(options.purpose)}
    {
        parser_.body_limit(options.body_limit);
        parser_.header_limit(32 * 1024);
    }

    auto read_header() -> asio::awaitable<boost::system::error_code>
    {
        set_expiry();
        auto [code, size] = co_await http::async_read_header(connection_->stream, connection_->buffer,
                                                             parser_, awaitable_tuple);
        counts_.received += size;
        if (code) co_return code;
        if (!is_valid_status(status())) co_return make_error_code(http::error::bad_status);
        for (auto const& field : parser_.get())
            headers_.set(std::string_view{field.name_string()}, std::string_view{field.value()});
        if (client_->events != nullptr && headers_.contains("Hw-Clock"))
            client_->events->observe(static_cast<std::uint64_t>(headers_.number("Hw-Clock", 0)));
        if (!options_.may_end_with_connection && !parser_.is_done() && parser_.need_eof())
            co_return make_error_code(http::error::bad_content_length);
        co_return code;
    }

    [[nodiscard]] auto status() const -> int override { return static_cast<int>(parser_.get().result_int()); }
    [[nodiscard]] auto headers() const -> http_headers const& override { return headers_; }

    auto read() -> asio::awaitable<result<std::optional<std::string>>> override
    {
        while (true) {
            if (connection_ == nullptr) co_return std::optional<std::string>{};
            if (parser_.is_done()) {
                finish();
                co_return std::optional<std::string>{};
            }
            // Not zeroed: a stream reads a few bytes for each event.
            auto const piece = std::make_unique_for_overwrite<char[]>(piece_bytes);
            parser_.get().body().data = piece.get();
            parser_.get().body().size = piece_bytes;
            set_expiry();
            auto [code, size] = co_await http::async_read_some(connection_->stream, connection_->buffer,
                                                               parser_, awaitable_tuple);
            counts_.received += size;
            if (is_silence(code)) client_->drop_idle(where_);
            if (code && code != http::error::need_buffer) co_return transport_error(code, where_);
            if (auto const bad = take_buffered()) co_return transport_error(bad, where_);
            auto const filled = piece_bytes - parser_.get().body().size;
            if (filled > 0) co_return std::optional{std::string(piece.get(), filled)};
        }
    }

    auto read_all() -> asio::awaitable<result<std::string>> override
    {
        auto whole = std::string{};
        while (true) {
            auto piece = co_await read();
            if (!piece) co_return piece.error();
            if (!piece.value()) co_return whole;
            whole += *piece.value();
        }
    }

    auto set_read_timeout(milliseconds each) -> void override
    {
        options_.timeout = each;
        deadline_.reset();
    }

    auto set_deadline(time_point latest) -> void override { deadline_ = latest; }

    auto cancel() -> void override
    {
        if (connection_ == nullptr) return;
        auto ignored = boost::system::error_code{};
        connection_->stream.socket().close(ignored);
    }

private:
    // A read stops after one chunk. Chunks that arrived with it join the piece, as far as there is room.
    auto take_buffered() -> boost::system::error_code
    {
        auto& body = parser_.get().body();
        while (!parser_.is_done() && body.size > 0 && connection_->buffer.size() > 0) {
            auto code = boost::system::error_code{};
            auto const used = parser_.put(connection_->buffer.data(), code);
            connection_->buffer.consume(used);
            counts_.received += used;
            if (code == http::error::need_more || code == http::error::need_buffer) break;
            if (code) return code;
            if (used == 0) break;
        }
        return {};
    }

    auto set_expiry() -> void
    {
        if (deadline_)
            connection_->stream.expires_after(*deadline_ - clock::now());
        else
            connection_->stream.expires_after(options_.timeout);
    }

    auto finish() -> void
    {
        auto const keep = options_.keep_connection && parser_.keep_alive();
        if (keep) client_->give_back(where_, std::move(connection_), clock::now());
        connection_.reset();
    }

    std::shared_ptr<http_client::state> client_;
    address where_;
    connection_ptr connection_;
    http_call_options options_;
    std::optional<time_point> deadline_; // of all that is read; without it each piece has options_.timeout
    http::response_parser<http::buffer_body> parser_;
    http_headers headers_;
    http_traffic& counts_; // in the client's state
};

} // namespace

auto http_client::state::exchange(address where, http_request request, http_call_options options,
                                  std::optional<time_point> deadline)
    -> asio::awaitable<result<std::unique_ptr<http_stream>>>
{
    auto self = shared_from_this();
    auto const message = to_message(std::move(request), where, events);
    auto held = options.fresh_connection ? nullptr : take(where, clock::now());
    while (true) {
        if (held == nullptr) {
            auto made = co_await connect(where, shorter(options.connect_timeout, deadline));
            if (!made) co_return made.error();
            held = std::move(made).value();
        }
        auto const reused = held->reused;
        if (options.send_by && clock::now() > *options.send_by)
            co_return fail(result_code::deadline_exceeded, where.text() + ": not sent before its deadline");
        held->stream.expires_after(shorter(options.timeout, deadline));
        auto [write_code, size] = co_await http::async_write(held->stream, message, awaitable_tuple);
        counts_of(options.purpose).sent += size;
        auto answer = std::make_unique<response_stream>(self, where, std::move(held), options, deadline);
        auto code = write_code;
        if (!code) code = co_await answer->read_header();
        if (!code) co_return std::unique_ptr<http_stream>{std::move(answer)};
        if (is_silence(code)) drop_idle(where);
        // A kept-alive connection that the other side closed in the meantime: once more on a new one. Callers
        // that must not repeat ask for a fresh connection and never come here.
        auto const closed = code == http::error::end_of_stream || code == asio::error::connection_reset ||
                            code == asio::error::broken_pipe;
        if (!reused || !closed) co_return transport_error(code, where);
        held = nullptr;
    }
}

http_client::http_client(asio::io_context& io, timeline* events) : state_{std::make_shared<state>(io, events)}
{
}
http_client::~http_client() = default;

auto http_client::open(address const& where, http_request request, http_call_options options)
    -> asio::awaitable<result<std::unique_ptr<http_stream>>>
{
    return state_->exchange(where, std::move(request), options, options.header_by);
}

auto http_client::fetch(address const& where, http_request request, http_call_options options)
    -> asio::awaitable<result<http_response>>
{
    auto opened =
        co_await state_->exchange(where, std::move(request), options, clock::now() + options.timeout);
    if (!opened) co_return opened.error();
    auto& answer = *opened.value();
    auto const begun_at = clock::now();
    auto body = co_await answer.read_all();
    if (!body) co_return body.error();
    auto response = http_response{answer.status(), answer.headers(), std::move(body).value()};
    response.begun_at = begun_at;
    co_return response;
}

auto http_client::connect_from(std::string ip) -> void { state_->source = std::move(ip); }
auto http_client::traffic() const -> traffic_by_purpose const& { return state_->traffic; }
auto http_client::idle_connections() const -> std::size_t
{
    auto sum = std::size_t{0};
    for (auto const& [where, list] : state_->idle)
        sum += list.size();
    return sum;
}

} // namespace hibiscuswall
