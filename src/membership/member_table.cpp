#include "hibiscuswall/membership/member_table.hpp"

#include <boost/crc.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

// Each process sends a change this many times. As every receiver does the same, a change reaches thousands of
// processes.
constexpr auto max_transmissions = 8;

// Order among reports on the same incarnation: the higher value wins. A leaving host remains leaving when it
// responds to a probe as alive or is reported as suspect.
auto precedence(member_state state) -> int
{
    switch (state) {
    case member_state::alive:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::leaving:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

// The sum of these hashes is compared between processes, so they must not depend on the std::hash of a
// platform.
auto row_hash(member const& info) -> std::uint64_t
{
    if (info.incarnation == 0 || info.state == member_state::dead) return 0;
    auto crc = boost::crc_optimal<64, 0x42F0E1EBA9EA3693U, 0, 0, true, true>{};
    auto const leaving = info.state == member_state::leaving ? '1' : '0';
    auto const text = info.name + '\x1f' + std::to_string(info.incarnation) + leaving;
    crc.process_bytes(text.data(), text.size());
    return crc.checksum();
}

} // namespace

auto member_table::members() const -> std::vector<member>
{
    auto list = std::vector<member>{};
    list.reserve(rows_.size());
    for (auto const& [name, entry] : rows_)
        list.push_back(entry.info);
    return list;
}

auto member_table::find(std::string_view name) const -> member const*
{
    auto const found = rows_.find(name);
    return found == rows_.end() ? nullptr : &found->second.info;
}

auto member_table::subscribe(std::function<void(member const&)> changed) -> void
{
    subscribers_.push_back(std::move(changed));
}

auto member_table::notify_subscribers(row const& entry) -> void
{
    auto const copy = entry.info; // copied because a subscriber may change the table
    for (auto const& notify : subscribers_)
        notify(copy);
}

auto member_table::record_change(row& entry) -> void
{
    entry.times_sent = 0;
    updates_pending_ = true;
    rows_hash_valid_ = false;
}

auto member_table::change_state(row& entry, member_state state, time_point now) -> void
{
    if (entry.info.state == state) return;
    entry.info.state = state;
    entry.state_since = now;
    record_change(entry);
    notify_subscribers(entry);
}

auto member_table::merge(member const& report, time_point now) -> bool
{
    auto const found = rows_.find(report.name);
    if (found == rows_.end()) {
        if (report.state == member_state::dead)
            return false; // a dead member that was never known needs no row
        auto& entry = rows_[report.name];
        entry.info = report;
        entry.state_since = now;
        entry.listed_leaving = report.state == member_state::leaving;
        record_change(entry);
        notify_subscribers(entry);
        return true;
    }
    auto& entry = found->second;
    if (report.incarnation < entry.info.incarnation) return false;
    // The revision never decreases within an incarnation, but reports may arrive out of order.
    auto const newer = report.incarnation > entry.info.incarnation;
    auto const revision =
        newer ? report.config_revision : std::max(entry.info.config_revision, report.config_revision);
    entry.info.config_revision = revision;
    if (!newer && precedence(report.state) <= precedence(entry.info.state)) return false;
    if (entry.info.state != report.state || newer) entry.state_since = now;
    if (newer) entry.missed_probes = 0;
    // The first incarnation of a host known from the list is no update to pass on: all processes know the
    // host from the list and learn its incarnation in the same way.
    auto const is_update = entry.info.incarnation != 0 || report.state != member_state::alive;
    entry.info = report;
    entry.info.config_revision = revision;
    // Processes read the list at different times: one that reads "leaving" after this report must not apply
    // it to the next incarnation.
    if (report.state == member_state::leaving) entry.listed_leaving = true;
    rows_hash_valid_ = false;
    if (is_update) record_change(entry);
    notify_subscribers(entry);
    return true;
}

auto member_table::merge_host_list(std::span<member const> hosts, time_point now) -> void
{
    for (auto const& host : hosts) {
        auto const leaving = host.state == member_state::leaving;
        auto found = rows_.find(host.name);
        if (found == rows_.end()) {
            auto& added = rows_[host.name];
            added.info = host;
            added.state_since = now;
            added.listed_leaving = leaving;
            added.times_sent = max_transmissions;
            rows_hash_valid_ = false;
            notify_subscribers(added);
            continue;
        }
        auto& entry = found->second;
        // The list is delayed: a "leaving" that was already listed before the process restarted must not
        // count again.
        auto const newly_leaving = leaving && !entry.listed_leaving;
        entry.listed_leaving = leaving;
        if (newly_leaving && entry.info.state != member_state::dead)
            change_state(entry, member_state::leaving, now);
        // A replacement host may have a new address while the row still describes its dead predecessor.
        if (!leaving && entry.info.state == member_state::dead)
            entry.info.control_address = host.control_address;
    }
}

auto member_table::probe_missed(std::string_view name, time_point now) -> void
{
    auto const found = rows_.find(name);
    if (found == rows_.end()) return;
    auto& entry = found->second;
    ++entry.missed_probes;
    if (entry.missed_probes < settings_.missed_probes) return;
    if (entry.info.state == member_state::alive) change_state(entry, member_state::suspect, now);
    // A leaving process that no longer responds has ended.
    if (entry.info.state == member_state::leaving) change_state(entry, member_state::dead, now);
}

auto member_table::probe_succeeded(member const& report, time_point now) -> void
{
    merge(report, now);
    auto const found = rows_.find(report.name);
    if (found == rows_.end()) return;
    auto& entry = found->second;
    entry.missed_probes = 0;
    // A response from the member itself overrides a suspicion of the same incarnation.
    if (entry.info.state == member_state::suspect && report.incarnation >= entry.info.incarnation &&
        report.state == member_state::alive)
        change_state(entry, member_state::alive, now);
}

auto member_table::expire(time_point now) -> void
{
    for (auto at = rows_.begin(); at != rows_.end();) {
        auto& entry = at->second;
        if (entry.info.state == member_state::suspect && now - entry.state_since >= settings_.suspect_timeout)
            change_state(entry, member_state::dead, now);
        if (entry.info.state == member_state::dead && now - entry.state_since >= settings_.removal_delay) {
            at = rows_.erase(at);
            rows_hash_valid_ = false;
        } else
            ++at;
    }
}

auto member_table::members_with_missed_probes() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [name, entry] : rows_)
        if (entry.missed_probes > 0 && entry.info.state != member_state::dead) names.push_back(name);
    return names;
}

auto member_table::updates(std::size_t count) -> std::vector<member>
{
    auto order = std::vector<row*>{};
    for (auto& [name, entry] : rows_)
        if (entry.times_sent < max_transmissions) order.push_back(&entry);
    auto const selected = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(selected), order.end(),
                      [](row const* left, row const* right) { return left->times_sent < right->times_sent; });
    auto list = std::vector<member>{};
    for (auto i = std::size_t{0}; i < selected; ++i) {
        ++order[i]->times_sent;
        list.push_back(order[i]->info);
    }
    updates_pending_ = std::any_of(order.begin(), order.end(),
                                   [](row const* entry) { return entry->times_sent < max_transmissions; });
    return list;
}

auto member_table::next_in_rotation(std::size_t count) -> std::vector<member>
{
    auto list = std::vector<member>{};
    auto at = rows_.upper_bound(last_rotated_);
    for (auto visited = std::size_t{0}; visited < rows_.size() && list.size() < count; ++visited, ++at) {
        if (at == rows_.end()) at = rows_.begin();
        last_rotated_ = at->first;
        if (at->second.info.incarnation != 0) list.push_back(at->second.info);
    }
    return list;
}

auto member_table::digest(member const& self) const -> std::uint64_t
{
    if (!rows_hash_valid_) {
        rows_hash_ = 0;
        for (auto const& [name, entry] : rows_)
            rows_hash_ += row_hash(entry.info);
        rows_hash_valid_ = true;
    }
    return rows_hash_ + row_hash(self);
}

auto member_table::counts(std::string_view failure_domain) const -> member_counts
{
    auto sum = member_counts{};
    for (auto const& [name, entry] : rows_) {
        if (entry.info.state == member_state::dead) {
            ++sum.dead;
            continue;
        }
        ++sum.live;
        if (entry.info.state == member_state::alive) ++sum.alive;
        if (entry.info.failure_domain == failure_domain) ++sum.in_failure_domain;
    }
    return sum;
}

auto member_table::nth(std::size_t index, bool dead) const -> member const*
{
    for (auto const& [name, entry] : rows_) {
        if ((entry.info.state == member_state::dead) != dead) continue;
        if (index-- == 0) return &entry.info;
    }
    return nullptr;
}

auto refuting_incarnation(member const& self, member const& report) -> std::uint64_t
{
    if (report.name != self.name || report.incarnation < self.incarnation) return self.incarnation;
    auto const is_wrong = report.state == member_state::suspect || report.state == member_state::dead ||
                          report.incarnation > self.incarnation;
    return is_wrong ? report.incarnation + 1 : self.incarnation;
}

} // namespace hibiscuswall
