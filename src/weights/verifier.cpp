#include "hibiscuswall/weights/verifier.hpp"

#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {
namespace {

// Capacity of each ring. At most this many jobs are outstanding, so the results always fit.
constexpr auto ring_capacity = std::size_t{256};
constexpr auto ring_full_retry_delay = milliseconds{5};

} // namespace

struct verifier::rings : std::enable_shared_from_this<rings> {
    explicit rings(boost::asio::io_context& context) : io{context} {}

    boost::asio::io_context& io;
    bounded_ring<job> jobs{ring_capacity};
    bounded_ring<outcome> results{ring_capacity};
    std::function<void()> drain; // runs on the network thread; reset before the verifier is destroyed
};

verifier::verifier(boost::asio::io_context& io) : io_{io}, rings_{std::make_shared<rings>(io)}
{
    rings_->drain = [this] {
        auto const found = rings_->results.pop();
        auto const entry = found ? waiters_.find(found->id) : waiters_.end();
        if (entry == waiters_.end()) return;
        entry->second->finished = true;
        entry->second->matches = found->matches;
        entry->second->done.cancel();
        waiters_.erase(entry);
    };
    thread_ = std::thread{[shared = rings_] { run(*shared); }};
}

verifier::~verifier()
{
    rings_->drain = nullptr;
    rings_->jobs.close();
    thread_.join();
    rings_->results.close();
}

auto verifier::run(rings& shared) -> void
{
    while (auto next = shared.jobs.pop()) {
        auto hasher = sha256_hasher{};
        for (auto const& part : next->parts)
            hasher.update(*part);
        shared.results.try_push({next->id, hasher.finish() == next->expected});
        boost::asio::post(shared.io, [owner = shared.shared_from_this()] {
            if (owner->drain) owner->drain();
        });
    }
}

auto verifier::matches(std::vector<chunk_bytes> parts, std::string expected) -> boost::asio::awaitable<bool>
{
    auto const pending = std::make_shared<waiter>(waiter{clock_timer{io_, time_point::max()}, false, false});
    auto const id = next_id_++;
    while (true) {
        auto work = job{id, parts, expected};
        if (waiters_.size() < ring_capacity && rings_->jobs.try_push(std::move(work))) break;
        co_await sleep_for(ring_full_retry_delay);
    }
    waiters_.emplace(id, pending);
    while (!pending->finished)
        co_await pending->done.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    co_return pending->matches;
}

} // namespace hibiscuswall
