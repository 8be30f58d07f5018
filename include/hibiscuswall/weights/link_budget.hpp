#pragma once
// Token bucket for one direction of a host's link. Live requests take first: they are counted but never wait;
// weights wait until the bucket is positive again.
//
//   link.live(bytes);                                  // answer of a live request
//   co_await link.bulk(bytes);                         // piece of a chunk
//
// token_bucket is the plain rule; link_budget waits by it, first come, first served.

#include "hibiscuswall/core/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>

namespace hibiscuswall {

class token_bucket {
public:
    // rate in bytes a second, 0: unlimited; burst in bytes.
    token_bucket(std::uint64_t rate, std::uint64_t burst, time_point now);

    // From now on; what is owed stays owed.
    auto set_rate(std::uint64_t rate, time_point now) -> void;

    // Takes the bytes, into debt if need be.
    auto take(std::uint64_t bytes, time_point now) -> void;

    // The same for live requests, which weigh more and leave a bounded debt.
    auto take_live(std::uint64_t bytes, time_point now) -> void;

    auto limit_debt() -> void;

    // Longest wait of a piece of weights for live requests: it keeps a quarter of the rate.
    [[nodiscard]] auto longest_wait(std::uint64_t bytes) const -> clock::duration;

    // How long until the bucket is out of debt; zero when it is.
    [[nodiscard]] auto wait(time_point now) -> clock::duration;

private:
    auto refill(time_point now) -> void;

    double rate_;
    double burst_;
    double level_;
    time_point last_;
};

class link_budget {
public:
    link_budget(boost::asio::io_context& io, std::uint64_t rate, std::uint64_t burst);

    auto set_rate(std::uint64_t rate) -> void; // 0: unlimited
    auto live(std::uint64_t bytes) -> void;
    auto bulk(std::uint64_t bytes) -> boost::asio::awaitable<void>;

    [[nodiscard]] auto bulk_bytes() const -> std::uint64_t { return bulk_bytes_; }

private:
    boost::asio::io_context& io_;
    token_bucket bucket_;
    std::uint64_t bulk_bytes_ = 0;
    std::uint64_t next_ticket_ = 0;
    std::uint64_t serving_ = 0;
    boost::asio::steady_timer turn_; // cancelled when the next ticket may go
    bool limited_ = false;
    bool yields_ = false; // live requests use this link
};

} // namespace hibiscuswall
