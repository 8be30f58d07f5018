#pragma once
// Token bucket for one direction of a host's link. Client calls have priority: their bytes are counted but
// never delayed. Transfers wait until the bucket is out of debt.
//
//   link.charge_requests(bytes);                       // after bytes of client calls
//   co_await link.acquire_transfer(bytes);             // before a piece of a chunk
//
// token_bucket computes levels and waits; link_budget awaits them in order of arrival.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace hibiscuswall {

class token_bucket {
public:
    // rate in bytes per second, 0 means unlimited; burst in bytes.
    token_bucket(std::uint64_t rate, std::uint64_t burst, time_point now);

    // Changes the rate from now on. An existing debt stays.
    auto set_rate(std::uint64_t rate, time_point now) -> void;

    // Takes the bytes, even if that leaves a debt.
    auto take(std::uint64_t bytes, time_point now) -> void;

    // The same for bytes of client calls, which count with a higher weight and leave a bounded debt.
    auto take_request_bytes(std::uint64_t bytes, time_point now) -> void;

    // Reduces the debt to the bound.
    auto limit_debt() -> void;

    // Longest time for which client calls may delay a piece of a transfer: transfers keep a quarter of the
    // rate.
    [[nodiscard]] auto max_transfer_wait(std::uint64_t bytes) const -> clock::duration;

    // Time until the bucket is out of debt; zero if it has none.
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

    auto set_rate(std::uint64_t rate) -> void; // bytes per second, 0 means unlimited
    auto charge_requests(std::uint64_t bytes) -> void;
    auto acquire_transfer(std::uint64_t bytes) -> boost::asio::awaitable<void>;

    [[nodiscard]] auto transfer_bytes() const -> std::uint64_t { return transfer_bytes_; }

private:
    boost::asio::io_context& io_;
    token_bucket bucket_;
    std::uint64_t transfer_bytes_ = 0;
    std::uint64_t next_ticket_ = 0;
    std::uint64_t serving_ = 0;
    clock_timer turn_;                 // cancelled when the next ticket is served
    bool limited_ = false;             // the rate is not 0
    bool has_request_traffic_ = false; // client calls use this link
};

} // namespace hibiscuswall
