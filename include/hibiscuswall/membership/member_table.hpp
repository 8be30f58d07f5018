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

    [[nodiscard]] auto counts(std::string_view failure_domain) const -> member_counts;

    // Up to count members: first those whose news was passed on least often, each a bounded number of times.
    auto news(std::size_t count) -> std::vector<member>;

private:
    struct row {
        member what;
        time_point since;            // of the present state
        int missed = 0;              // direct probes without an answer in a row
        int passed_on = 0;           // times that the newest change was sent
        bool listed_leaving = false; // the host list's last word
    };

    auto change_state(row& entry, member_state state, time_point now) -> void;
    auto announce(row const& entry) -> void;

    membership_settings settings_;
    std::map<std::string, row, std::less<>> rows_;
    std::vector<std::function<void(member const&)>> subscribers_;
};

// What a process does about a report on itself: the incarnation that refutes it, or the present one.
[[nodiscard]] auto refuting_incarnation(member const& self, member const& report) -> std::uint64_t;

} // namespace hibiscuswall
