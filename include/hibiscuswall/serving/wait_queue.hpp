#pragma once
// Queue of calls that no endpoint can take now but that can still meet their latency target after a short
// wait. No network, no clock.
//
//   if (wait_limit(route, service, prompt_tokens, settings).count() > 0) queue.add(waiter);
//   for (auto* each : queue.by_priority()) if (try_to_place(*each)) queue.remove(*each);
//
// A call that waits at the entry can use a slot that becomes free at any endpoint, whereas a call queued in
// an engine depends on the slots of that engine alone. Calls therefore wait here, and only as long as their
// first event can still arrive in time.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/service_map.hpp"

#include <algorithm>
#include <vector>

namespace hibiscuswall {

struct wait_settings {
    milliseconds max_wait{110}; // counted from the arrival of a call whose response has not started
    // Of a stream that has to resume at another endpoint, until its route is looked up again.
    milliseconds max_resume_wait{400};
    milliseconds resume_interval{50};  // between two attempts to find it an endpoint
    milliseconds engine_overhead{100}; // time to the first event without queue and prompt processing
    milliseconds margin{40};           // subtracted from the latency target
    double plain_wait_fraction = 0.3;  // of the target latency, for calls to plain services
    std::size_t max_waiting = 64;      // calls in the queue; further ones are rejected at once
};

// How long after its arrival a call may wait for an endpoint. Zero if it would miss its latency target even
// without waiting.
[[nodiscard]] auto wait_limit(call_route const& route, service_definition const& service, int prompt_tokens,
                              wait_settings const& settings) -> milliseconds;

// One waiting call.
struct waiter {
    int priority = 0;         // 0 is the most urgent
    time_point until;         // the call is rejected then
    std::uint64_t number = 0; // order of arrival
};

class wait_queue {
public:
    explicit wait_queue(std::size_t capacity) : capacity_{capacity} {}

    // Returns false if the queue is full.
    auto add(waiter& each) -> bool;
    auto remove(waiter& each) -> void;

    // Sorted by priority, then by order of arrival.
    [[nodiscard]] auto by_priority() const -> std::vector<waiter*> { return waiters_; }
    [[nodiscard]] auto size() const -> std::size_t { return waiters_.size(); }

private:
    std::size_t capacity_;
    std::uint64_t next_number_ = 0;
    std::vector<waiter*> waiters_; // sorted by priority, then by order of arrival
};

} // namespace hibiscuswall
