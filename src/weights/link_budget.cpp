#include "hibiscuswall/weights/link_budget.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

// Bytes of the link's rate that transfers give up for each byte of client calls. With 1, the link stays full
// and client calls wait in its queue; with 2, the queue drains while there are client calls.
constexpr auto request_byte_weight = std::uint64_t{2};
// Transfers keep this fraction of the link, so that chunks that only this host holds still reach its region.
constexpr auto min_transfer_fraction = 0.25;
// Debt that client calls can cause for transfers, in seconds of the rate.
constexpr auto max_debt_seconds = 1.0;

} // namespace

token_bucket::token_bucket(std::uint64_t rate, std::uint64_t burst, time_point now)
    : rate_{static_cast<double>(rate)}, burst_{static_cast<double>(burst)}, level_{burst_}, last_{now}
{
}

auto token_bucket::refill(time_point now) -> void
{
    auto const elapsed = std::chrono::duration<double>(now - last_).count();
    level_ = std::min(burst_, level_ + elapsed * rate_);
    last_ = std::max(last_, now);
}

auto token_bucket::set_rate(std::uint64_t rate, time_point now) -> void
{
    refill(now);
    rate_ = static_cast<double>(rate);
}

auto token_bucket::take(std::uint64_t bytes, time_point now) -> void
{
    refill(now);
    level_ -= static_cast<double>(bytes);
}

auto token_bucket::take_request_bytes(std::uint64_t bytes, time_point now) -> void
{
    refill(now);
    level_ -= static_cast<double>(request_byte_weight * bytes);
    limit_debt();
}

auto token_bucket::limit_debt() -> void { level_ = std::max(level_, -max_debt_seconds * rate_); }

auto token_bucket::max_transfer_wait(std::uint64_t bytes) const -> clock::duration
{
    if (rate_ <= 0) return clock::duration::zero();
    return std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / (min_transfer_fraction * rate_)));
}

auto token_bucket::wait(time_point now) -> clock::duration
{
    refill(now);
    if (rate_ <= 0 || level_ >= 0) return clock::duration::zero();
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(-level_ / rate_));
}

link_budget::link_budget(boost::asio::io_context& io, std::uint64_t rate, std::uint64_t burst)
    : io_{io}, bucket_{rate, burst, clock::now()}, turn_{io, time_point::max()}, limited_{rate > 0}
{
}

auto link_budget::set_rate(std::uint64_t rate) -> void
{
    bucket_.set_rate(rate, clock::now());
    limited_ = rate > 0;
}

auto link_budget::charge_requests(std::uint64_t bytes) -> void
{
    if (!limited_) return;
    has_request_traffic_ = true;
    bucket_.take_request_bytes(bytes, clock::now());
}

auto link_budget::acquire_transfer(std::uint64_t bytes) -> boost::asio::awaitable<void>
{
    transfer_bytes_ += bytes;
    if (!limited_) co_return;
    constexpr auto awaitable_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    auto const ticket = next_ticket_++;
    while (serving_ != ticket)
        co_await turn_.async_wait(awaitable_tuple);
    auto timer = clock_timer{io_};
    // Client calls may increase the debt during the wait.
    auto const latest =
        has_request_traffic_ ? clock::now() + bucket_.max_transfer_wait(bytes) : time_point::max();
    for (auto now = clock::now(); now < latest; now = clock::now()) {
        auto const remaining_wait = bucket_.wait(now);
        if (remaining_wait <= clock::duration::zero()) break;
        timer.expires_at(std::min(now + remaining_wait, latest));
        co_await timer.async_wait(awaitable_tuple);
    }
    bucket_.take(bytes, clock::now());
    if (has_request_traffic_) bucket_.limit_debt();
    ++serving_;
    turn_.cancel();
}

} // namespace hibiscuswall
