#pragma once
// Callers that book, each with its own key, and repeat a booking at the next entry until it is answered or
// the outcome is told. Every answer is checked.
//
//   auto load = booking_load{system, 4, booking_load::with_keys};
//   ...
//   auto bookings = load.stop();                    // one each: what the caller was told in the end
//
// A caller without keys that repeats all the same is the naive approach: it books twice.

#include "support/deployment.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace hibiscuswall {

struct told_booking {
    std::string key;
    std::string body;
    std::string ran;         // of the last refusal; empty after an answer
    std::string refusal;     // body of the last refusal
    bool all_not_run = true; // every attempt was refused as "not run"
    bool answered = false;   // 200
    bool foreign = false;    // the answer was of another booking
};

class booking_load {
public:
    enum keys { with_keys, without_keys };
    static constexpr auto attempts = 4;
    static constexpr auto caller_timeout = milliseconds{1'500};

    booking_load(deployment& system, int callers, keys use) : use_{use}
    {
        for (auto const* entry : system.entries())
            entries_.push_back(entry->client);
        for (auto i = 0; i < callers; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }
    ~booking_load() { stop(); }
    booking_load(booking_load const&) = delete;
    auto operator=(booking_load const&) -> booking_load& = delete;

    auto stop() -> std::vector<told_booking>
    {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
        return told_;
    }

    [[nodiscard]] auto answered() -> int
    {
        auto const lock = std::lock_guard{mutex_};
        return static_cast<int>(
            std::count_if(told_.begin(), told_.end(), [](auto const& one) { return one.answered; }));
    }

    static auto send(address const& entry, told_booking& booking, bool keyed) -> void
    {
        auto request = http_request{"POST", "/v1/services/booking/visits"};
        request.headers.set("Authorization", "Bearer key-guild");
        request.headers.set("X-Request-Timeout-Ms", static_cast<long long>(caller_timeout.count()));
        if (keyed) request.headers.set("Idempotency-Key", booking.key);
        request.body = booking.body;
        auto const answer = call(entry, std::move(request), milliseconds{8'000});
        booking.answered = answer.status == 200;
        booking.ran = booking.answered ? "" : std::string{answer.headers.find("X-Ran")};
        booking.refusal = booking.answered ? "" : answer.body;
        booking.all_not_run = booking.all_not_run && booking.ran == "no";
        if (!booking.answered) return;
        auto const body = nlohmann::json::parse(answer.body, nullptr, false);
        booking.foreign = !body.is_object() || body.value("body", "") != booking.body;
    }

private:
    auto run(int caller) -> void
    {
        for (auto number = 0; !stopping_; ++number) {
            auto booking = told_booking{};
            booking.key = "visit-" + std::to_string(caller) + "-" + std::to_string(number);
            booking.body = "ridge " + booking.key;
            for (auto i = 0; i < attempts && !booking.answered && !stopping_; ++i)
                send(entries_[static_cast<std::size_t>(caller + number + i) % entries_.size()], booking,
                     use_ == with_keys);
            auto const lock = std::lock_guard{mutex_};
            told_.push_back(std::move(booking));
        }
    }

    keys use_;
    std::vector<address> entries_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<told_booking> told_;
};

} // namespace hibiscuswall
