#pragma once
// Bounded queue of waiting requests, ordered by class first and fair between the accounts of a class.
//
//   auto shed = queue.push(request);              // ids to be rejected, maybe that of the new request
//   while (auto next = queue.pop(min_class))      // min_class: lowest class that may start now
//       start(*next);
//   queue.finished(account);
//
// Within a class, the account with the fewest requests in flight relative to its weight is served first.
// Accounts that are equal in this are served in proportion to their weights (start-time fair queueing), and
// on a tie the lower request id is served first.

#include "hibiscuswall/config/resource.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

struct admission_request {
    std::uint64_t id = 0; // chosen by the caller; unique among unfinished requests
    std::string account;  // client account that sent the request
    double weight = 1.0;  // weight of the account in fair queueing
    request_class priority = request_class::drafting; // class of the request
    time_point deadline;                              // the request is not started after this time
};

struct queue_bounds {
    std::size_t total = 32;    // greatest number of waiting requests of all classes
    std::size_t status = 28;   // greatest number of waiting status and drafting requests together
    std::size_t drafting = 24; // greatest number of waiting drafting requests
};

class fair_queue {
public:
    explicit fair_queue(queue_bounds bounds) : bounds_{bounds} {}

    auto configure(queue_bounds bounds) -> void { bounds_ = bounds; }

    // Adds a request. Returns the ids of the requests removed to keep the queue within its bounds, which may
    // include the new one.
    auto push(admission_request request) -> std::vector<std::uint64_t>;

    // Removes the next request of class `min_class` or higher; it counts as in flight until finished().
    auto pop(request_class min_class) -> std::optional<admission_request>;

    auto finished(std::string const& account) -> void;

    // Removes a waiting request; false when no request with this id waits.
    auto remove(std::uint64_t id) -> bool;

    // Removes all waiting requests whose deadline has passed and returns their ids.
    auto expire(time_point now) -> std::vector<std::uint64_t>;

    // Removes the requests that have as many before them as can start until their deadline, and returns their
    // ids. `startable_before` tells how many can.
    auto remove_unstartable(std::function<double(time_point)> const& startable_before)
        -> std::vector<std::uint64_t>;

    // Removes all waiting requests and returns their ids.
    auto clear() -> std::vector<std::uint64_t>;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto size(request_class priority) const -> std::size_t;

private:
    struct account_state {
        double weight = 1.0;       // weight given with the latest request
        std::size_t in_flight = 0; // requests started and not finished
        std::size_t waiting = 0;   // waiting requests of all classes
        double start_tag = 0.0;    // virtual start time of the next request
    };
    // waiting requests by account
    using account_queues = std::map<std::string, std::deque<admission_request>>;

    [[nodiscard]] auto over_bounds(request_class new_class) const -> bool;
    auto shed_one(request_class new_class) -> std::uint64_t;
    auto erase_if_idle(std::string const& account) -> void;
    template<class Predicate>
    auto remove_if(Predicate matches) -> std::vector<std::uint64_t>;

    queue_bounds bounds_;
    std::map<request_class, account_queues> queues_;
    std::map<std::string, account_state> accounts_;
    double virtual_time_ = 0.0;
};

} // namespace hibiscuswall
