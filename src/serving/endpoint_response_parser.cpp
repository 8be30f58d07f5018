#include "hibiscuswall/serving/endpoint_response_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>

namespace hibiscuswall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto header_limit = std::uint32_t{32 * 1024};     // maximum header size in bytes
constexpr auto max_unparsed_bytes = std::size_t{64 * 1024}; // of a chunk header or trailer that does not end
constexpr auto max_interim_responses = 8;

} // namespace

// Collects the output of Beast's parser. The body is appended to a string that the owner takes.
class endpoint_response_parser::message final : public http::basic_parser<false> {
public:
    int status = 0;
    http_headers headers;
    std::string body;
    bool has_head = false;

private:
    using error_code = beast::error_code;

    auto on_request_impl(http::verb /*verb*/, beast::string_view /*name*/, beast::string_view /*target*/,
                         int /*version*/, error_code& /*code*/) -> void override
    {
    }
    auto on_response_impl(int number, beast::string_view /*reason*/, int /*version*/, error_code& code)
        -> void override
    {
        status = number;
        if (!is_valid_status(number)) code = http::error::bad_status;
    }
    auto on_field_impl(http::field /*field*/, beast::string_view name, beast::string_view value,
                       error_code& /*code*/) -> void override
    {
        headers.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    auto on_header_impl(error_code& /*code*/) -> void override { has_head = true; }
    auto on_body_init_impl(boost::optional<std::uint64_t> const& /*size*/, error_code& /*code*/)
        -> void override
    {
    }
    auto on_body_impl(beast::string_view bytes, error_code& /*code*/) -> std::size_t override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    auto on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, error_code& /*code*/)
        -> void override
    {
    }
    auto on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view bytes, error_code& /*code*/)
        -> std::size_t override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    auto on_finish_impl(error_code& /*code*/) -> void override {}
};

endpoint_response_parser::endpoint_response_parser(bool is_head_request) : is_head_request_{is_head_request}
{
    begin_message();
}
endpoint_response_parser::~endpoint_response_parser() = default;
endpoint_response_parser::endpoint_response_parser(endpoint_response_parser&&) noexcept = default;
auto endpoint_response_parser::operator=(endpoint_response_parser&&) noexcept
    -> endpoint_response_parser& = default;

auto endpoint_response_parser::begin_message() -> void
{
    message_ = std::make_unique<message>();
    message_->eager(true);
    message_->header_limit(header_limit);
    message_->body_limit(boost::none);
    message_->skip(is_head_request_);
    state_ = response_state::head;
}

auto endpoint_response_parser::restart() -> void
{
    begin_message();
    advance();
}

auto endpoint_response_parser::feed(std::string_view bytes) -> void
{
    begun_ = begun_ || !bytes.empty();
    pending_ += bytes;
    advance();
}

auto endpoint_response_parser::advance() -> void
{
    while (state_ == response_state::head || state_ == response_state::body) {
        auto code = beast::error_code{};
        auto used = std::size_t{0};
        while (!code && used < pending_.size() && !message_->is_done())
            used += message_->put(boost::asio::buffer(pending_.data() + used, pending_.size() - used), code);
        pending_.erase(0, used);
        if (code && code != http::error::need_more) {
            state_ = response_state::invalid;
            return;
        }
        if (message_->has_head) state_ = response_state::body;
        if (!message_->is_done()) {
            if (pending_.size() > max_unparsed_bytes) state_ = response_state::invalid;
            return;
        }
        state_ = response_state::complete;
        // An interim response is followed by another message.
        if (message_->status < 100 || message_->status >= 200) return;
        begin_message();
        if (++interim_responses_ > max_interim_responses) state_ = response_state::invalid;
    }
}

auto endpoint_response_parser::end_of_input(bool clean) -> void
{
    if (state_ == response_state::complete || state_ == response_state::invalid) return;
    auto code = beast::error_code{};
    if (clean && message_->has_head) message_->put_eof(code);
    auto const ended = clean && message_->has_head && !code && message_->is_done();
    state_ = ended ? response_state::complete : response_state::invalid;
}

auto endpoint_response_parser::state() const -> response_state { return state_; }
auto endpoint_response_parser::has_head() const -> bool
{
    return message_->has_head && message_->status >= 200;
}
auto endpoint_response_parser::status() const -> int { return message_->status; }
auto endpoint_response_parser::headers() const -> http_headers const& { return message_->headers; }
auto endpoint_response_parser::take_body() -> std::string { return std::exchange(message_->body, {}); }
auto endpoint_response_parser::body_size() const -> std::size_t { return message_->body.size(); }
auto endpoint_response_parser::excess_bytes() const -> std::size_t
{
    return state_ == response_state::complete ? pending_.size() : 0;
}
auto endpoint_response_parser::allows_reuse() const -> bool { return message_->keep_alive(); }
auto endpoint_response_parser::ends_with_connection() const -> bool
{
    return has_head() && message_->need_eof();
}
auto endpoint_response_parser::has_received_bytes() const -> bool { return begun_; }

} // namespace hibiscuswall
