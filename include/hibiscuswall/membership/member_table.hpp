#pragma once
// Table of the other known processes, with the rules that resolve contradicting reports. It is independent of
// the transport.
//
//   auto table = member_table{settings};
//   table.merge(report, now);                 // from gossip: the higher incarnation wins, then
//                                             // dead > leaving > suspect > alive
//   table.merge_host_list(hosts, now);        // delayed information: only changes in the list count
//   table.probe_missed(name, now);            // missed_probes in a row (3 by default): suspect
//   table.probe_succeeded(report, now);       // a peer's report about itself
//   table.expire(now);                        // after suspect_timeout: dead; after removal_delay: removed

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/membership/member_source.hpp"
#include "hibiscuswall/membership/membership_settings.hpp"

#include <map>
#include <span>
#include <string>

namespace hibiscuswall {

struct member_counts {
    std::size_t alive = 0;             // alive members, without this process
    std::size_t live = 0;              // members that are alive, suspect or leaving
    std::size_t dead = 0;              // dead members that are not removed yet
    std::size_t in_failure_domain = 0; // live members of the requested failure domain
};

class member_table : public member_source {
public:
    explicit member_table(membership_settings settings = {}) : settings_{settings} {}

    // ---- member_source
    [[nodiscard]] auto members() const -> std::vector<member> override;
    [[nodiscard]] auto find(std::string_view name) const -> member const* override;
    auto subscribe(std::function<void(member const&)> changed) -> void override;

    // ---- reports; merge() is true when a member was added or changed state or incarnation
    auto merge(member const& report, time_point now) -> bool;
    auto merge_host_list(std::span<member const> hosts, time_point now) -> void;
    auto probe_missed(std::string_view name, time_point now) -> void;
    auto probe_succeeded(member const& report, time_point now) -> void;
    auto expire(time_point now) -> void;

    // Names of members that missed a probe and are not dead yet; some of them are probed again in every
    // regular round.
    [[nodiscard]] auto members_with_missed_probes() const -> std::vector<std::string>;

    // Up to count changed members that were not sent often enough yet, the least often sent first; none while
    // nothing changes. Hosts added from the host list and their first incarnation are left out, because every
    // process reads the list; a member newly listed as leaving is sent.
    auto updates(std::size_t count) -> std::vector<member>;

    // Whether updates() may return anything.
    [[nodiscard]] auto has_pending_updates() const -> bool { return updates_pending_; }

    // Up to count members, continuing where the previous call ended; for a peer whose digest differs.
    auto next_in_rotation(std::size_t count) -> std::vector<member>;

    // Hash over all members and self, equal at two processes with equal tables. Alive and suspect count as
    // the same state. Members that are dead or known only from the host list are left out.
    [[nodiscard]] auto digest(member const& self) const -> std::uint64_t;

    [[nodiscard]] auto counts(std::string_view failure_domain) const -> member_counts;

    // The index-th dead member, or the index-th that is not dead, in the order of names; null when there are
    // fewer.
    [[nodiscard]] auto nth(std::size_t index, bool dead) const -> member const*;

private:
    struct row {
        member info;
        time_point state_since;      // when the member entered its current state
        int missed_probes = 0;       // consecutive direct probes without a response
        int times_sent = 0;          // how often the latest change was sent
        bool listed_leaving = false; // the host list or a report gave the member as leaving
    };

    auto record_change(row& entry) -> void;
    auto change_state(row& entry, member_state state, time_point now) -> void;
    auto notify_subscribers(row const& entry) -> void;

    membership_settings settings_;
    std::map<std::string, row, std::less<>> rows_;
    std::vector<std::function<void(member const&)>> subscribers_;
    std::string last_rotated_;            // name that next_in_rotation() returned last
    bool updates_pending_ = false;        // result of has_pending_updates()
    mutable std::uint64_t rows_hash_ = 0; // sum over rows_, for digest()
    mutable bool rows_hash_valid_ = true; // false after a change of rows_
};

// The incarnation that this process takes on after a report about itself: one that refutes a false report, or
// the current one when the report is right or outdated.
[[nodiscard]] auto refuting_incarnation(member const& self, member const& report) -> std::uint64_t;

} // namespace hibiscuswall
