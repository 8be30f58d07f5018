#pragma once
// Bounded queue of waiting requests: higher classes first, accounts of one class by their weight.
//
//   auto shed = queue.push(request);              // ids that must be refused, perhaps the new one
//   while (auto next = queue.pop(allowed)) start(*next);     // allowed: lowest class that may start now
//   queue.finished(account);
//
// Within a class the account with the fewest requests in flight per weight goes first; accounts that are
// equal there take turns in proportion to their weights (start-time fair queueing), the earlier id first.

#include "hibiscuswall/config/resource.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscuswall {

struct admission_request {
    std::uint64_t id = 0;                             // chosen by the caller, unique among live requests
    std::string account;                              // customer
    double weight = 1.0;                              // share of the account
    request_class priority = request_class::drafting; // class
    time_point deadline;                              // not started after this
};

struct queue_bounds {
    std::size_t total = 32;    // waiting requests of all classes
    std::size_t status = 28;   // of status and drafting together
    std::size_t drafting = 24; // of drafting
};

class fair_queue {
public:
    explicit fair_queue(queue_bounds bounds) : bounds_{bounds} {}

    auto configure(queue_bounds bounds) -> void { bounds_ = bounds; }

    // Ids of the requests to shed so that the queue stays within its bounds; may hold the new one.
    auto push(admission_request request) -> std::vector<std::uint64_t>;

    // Next request of class `lowest` or above; it counts as in flight until finished().
    auto pop(request_class lowest) -> std::optional<admission_request>;

    auto finished(std::string const& account) -> void;

    // Takes a waiting request out; false when it is not waiting.
    auto remove(std::uint64_t id) -> bool;

    // Takes out every request whose deadline passed.
    auto expire(time_point now) -> std::vector<std::uint64_t>;

    // Takes out all.
    auto clear() -> std::vector<std::uint64_t>;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto size(request_class priority) const -> std::size_t;

private:
    struct account_state {
        double weight = 1.0;       // latest known
        std::size_t in_flight = 0; // started, not finished
        std::size_t waiting = 0;   // in any class
        double start_tag = 0.0;    // virtual start time of its next request
    };
    using line = std::map<std::string, std::deque<admission_request>>; // waiting requests by account

    [[nodiscard]] auto over_bounds(request_class newcomer) const -> bool;
    auto shed_one(request_class newcomer) -> std::uint64_t;
    auto forget_if_unused(std::string const& account) -> void;
    template<class Predicate>
    auto remove_if(Predicate matches) -> std::vector<std::uint64_t>;

    queue_bounds bounds_;
    std::map<request_class, line> lines_;
    std::map<std::string, account_state> accounts_;
    double virtual_time_ = 0.0;
};

} // namespace hibiscuswall
