#include "hibiscuswall/weights/link_budget.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {

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

auto token_bucket::take(std::uint64_t bytes, time_point now) -> void
{
    refill(now);
    level_ -= static_cast<double>(bytes);
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

auto link_budget::live(std::uint64_t bytes) -> void
{
    if (limited_) bucket_.take(bytes, clock::now());
}

auto link_budget::bulk(std::uint64_t bytes) -> boost::asio::awaitable<void>
{
    bulk_bytes_ += bytes;
    if (!limited_) co_return;
    constexpr auto awaitable_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    auto const ticket = next_ticket_++;
    while (serving_ != ticket)
        co_await turn_.async_wait(awaitable_tuple);
    auto timer = boost::asio::steady_timer{io_};
    // Live requests may deepen the debt while this waits.
    for (auto left = bucket_.wait(clock::now()); left > clock::duration::zero();
         left = bucket_.wait(clock::now())) {
        timer.expires_after(left);
        co_await timer.async_wait(awaitable_tuple);
    }
    bucket_.take(bytes, clock::now());
    ++serving_;
    turn_.cancel();
}

} // namespace hibiscuswall
