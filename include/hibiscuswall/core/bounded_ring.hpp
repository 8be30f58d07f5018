#pragma once
// A bounded queue between two threads. A consumer that finds it empty blocks; a producer that finds it full
// is told.
//
//   bounded_ring<job> jobs{1024};
//   if (!jobs.try_push(job)) { /* full: report, do not wait */ }
//   while (auto job = jobs.pop()) run(*job);     // ends after close() once the ring is empty

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace hibiscuswall {

template<class T>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : items_{capacity} {}

    // False when the ring is full or closed.
    auto try_push(T item) -> bool
    {
        {
            auto lock = std::lock_guard{mutex_};
            if (closed_ || items_.full()) return false;
            items_.push_back(std::move(item));
        }
        ready_.notify_one();
        return true;
    }

    // Blocks until an item comes; empty after close() once all items are taken.
    auto pop() -> std::optional<T>
    {
        auto lock = std::unique_lock{mutex_};
        ready_.wait(lock, [&] { return closed_ || !items_.empty(); });
        if (items_.empty()) return std::nullopt;
        auto item = std::optional<T>{std::move(items_.front())};
        items_.pop_front();
        return item;
    }

    auto close() -> void
    {
        {
            auto lock = std::lock_guard{mutex_};
            closed_ = true;
        }
        ready_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable ready_;
    boost::circular_buffer<T> items_;
    bool closed_ = false;
};

} // namespace hibiscuswall
