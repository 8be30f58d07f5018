#pragma once
// One relayed connection of the fault proxy: a reader and a writer for each direction, with a bounded queue
// between them, so that a delay adds latency without lowering the throughput.
//
//   auto relayed = std::make_shared<proxy_connection>(shared, std::move(caller_socket));
//   relayed->start(target);

#include "proxy_faults.hpp"
#include "rate_limiter.hpp"

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <memory>
#include <string>

namespace hibiscuswall {

// What all connections of a proxy share.
struct proxy_shared {
    boost::asio::io_context& io;
    random_source& random;
    proxy_rules rules;
    proxy_counts counts;
    rate_limiter to_target{0};
    rate_limiter to_caller{0};
};

class proxy_connection : public std::enable_shared_from_this<proxy_connection> {
    using tcp = boost::asio::ip::tcp;
    static constexpr auto use_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr auto read_bytes = std::size_t{64 * 1024};
    static constexpr auto queued_pieces = std::size_t{64}; // then the reader waits
    static constexpr auto poll = milliseconds{2};          // of stalled and full queues

    struct piece {
        time_point due;
        std::string bytes; // empty: the sender shut down
    };

    struct direction {
        direction(tcp::socket& source, tcp::socket& sink, bool is_answer)
            : from{source}, to{sink}, answer{is_answer}, wake{source.get_executor()}
        {
        }

        tcp::socket& from;
        tcp::socket& to;
        bool answer; // from the target to the caller
        clock_timer wake;
        std::deque<piece> queue;
        std::size_t sent = 0;
    };

public:
    proxy_connection(proxy_shared& shared, tcp::socket caller)
        : shared_{shared}, caller_{std::move(caller)}, target_{shared.io}, request_{caller_, target_, false},
          answer_{target_, caller_, true}
    {
        auto ignored = boost::system::error_code{};
        source_ = caller_.remote_endpoint(ignored).address().to_string();
        ++shared_.counts.connections;
        ++shared_.counts.open;
    }
    ~proxy_connection() { --shared_.counts.open; }
    proxy_connection(proxy_connection const&) = delete;
    auto operator=(proxy_connection const&) -> proxy_connection& = delete;

    auto start(tcp::endpoint const& target) -> void
    {
        boost::asio::co_spawn(shared_.io, run(shared_from_this(), target), boost::asio::detached);
    }

    [[nodiscard]] auto source() const -> std::string const& { return source_; }

    // Takes what both sides send, for good, and passes nothing on.
    auto silence() -> void { silent_ = true; }

    // Closes both sides with a reset.
    auto reset() -> void
    {
        closed_ = true;
        for (auto* socket : {&caller_, &target_}) {
            auto ignored = boost::system::error_code{};
            socket->set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            socket->close(ignored);
        }
        request_.wake.cancel();
        answer_.wake.cancel();
    }

private:
    // Each loop holds the connection alive.
    static auto run(std::shared_ptr<proxy_connection> self, tcp::endpoint target)
        -> boost::asio::awaitable<void>
    {
        auto [code] = co_await self->target_.async_connect(target, use_tuple);
        if (code) {
            self->reset();
            co_return;
        }
        auto ignored = boost::system::error_code{};
        self->caller_.set_option(tcp::no_delay{true}, ignored);
        self->target_.set_option(tcp::no_delay{true}, ignored);
        for (auto* way : {&self->request_, &self->answer_}) {
            boost::asio::co_spawn(self->shared_.io, read_loop(self, way), boost::asio::detached);
            boost::asio::co_spawn(self->shared_.io, write_loop(self, way), boost::asio::detached);
        }
    }

    static auto read_loop(std::shared_ptr<proxy_connection> self, direction* way)
        -> boost::asio::awaitable<void>
    {
        auto buffer = std::string(read_bytes, '\0');
        while (!self->closed_) {
            while (way->queue.size() >= queued_pieces && !self->closed_)
                co_await sleep_for(poll);
            auto [code, size] = co_await way->from.async_read_some(boost::asio::buffer(buffer), use_tuple);
            if (code && (code != boost::asio::error::eof || self->silent_)) {
                self->reset();
                co_return;
            }
            way->queue.push_back({clock::now() + self->faults().delay, buffer.substr(0, size)});
            way->wake.cancel();
            if (code) co_return;
        }
    }

    [[nodiscard]] auto faults() const -> proxy_faults& { return shared_.rules.of(source_); }

    [[nodiscard]] auto held(direction const& way) const -> bool
    {
        return !closed_ && (silent_ || faults().stall || (way.answer && faults().hold_answers));
    }

    static auto write_loop(std::shared_ptr<proxy_connection> self, direction* way)
        -> boost::asio::awaitable<void>
    {
        while (!self->closed_) {
            if (way->queue.empty()) {
                way->wake.expires_at(time_point::max());
                co_await way->wake.async_wait(use_tuple);
                continue;
            }
            auto next = std::move(way->queue.front());
            way->queue.pop_front();
            auto const wait = std::chrono::ceil<milliseconds>(next.due - clock::now());
            if (wait.count() > 0) co_await sleep_for(wait);
            while (self->held(*way))
                co_await sleep_for(poll);
            if (self->closed_) co_return;
            if (next.bytes.empty()) {
                auto ignored = boost::system::error_code{};
                way->to.shutdown(tcp::socket::shutdown_send, ignored);
                co_return;
            }
            if (way->answer && !self->apply_answer_faults(*way, next.bytes)) co_return;
            auto& limiter = way->answer ? self->shared_.to_caller : self->shared_.to_target;
            co_await limiter.take(next.bytes.size());
            auto [code, size] =
                co_await boost::asio::async_write(way->to, boost::asio::buffer(next.bytes), use_tuple);
            if (code) {
                self->reset();
                co_return;
            }
            way->sent += size;
            (way->answer ? self->shared_.counts.bytes_to_caller : self->shared_.counts.bytes_to_target) +=
                size;
            if (way->answer && !self->finish_answer(*way)) co_return;
        }
    }

    // False when the connection was reset.
    auto apply_answer_faults(direction& way, std::string& bytes) -> bool
    {
        auto& active = faults();
        if (active.drop_answers > 0) {
            --active.drop_answers;
            ++shared_.counts.dropped_answers;
            reset();
            return false;
        }
        if (active.corrupt > 0 && shared_.random.fraction() < active.corrupt) {
            ++shared_.counts.corrupted;
            auto& byte = bytes[shared_.random.below(bytes.size())];
            byte = static_cast<char>(~byte);
        }
        if (active.cut_after > 0 && way.sent + bytes.size() > active.cut_after)
            bytes.resize(active.cut_after > way.sent ? active.cut_after - way.sent : 1);
        return true;
    }

    // False when nothing more is sent to the caller.
    auto finish_answer(direction& way) -> bool
    {
        auto& active = faults();
        if (active.cut_after > 0 && way.sent >= active.cut_after) {
            reset();
            return false;
        }
        if (!active.half_close) return true;
        active.half_close = false;
        auto ignored = boost::system::error_code{};
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
        return false;
    }

    proxy_shared& shared_;
    tcp::socket caller_;
    tcp::socket target_;
    direction request_;
    direction answer_;
    std::string source_; // IP of the caller
    bool closed_ = false;
    bool silent_ = false;
};

} // namespace hibiscuswall
