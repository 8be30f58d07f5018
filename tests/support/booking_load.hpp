#pragma once
// Load generator for bookings. Each caller uses a key per booking and retries it at the next entry until it
// is answered, its attempts are used up or the load is stopped. Every response with status 200 is checked
// against its booking.
//
//   auto load = booking_load{system, 4, booking_load::with_keys};
//   ...
//   auto results = load.stop();                     // one per booking, with its last response
//
// Callers without keys retry as well. They serve as the unprotected baseline, which books twice.

#include "support/deployment.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace hibiscuswall {

struct booking_result {
    std::string key;
    std::string body;
    std::string ran;             // X-Ran of the last response; empty: answered, or the header was missing.
    std::string last_error_body; // Body of the last error response.
    bool all_not_run = true;     // Every attempt was rejected as "not run".
    bool answered = false;       // The last response had status 200.
    bool is_mismatched = false;  // The response belongs to another booking.
};

class booking_load {
public:
    enum keys { with_keys, without_keys };
    static constexpr auto attempts = 4;
    static constexpr auto caller_timeout = milliseconds{1'500};

    booking_load(deployment& system, int callers, keys key_use) : key_use_{key_use}
    {
        for (auto const* entry : system.entries())
            entries_.push_back(entry->client);
        for (auto i = 0; i < callers; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }
    ~booking_load() { stop(); }
    booking_load(booking_load const&) = delete;
    auto operator=(booking_load const&) -> booking_load& = delete;

    auto stop() -> std::vector<booking_result>
    {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
        return results_;
    }

    [[nodiscard]] auto answered() -> int
    {
        auto const lock = std::lock_guard{mutex_};
        return static_cast<int>(std::count_if(results_.begin(), results_.end(),
                                              [](auto const& result) { return result.answered; }));
    }

    static auto send(address const& entry, booking_result& booking, bool keyed) -> void
    {
        auto request = http_request{"POST", "/v1/services/booking/visits"};
        request.headers.set("Authorization", "Bearer key-guild");
        request.headers.set("X-Request-Timeout-Ms", static_cast<long long>(caller_timeout.count()));
        if (keyed) request.headers.set("Idempotency-Key", booking.key);
        request.body = booking.body;
        auto const response = call(entry, std::move(request), milliseconds{8'000});
        booking.answered = response.status == 200;
        booking.ran = booking.answered ? "" : std::string{response.headers.find("X-Ran")};
        booking.last_error_body = booking.answered ? "" : response.body;
        booking.all_not_run = booking.all_not_run && booking.ran == "no";
        if (!booking.answered) return;
        auto const body = nlohmann::json::parse(response.body, nullptr, false);
        booking.is_mismatched = !body.is_object() || body.value("body", "") != booking.body;
    }

private:
    auto run(int caller) -> void
    {
        for (auto sequence = 0; !stopping_; ++sequence) {
            auto booking = booking_result{};
            booking.key = "visit-" + std::to_string(caller) + "-" + std::to_string(sequence);
            booking.body = "ridge " + booking.key;
            for (auto i = 0; i < attempts && !booking.answered && !stopping_; ++i)
                send(entries_[static_cast<std::size_t>(caller + sequence + i) % entries_.size()], booking,
                     key_use_ == with_keys);
            auto const lock = std::lock_guard{mutex_};
            results_.push_back(std::move(booking));
        }
    }

    keys key_use_;
    std::vector<address> entries_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<booking_result> results_;
};

} // namespace hibiscuswall
