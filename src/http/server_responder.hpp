#pragma once
// Writes the answer to one request of a caller, whole or piece by piece.
//
//   auto out = server_responder{stream, state, watch, keep_alive, is_head_request};
//   co_await handler(request, out);
//   if (!out.reusable()) close_the_connection();

#include "disconnect_watch.hpp"
#include "http_server_state.hpp"

#include "hibiscuswall/http/http_router.hpp"

#include <memory>
#include <string>

namespace hibiscuswall {

class server_responder final : public http_responder {
public:
    server_responder(boost::beast::tcp_stream& stream, http_server::state& server,
                     std::shared_ptr<disconnect_watch> watch, bool keep_alive, bool is_head_request = false)
        : stream_{stream}, server_{server}, watch_{std::move(watch)}, keep_alive_{keep_alive},
          is_head_request_{is_head_request}
    {
    }

    auto send(http_response response) -> asio::awaitable<bool> override;
    auto start(int status, http_headers headers) -> asio::awaitable<bool> override;
    auto write(std::string_view piece) -> asio::awaitable<bool> override;
    auto finish() -> asio::awaitable<bool> override;
    auto abort() -> void override;
    auto on_disconnect(std::function<void()> callback) -> void override;
    [[nodiscard]] auto disconnected() const -> bool override { return watch_->gone || broken_; }

    [[nodiscard]] auto progress() const -> answer_progress override { return progress_; }
    [[nodiscard]] auto failure() const -> std::string override;
    [[nodiscard]] auto answered() const -> bool { return answered_; }

    // Whether the connection can carry another request: every byte of this answer left and was complete.
    [[nodiscard]] auto reusable() const -> bool
    {
        return announced_keep_alive_ && answered_ && !streaming_ && !broken_ && !server_.stopping;
    }

private:
    template<class Message>
    auto copy_headers(Message& message, http_headers const& headers) -> void;
    auto note(boost::system::error_code code) -> bool;

    boost::beast::tcp_stream& stream_;
    http_server::state& server_;
    std::shared_ptr<disconnect_watch> watch_;
    bool keep_alive_;
    bool is_head_request_;              // the answer has a header only
    bool announced_keep_alive_ = false; // as the answer's header said
    bool answered_ = false;
    bool streaming_ = false;
    bool broken_ = false;
    answer_progress progress_ = answer_progress::none;
    std::string failure_;
};

} // namespace hibiscuswall
