#pragma once
// Bounded ring of a process's events, served as JSON and merged over all processes by the entry and
// hibiscusctl. A Lamport counter travels with every message between processes (header Hw-Clock), so that a
// cause sorts before its effect even where the hosts' clocks differ.
//
//   events.record("call_forwarded", {{"call_id", id}, {"host", host}});
//   events.observe(remote_counter);             // on every message that arrives
//   auto text = events.json();                  // {"process":…, "events":[…]}

#include "hibiscuswall/core/time.hpp"

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscuswall {

struct timeline_event {
    std::uint64_t counter = 0;                               // Lamport counter
    long long wall_ms = 0;                                   // wall clock of the process, for display
    std::string event;                                       // lower_case name
    std::vector<std::pair<std::string, std::string>> fields; // what it concerns
};

class timeline {
public:
    timeline(std::string process, std::size_t capacity) : process_{std::move(process)}, events_{capacity} {}

    auto record(std::string_view event, std::vector<std::pair<std::string, std::string>> fields) -> void
    {
        ++counter_;
        events_.push_back({counter_, wall_clock_ms(), std::string{event}, std::move(fields)});
    }

    // Counter to send with a message; sending is itself a step.
    auto tick() -> std::uint64_t { return ++counter_; }

    auto observe(std::uint64_t remote) -> void { counter_ = std::max(counter_, remote) + 1; }

    [[nodiscard]] auto json() const -> std::string;

private:
    std::string process_;
    std::uint64_t counter_ = 0;
    boost::circular_buffer<timeline_event> events_;
};

} // namespace hibiscuswall
