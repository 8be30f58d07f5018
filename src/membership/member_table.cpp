#include "hibiscuswall/membership/member_table.hpp"

#include <boost/crc.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

// A change is sent this many times by each process: with the same from every receiver, it reaches thousands
// of processes.
constexpr auto retransmit_limit = 8;

// Between reports of one incarnation. A leaving host stays leaving whatever a probe or a rumour says.
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

// Sums of this are equal on every process, so it must not depend on the platform's std::hash.
auto row_hash(member const& what) -> std::uint64_t
{
    if (what.incarnation == 0 || what.state == member_state::dead) return 0;
    auto crc = boost::crc_optimal<64, 0x42F0E1EBA9EA3693U, 0, 0, true, true>{};
    auto const leaving = what.state == member_state::leaving ? '1' : '0';
    auto const text = what.name + '\x1f' + std::to_string(what.incarnation) + leaving;
    crc.process_bytes(text.data(), text.size());
    return crc.checksum();
}

} // namespace

auto member_table::members() const -> std::vector<member>
{
    auto list = std::vector<member>{};
    list.reserve(rows_.size());
    for (auto const& [name, entry] : rows_)
        list.push_back(entry.what);
    return list;
}

auto member_table::find(std::string_view name) const -> member const*
{
    auto const found = rows_.find(name);
    return found == rows_.end() ? nullptr : &found->second.what;
}

auto member_table::subscribe(std::function<void(member const&)> changed) -> void
{
    subscribers_.push_back(std::move(changed));
}

auto member_table::announce(row const& entry) -> void
{
    auto const copy = entry.what; // a subscriber may change the table
    for (auto const& notify : subscribers_)
        notify(copy);
}

auto member_table::note_change(row& entry) -> void
{
    entry.passed_on = 0;
    fresh_ = true;
    sum_is_current_ = false;
}

auto member_table::change_state(row& entry, member_state state, time_point now) -> void
{
    if (entry.what.state == state) return;
    entry.what.state = state;
    entry.since = now;
    note_change(entry);
    announce(entry);
}

auto member_table::merge(member const& report, time_point now) -> bool
{
    auto const found = rows_.find(report.name);
    if (found == rows_.end()) {
        if (report.state == member_state::dead) return false; // no need to remember the unknown dead
        auto& entry = rows_[report.name];
        entry.what = report;
        entry.since = now;
        entry.listed_leaving = report.state == member_state::leaving;
        note_change(entry);
        announce(entry);
        return true;
    }
    auto& entry = found->second;
    if (report.incarnation < entry.what.incarnation) return false;
    // A revision never falls within an incarnation, and reports arrive out of order.
    auto const newer = report.incarnation > entry.what.incarnation;
    auto const revision =
        newer ? report.config_revision : std::max(entry.what.config_revision, report.config_revision);
    entry.what.config_revision = revision;
    if (!newer && precedence(report.state) <= precedence(entry.what.state)) return false;
    if (entry.what.state != report.state || newer) entry.since = now;
    if (newer) entry.missed = 0;
    // The others know a host of the list as well and learn its incarnation as this process did.
    auto const is_news = entry.what.incarnation != 0 || report.state != member_state::alive;
    entry.what = report;
    entry.what.config_revision = revision;
    // Processes read the list at different times: one that reads "leaving" later must not hold it against the
    // next life of the process.
    if (report.state == member_state::leaving) entry.listed_leaving = true;
    sum_is_current_ = false;
    if (is_news) note_change(entry);
    announce(entry);
    return true;
}

auto member_table::merge_host_list(std::span<member const> hosts, time_point now) -> void
{
    for (auto const& host : hosts) {
        auto const leaving = host.state == member_state::leaving;
        auto found = rows_.find(host.name);
        if (found == rows_.end()) {
            auto& added = rows_[host.name];
            added.what = host;
            added.since = now;
            added.listed_leaving = leaving;
            added.passed_on = retransmit_limit;
            sum_is_current_ = false;
            announce(added);
            continue;
        }
        auto& entry = found->second;
        // The list lags: "leaving" that it said before the process started anew must not count again.
        auto const turned = leaving && !entry.listed_leaving;
        entry.listed_leaving = leaving;
        if (turned && entry.what.state != member_state::dead) change_state(entry, member_state::leaving, now);
        // A replaced host may have a new address while its old process is remembered as dead.
        if (!leaving && entry.what.state == member_state::dead)
            entry.what.control_address = host.control_address;
    }
}

auto member_table::probe_missed(std::string_view name, time_point now) -> void
{
    auto const found = rows_.find(name);
    if (found == rows_.end()) return;
    auto& entry = found->second;
    ++entry.missed;
    if (entry.missed < settings_.missed_probes) return;
    if (entry.what.state == member_state::alive) change_state(entry, member_state::suspect, now);
    // A leaving process that no longer answers has ended.
    if (entry.what.state == member_state::leaving) change_state(entry, member_state::dead, now);
}

auto member_table::probe_answered(member const& report, time_point now) -> void
{
    merge(report, now);
    auto const found = rows_.find(report.name);
    if (found == rows_.end()) return;
    auto& entry = found->second;
    entry.missed = 0;
    // Its own answer is better evidence than our suspicion of the same incarnation.
    if (entry.what.state == member_state::suspect && report.incarnation >= entry.what.incarnation &&
        report.state == member_state::alive)
        change_state(entry, member_state::alive, now);
}

auto member_table::expire(time_point now) -> void
{
    for (auto at = rows_.begin(); at != rows_.end();) {
        auto& entry = at->second;
        if (entry.what.state == member_state::suspect && now - entry.since >= settings_.suspicion)
            change_state(entry, member_state::dead, now);
        if (entry.what.state == member_state::dead && now - entry.since >= settings_.forget) {
            at = rows_.erase(at);
            sum_is_current_ = false;
        } else
            ++at;
    }
}

auto member_table::doubtful() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [name, entry] : rows_)
        if (entry.missed > 0 && entry.what.state != member_state::dead) names.push_back(name);
    return names;
}

auto member_table::news(std::size_t count) -> std::vector<member>
{
    auto order = std::vector<row*>{};
    for (auto& [name, entry] : rows_)
        if (entry.passed_on < retransmit_limit) order.push_back(&entry);
    auto const wanted = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(wanted), order.end(),
                      [](row const* left, row const* right) { return left->passed_on < right->passed_on; });
    auto list = std::vector<member>{};
    for (auto i = std::size_t{0}; i < wanted; ++i) {
        ++order[i]->passed_on;
        list.push_back(order[i]->what);
    }
    fresh_ = std::any_of(order.begin(), order.end(),
                         [](row const* entry) { return entry->passed_on < retransmit_limit; });
    return list;
}

auto member_table::refresh(std::size_t count) -> std::vector<member>
{
    auto list = std::vector<member>{};
    auto at = rows_.upper_bound(rotation_);
    for (auto looked = std::size_t{0}; looked < rows_.size() && list.size() < count; ++looked, ++at) {
        if (at == rows_.end()) at = rows_.begin();
        rotation_ = at->first;
        if (at->second.what.incarnation != 0) list.push_back(at->second.what);
    }
    return list;
}

auto member_table::digest(member const& self) const -> std::uint64_t
{
    if (!sum_is_current_) {
        sum_ = 0;
        for (auto const& [name, entry] : rows_)
            sum_ += row_hash(entry.what);
        sum_is_current_ = true;
    }
    return sum_ + row_hash(self);
}

auto member_table::counts(std::string_view failure_domain) const -> member_counts
{
    auto sum = member_counts{};
    for (auto const& [name, entry] : rows_) {
        if (entry.what.state == member_state::dead) {
            ++sum.dead;
            continue;
        }
        ++sum.live;
        if (entry.what.state == member_state::alive) ++sum.alive;
        if (entry.what.failure_domain == failure_domain) ++sum.in_failure_domain;
    }
    return sum;
}

auto member_table::nth(std::size_t index, bool dead) const -> member const*
{
    for (auto const& [name, entry] : rows_) {
        if ((entry.what.state == member_state::dead) != dead) continue;
        if (index-- == 0) return &entry.what;
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
