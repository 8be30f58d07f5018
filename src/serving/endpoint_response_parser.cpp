#include "hibiscuswall/serving/endpoint_response_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>

namespace hibiscuswall {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto header_limit = std::uint32_t{32 * 1024}; // bytes of an answer's header

} // namespace

// Keeps what Beast's parser finds; the body goes to a string that the owner takes.
class answer_parser::message final : public http::basic_parser<false> {
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
    auto on_response_impl(int number, beast::string_view /*reason*/, int /*version*/, error_code& /*code*/)
        -> void override
    {
        status = number;
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
    auto on_body_impl(beast::string_view piece, error_code& /*code*/) -> std::size_t override
    {
        body.append(piece.data(), piece.size());
        return piece.size();
    }
    auto on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, error_code& /*code*/)
        -> void override
    {
    }
    auto on_chunk_body_impl(std::uint64_t /*left*/, beast::string_view piece, error_code& /*code*/)
        -> std::size_t override
    {
        body.append(piece.data(), piece.size());
        return piece.size();
    }
    auto on_finish_impl(error_code& /*code*/) -> void override {}
};

answer_parser::answer_parser(bool is_head_request) : is_head_request_{is_head_request} { begin_message(); }
answer_parser::~answer_parser() = default;
answer_parser::answer_parser(answer_parser&&) noexcept = default;
auto answer_parser::operator=(answer_parser&&) noexcept -> answer_parser& = default;

auto answer_parser::begin_message() -> void
{
    message_ = std::make_unique<message>();
    message_->eager(true);
    message_->header_limit(header_limit);
    message_->body_limit(boost::none);
    message_->skip(is_head_request_);
    state_ = answer_state::head;
}

auto answer_parser::restart() -> void
{
    begin_message();
    advance();
}

auto answer_parser::feed(std::string_view bytes) -> void
{
    begun_ = begun_ || !bytes.empty();
    pending_ += bytes;
    advance();
}

auto answer_parser::advance() -> void
{
    while (state_ == answer_state::head || state_ == answer_state::body) {
        auto code = beast::error_code{};
        auto used = std::size_t{0};
        while (!code && used < pending_.size() && !message_->is_done())
            used += message_->put(boost::asio::buffer(pending_.data() + used, pending_.size() - used), code);
        pending_.erase(0, used);
        if (code && code != http::error::need_more) {
            state_ = answer_state::broken;
            return;
        }
        if (message_->has_head) state_ = answer_state::body;
        if (!message_->is_done()) return;
        state_ = answer_state::whole;
        // An interim answer is followed by another message.
        if (message_->status >= 100 && message_->status < 200) begin_message();
    }
}

auto answer_parser::end_of_input(bool clean) -> void
{
    if (state_ == answer_state::whole || state_ == answer_state::broken) return;
    auto code = beast::error_code{};
    if (clean && message_->has_head) message_->put_eof(code);
    auto const ended = clean && message_->has_head && !code && message_->is_done();
    state_ = ended ? answer_state::whole : answer_state::broken;
}

auto answer_parser::state() const -> answer_state { return state_; }
auto answer_parser::has_head() const -> bool { return message_->has_head && message_->status >= 200; }
auto answer_parser::status() const -> int { return message_->status; }
auto answer_parser::headers() const -> http_headers const& { return message_->headers; }
auto answer_parser::take_body() -> std::string { return std::exchange(message_->body, {}); }
auto answer_parser::excess() const -> std::size_t
{
    return state_ == answer_state::whole ? pending_.size() : 0;
}
auto answer_parser::keeps_connection() const -> bool { return message_->keep_alive(); }
auto answer_parser::has_begun() const -> bool { return begun_; }

} // namespace hibiscuswall
