#pragma once
// One sender's share of the calls that an endpoint with a rate limit takes from all senders together. No
// network, no clock.
//
//   share.set_limit(2.0, senders, phase, now);      // the endpoint names a limit
//   share.on_grant(grant, reported_at, made_at, now); // of the divider, see serving/rate_divider
//   if (share.available(now) > 0) permit = share.take(now);
//   if (now < permit->valid_until) write_request();
//
// Each granted call may be sent once, as long as grants of the divider arrive: a sender that stood still, or
// that no grant reaches any more, may send none. Without a divider a sender makes grants for itself, at its
// equal part of the limit: a divider grants nothing from the parts of senders that it does not hear from.

#include "hibiscuswall/core/rate_rules.hpp"
#include "hibiscuswall/core/sliding_window_counter.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>

namespace hibiscuswall {

// Cumulative, so that a lost one is made up for by the next.
struct rate_grant {
    std::uint64_t divider_run = 0; // another one begins to count anew
    std::int64_t granted = 0;      // calls granted to the sender so far
    std::int64_t recalled = 0;     // of these, the first ones, which it may no longer send
    double calls_per_second = 0;   // rate at which the sender is granted calls at present
};

// What a sender tells its divider.
struct sender_report {
    std::string sender;
    double demand = 0;             // calls per second that it could send to the endpoint
    int recent_sends = 0;          // calls that it sent within earlier_window, or before it knew the limit
    std::uint64_t divider_run = 0; // of the latest grant; 0: none
    std::int64_t ended = 0;        // granted calls, the first ones, that it sent or that were recalled
    std::int64_t used = 0;         // of these, calls that it sent
    std::int64_t own_used = 0;     // calls that it granted itself and sent
};

struct call_permit {
    time_point valid_until; // the request must be written before
};

// Available without a limit.
constexpr auto unlimited_calls = std::numeric_limits<int>::max();

class rate_share {
public:
    // Sets the limit that is in force, or none. `senders` may send to the endpoint, this one included;
    // `phase`, from 0 to 1, spreads the calls of senders that make their own grants.
    auto set_limit(std::optional<double> limit, int senders, double phase, time_point now) -> void;

    // Grants count only if they answer a report, sent at `reported_at`, from after the limit became known:
    // the divider then knows that this process holds none from before. `made_at` is the earliest time at
    // which the divider may have made the grant.
    auto on_grant(rate_grant const& grant, time_point reported_at, time_point made_at, time_point now)
        -> void;

    [[nodiscard]] auto is_limited() const -> bool { return limit_.has_value(); }

    // Calls that may be sent now; unlimited_calls without a limit.
    [[nodiscard]] auto available(time_point now) const -> int;

    // Takes one of the available calls; none if there is none or no limit.
    auto take(time_point now) -> std::optional<call_permit>;

    // When a call will probably be available.
    [[nodiscard]] auto next_available_at(time_point now) const -> time_point;

    // Calls per second that this sender may send at present.
    [[nodiscard]] auto calls_per_second(time_point now) const -> double;

    // Whether grants of a divider arrive.
    [[nodiscard]] auto has_grant(time_point now) const -> bool { return now < grant_valid_until_; }

    // ---- reported to the divider
    auto record_send(time_point now) -> void { sends_.add(now); }
    auto record_demand(time_point now) -> void;
    [[nodiscard]] auto report(std::string sender, time_point now) -> sender_report;

    // Whether the divider should know at once: the last call was used, calls were recalled, or the demand has
    // changed much.
    [[nodiscard]] auto has_urgent_report(time_point now) const -> bool;

private:
    struct call_range { // granted calls that were neither sent nor taken back
        std::int64_t first = 0;
        std::int64_t end = 0;
    };

    // How far this sender went in the grants of a divider that it may return to.
    struct grant_position {
        std::uint64_t divider_run = 0;
        std::int64_t next = 0;
        std::int64_t used = 0;
    };

    auto follow_run(std::uint64_t divider_run) -> void;
    auto set_own_rate(double calls_per_second, time_point now) -> void;
    [[nodiscard]] auto demand_per_second(time_point now) const -> double;
    [[nodiscard]] auto makes_own_grants(time_point now) const -> bool;
    [[nodiscard]] auto own_grants(time_point now) const -> call_range;
    [[nodiscard]] auto open_grants(time_point now) const -> call_range;

    time_point limited_since_;
    int sends_before_limit_ = 0;   // within earlier_window before limited_since_
    std::optional<double> limit_;  // calls per second, from all senders
    time_point own_grants_from_;   // without a further grant
    time_point grant_valid_until_; // of the last grant
    rate_grant grant_;
    std::int64_t next_ = 0;                        // first granted call that was neither sent nor recalled
    std::int64_t used_ = 0;                        // granted calls that were sent
    std::deque<grant_position> earlier_positions_; // in grants of other dividers, latest last

    // ---- grants that this sender makes for itself
    double own_rate_ = 0;       // calls per second
    double own_made_ = 0;       // calls granted until own_changed_at_
    time_point own_changed_at_; // when own_rate_ last changed
    std::int64_t next_own_ = 0; // first granted call that was not taken
    std::int64_t own_used_ = 0; // calls that were sent

    sliding_window_counter sends_{earlier_window};
    std::deque<time_point> demanded_at_; // the latest calls that could have been sent, oldest first
    double reported_demand_ = 0;         // calls per second, in the last report
    std::int64_t reported_used_ = 0;     // in the last report
    bool has_recalled_calls_ = false;    // since the last report
};

} // namespace hibiscuswall
