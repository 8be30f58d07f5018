#pragma once
// Divides the calls that an endpoint with a rate limit takes among its senders. One sender divides for all.
// No network, no clock.
//
//   auto divider = rate_divider{run};
//   divider.on_report(report, now);                      // of each sender, several times a second
//   divider.divide(limit, senders, now);                 // several times a second
//   divider.grant_for("entry-2", now);                   // sent to that sender
//
// A token bucket: calls become due at the rate of the limit, up to a small store. A call that is granted to a
// sender stays in that store until the sender reports that it was sent, so that no more calls can be sent
// within any time than the bucket allows, however they are distributed and whenever they are used. Calls are
// granted whole, in proportion to the senders' demand, and recalled from a sender that does not need them
// while another does. What senders sent before they knew of the limit is charged first.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/rate_share.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

class rate_divider {
public:
    explicit rate_divider(std::uint64_t run) : run_{run} {}

    auto on_report(sender_report const& report, time_point now) -> void;

    // Grants and recalls what has become due since the last time. `senders` is the number of senders that may
    // send to the endpoint; the parts of those that are not heard from are not granted to others.
    auto divide(double limit, int senders, time_point now) -> void;

    // None for a sender that is not heard from.
    [[nodiscard]] auto grant_for(std::string_view sender, time_point now) const -> std::optional<rate_grant>;

    // Whether the last divide() granted calls to the sender, or recalled some.
    [[nodiscard]] auto has_changed(std::string_view sender) const -> bool;

    // Senders that are heard from.
    [[nodiscard]] auto heard(time_point now) const -> std::vector<std::string>;

private:
    struct sender_state {
        time_point heard_at;
        double demand = 0;         // calls per second
        double weight = 0;         // fraction of the calls, in the sum over all that are heard from 1
        double credit = 0;         // of the weighted round robin
        std::int64_t granted = 0;  // calls, in all
        std::int64_t recalled = 0; // of these
        std::int64_t ended = 0;    // of these, calls that were sent or that it can no longer send
        std::int64_t used = 0;     // calls that it reported as sent
        std::int64_t own_used = 0; // calls that it reported as sent by grants of its own
        bool has_grant = false;    // it has reported a grant of this divider
        bool has_changed = false;  // in the last divide()

        [[nodiscard]] auto open() const -> std::int64_t { return granted - ended; }
        // Calls that it may send as far as it knows.
        [[nodiscard]] auto held() const -> std::int64_t { return granted - std::max(ended, recalled); }
    };
    using sender_list = std::vector<sender_state*>;

    auto account(sender_state& sender, sender_report const& report) -> void;
    static auto lose_grants(sender_state& sender) -> void;
    auto charge_earlier_sends(double rate, time_point now) -> void;
    auto heard_senders(time_point now) -> sender_list;
    [[nodiscard]] auto open_calls() const -> std::int64_t;
    auto grant_due_calls(sender_list const& senders, double store) -> void;
    auto recall_idle_calls(sender_list const& senders) -> void;

    std::uint64_t run_;
    std::map<std::string, sender_state, std::less<>> senders_; // by name
    std::optional<time_point> begun_at_;
    time_point divided_at_;
    double rate_ = 0;          // calls per second that are granted at present
    double level_ = 0;         // calls that may be granted; negative: sent before they were granted
    double earlier_sends_ = 0; // calls that this divider did not grant, not charged yet
    double gathered_ = 0;      // earlier sends that were reported within gather_time
    double uncharged_ = 0;     // of these, calls that were not charged
};

} // namespace hibiscuswall
