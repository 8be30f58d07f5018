#pragma once
// Keeps the entries that send to an endpoint with a rate limit to that limit: tells them of it, and carries
// the reports and grants between its senders and the sender that divides it. Sends datagrams by a function;
// no clock.
//
//   auto coordination = rate_coordination{"entry-1", endpoints, random, send};
//   coordination.set_entries(directory.entries());
//   coordination.run_round(now);                            // every round_interval while it returns true
//   coordination.on_report(report, from, now);              // received datagrams
//   if (coordination.on_notice(notice, now)) dispatch_waiting();
//   coordination.tell_all(endpoint, now);                   // a response of the endpoint changed its limit

#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/rate_divider.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>

namespace hibiscuswall {

struct rate_coordination_settings {
    milliseconds report_interval{300};     // of a sender to the divider
    milliseconds min_report_interval{100}; // of reports that should not wait
    milliseconds divide_interval{100};
    milliseconds notice_interval{300}; // of the divider to a sender that reports
    milliseconds tell_interval{500};   // of the divider to a sender that does not
    milliseconds repeat_interval{150}; // of what all senders are told
    int repeats = 2;                   // of it, against lost datagrams
};

class rate_coordination {
public:
    static constexpr auto round_interval = milliseconds{50};
    using send_function = std::function<void(std::string const& bytes, address const& to)>;

    rate_coordination(std::string self, endpoint_table& endpoints, random_source& random, send_function send,
                      rate_coordination_settings settings = {})
        : self_{std::move(self)},
          endpoints_{endpoints}, random_{random}, send_{std::move(send)}, settings_{settings}
    {
    }

    auto set_entries(std::span<listed_entry const> entries) -> void;

    // Whether any endpoint has a limit: without one, no further round is needed until a limit changes.
    auto run_round(time_point now) -> bool;
    auto on_report(rate_report const& report, address const& from, time_point now) -> void;

    // Whether calls were granted to this entry.
    auto on_notice(rate_notice const& notice, time_point now) -> bool;

    // Tells all senders to the endpoint what this entry knows of its limit.
    auto tell_all(tracked_endpoint const& endpoint, time_point now) -> void;

private:
    struct sender_peer {
        address where;
        std::int64_t sent_at_us = 0; // of its latest report
        time_point reported_at;      // when that report arrived
        time_point next_notice;
    };
    struct divided_endpoint {
        rate_divider divider;
        time_point next_divide;
        time_point next_tell;                                  // of senders that do not report
        std::map<std::string, sender_peer, std::less<>> peers; // by name
    };
    struct repeated_news {
        int remaining = 0;
        time_point next;
    };

    auto divide(tracked_endpoint& endpoint, time_point now) -> void;
    auto notify(tracked_endpoint const& endpoint, divided_endpoint& divided, time_point now) -> void;
    auto tell_silent_senders(tracked_endpoint const& endpoint, divided_endpoint& divided, time_point now)
        -> void;
    auto report(tracked_endpoint& endpoint, time_point now) -> void;
    auto repeat_news(time_point now) -> void;
    auto tell(tracked_endpoint const& endpoint, std::string const& entry, time_point now) -> void;
    auto forget_unlimited() -> void;
    [[nodiscard]] auto notice_of(tracked_endpoint const& endpoint, time_point now) const -> rate_notice;

    std::string self_;
    endpoint_table& endpoints_;
    random_source& random_;
    send_function send_;
    rate_coordination_settings settings_;
    std::map<std::string, address, std::less<>> addresses_;        // of the other entries, by name
    std::map<std::string, divided_endpoint, std::less<>> divided_; // by endpoint id
    std::map<std::string, time_point, std::less<>> reported_at_;   // by endpoint id
    std::map<std::string, repeated_news, std::less<>> news_;       // by endpoint id
};

} // namespace hibiscuswall
