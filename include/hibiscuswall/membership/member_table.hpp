#pragma once
// What this process knows of the others, and the rules that decide between contradicting reports. Knows no
// transport.
//
//   auto table = member_table{settings};
//   table.merge(rumour, now);                 // from gossip: higher incarnation wins, then
//                                             // dead > leaving > suspect > alive
//   table.merge_host_list(hosts, now);        // a lagging hint: only a change in the list counts
//   table.probe_missed(name, now);            // three in a row: suspect
//   table.probe_answered(report, now);        // what a peer says of itself
//   table.expire(now);                        // suspect for long: dead; dead for long: forgotten

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/membership/member_source.hpp"
#include "hibiscuswall/membership/membership_settings.hpp"

#include <map>
#include <span>
#include <string>

namespace hibiscuswall {

struct member_counts {
    std::size_t alive = 0;             // without this process
    std::size_t live = 0;              // alive, suspect or leaving
    std::size_t dead = 0;              // not forgotten yet
    std::size_t in_failure_domain = 0; // live ones of the failure domain asked for
};

class member_table : public member_source {
public:
    explicit member_table(membership_settings settings = {}) : settings_{settings} {}

    // ---- member_source
    [[nodiscard]] auto members() const -> std::vector<member> override;
    [[nodiscard]] auto find(std::string_view name) const -> member const* override;
    auto subscribe(std::function<void(member const&)> changed) -> void override;

    // ---- reports; true when the table changed
    auto merge(member const& report, time_point now) -> bool;
    auto merge_host_list(std::span<member const> hosts, time_point now) -> void;
    auto probe_missed(std::string_view name, time_point now) -> void;
    auto probe_answered(member const& report, time_point now) -> void;
    auto expire(time_point now) -> void;

    // Names of members with a missed probe that are not dead yet; they are probed again every round.
    [[nodiscard]] auto doubtful() const -> std::vector<std::string>;

    // Up to count changes that were not passed on often enough, the least often sent first. A quiet table has
    // none. What only the host list says is no news: every process reads the list.
    auto news(std::size_t count) -> std::vector<member>;

    // Whether news() may have something to give.
    [[nodiscard]] auto has_fresh_news() const -> bool { return fresh_; }

    // Up to count members in rotation, for a peer whose digest differs.
    auto refresh(std::size_t count) -> std::vector<member>;

    // Equal at two processes that hold the same members in the same state, each counting itself. Members
    // known only from the host list or held for dead do not count.
    [[nodiscard]] auto digest(member const& self) const -> std::uint64_t;

    [[nodiscard]] auto counts(std::string_view failure_domain) const -> member_counts;

    // The index-th member, in order of names, that is dead or that is not; null when there are fewer.
    [[nodiscard]] auto nth(std::size_t index, bool dead) const -> member const*;

private:
    struct row {
        member what;
        time_point since;            // of the present state
        int missed = 0;              // direct probes without an answer in a row
        int passed_on = 0;           // times that the newest change was sent
        bool listed_leaving = false; // the host list's last word
    };

    auto note_change(row& entry) -> void;
    auto change_state(row& entry, member_state state, time_point now) -> void;
    auto announce(row const& entry) -> void;

    membership_settings settings_;
    std::map<std::string, row, std::less<>> rows_;
    std::vector<std::function<void(member const&)>> subscribers_;
    std::string rotation_;               // name that refresh() gave last
    bool fresh_ = false;                 // see has_fresh_news()
    mutable std::uint64_t sum_ = 0;      // of the rows, for digest()
    mutable bool sum_is_current_ = true; // false after a change
};

// What a process does about a report on itself: the incarnation that refutes it, or the present one.
[[nodiscard]] auto refuting_incarnation(member const& self, member const& report) -> std::uint64_t;

} // namespace hibiscuswall
