#pragma once
// Calls that no endpoint can take at once but that still gain by a short wait. No network, no clock.
//
//   if (auto until = wait_limit(call, settings); until > now) room.add(&waiter, ...);
//   for (auto* waiter : room.in_order()) if (try_to_place(waiter)) room.remove(waiter);
//   for (auto* waiter : room.expired(now)) refuse(waiter);
//
// A slot that frees anywhere serves whoever waits at the entry; a call that was sent to wait at one engine
// depends on the slots of that engine alone. So calls wait here, and only as long as the first event can
// still come in time.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/service_map.hpp"

#include <algorithm>
#include <vector>

namespace hibiscuswall {

struct waiting_settings {
    milliseconds longest{110};   // wait of any call that did not begin
    milliseconds resumed{1'200}; // wait of a stream that has to go on elsewhere
    milliseconds engine_overhead{
        100};                 // to the first event besides the reading of the prompt, without a queue
    milliseconds margin{40};  // kept before the target
    double plain_share = 0.3; // of the target latency that a call to a plain service may wait
    std::size_t most = 64;    // calls that wait at a time; further ones are refused at once
};

// How long the call may wait for an endpoint: zero where it cannot be in time even without a wait.
[[nodiscard]] auto wait_limit(call_route const& route, service_entry const& service, int prompt_tokens,
                              waiting_settings const& settings) -> milliseconds;

// One waiting call.
struct waiter {
    int priority = 0;         // 0 is the most urgent
    time_point until;         // refused then
    std::uint64_t number = 0; // order of arrival
};

class waiting_room {
public:
    explicit waiting_room(std::size_t most) : most_{most} {}

    // False when too many wait already.
    auto add(waiter& each) -> bool;
    auto remove(waiter& each) -> void;

    // Most urgent first, then in order of arrival.
    [[nodiscard]] auto in_order() const -> std::vector<waiter*> { return waiters_; }
    [[nodiscard]] auto size() const -> std::size_t { return waiters_.size(); }

private:
    std::size_t most_;
    std::uint64_t next_number_ = 0;
    std::vector<waiter*> waiters_; // in order
};

} // namespace hibiscuswall
