#include "hibiscuswall/fleet/load_report_sender.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/observe/background.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscuswall {
namespace {

constexpr auto subscription_lifetime = milliseconds{3'500};
constexpr auto renewed_lately = milliseconds{1'100};     // two renewals of an entry with many agents
constexpr auto idle_report_interval = milliseconds{280}; // well below the lifetime of a load report
constexpr auto other_region_interval = 3U; // every third report also goes to entries of other regions

auto is_idle(load_report const& report) -> bool
{
    return report.running == 0 && report.queued == 0 && !report.paused && !report.leaving;
}

} // namespace

load_report_sender::load_report_sender(asio::io_context& io, member const& self, declared_state& declared)
    : socket_{io}, self_{self}, declared_state_{declared}
{
}

auto load_report_sender::start() -> result<void>
{
    if (auto opened = socket_.open(self_.control_address); !opened) return opened.error();
    start_loop(socket_.executor(), "datagrams", [this] {
        return socket_.receive([this](auto const& message, auto const& from) { on_datagram(message, from); });
    });
    return success();
}

auto load_report_sender::on_datagram(datagram const& message, datagram_endpoint const& from) -> void
{
    if (auto const* received = std::get_if<subscription>(&message)) {
        auto const now = clock::now();
        subscribers_[from] = {now, *received};
        declared_state_.on_peer_knows({received->weights_revision, received->weights_age}, now);
    }
    auto const* held = std::get_if<chunk_holdings>(&message);
    if (held != nullptr && on_holdings_) on_holdings_(*held);
}

auto load_report_sender::newer_peers(time_point now) const -> std::vector<address>
{
    auto found = std::vector<address>{};
    for (auto const& [from, entry] : ranked_subscribers(now)) {
        auto const& known = entry->latest;
        auto const lacks_configuration = declared_state_.map() == nullptr && known.operator_revision > 0;
        if (lacks_configuration || known.weights_revision > declared_state_.weights_revision())
            found.push_back(to_address(from));
    }
    return found;
}

auto load_report_sender::entries(time_point now) const -> std::vector<address>
{
    auto found = std::vector<address>{};
    for (auto const& [from, entry] : ranked_subscribers(now))
        found.push_back(to_address(from));
    return found;
}

// An entry that has missed a renewal or two may be gone; the order differs between agents, so that they do
// not all turn to the same one.
auto load_report_sender::ranked_subscribers(time_point now) const -> subscriber_list
{
    auto ranked = subscriber_list{};
    for (auto const& [from, entry] : subscribers_)
        ranked.emplace_back(from, &entry);
    auto const rank = [&](auto const& each) {
        auto const& latest = each.second->latest;
        return std::make_tuple(now - each.second->received_at > renewed_lately, latest.region != self_.region,
                               rendezvous_weight(self_.name, latest.entry));
    };
    std::sort(ranked.begin(), ranked.end(),
              [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    return ranked;
}

// Entries fetch operator changes from each other if the store is unavailable. The agent only names an entry
// with the newest revision.
auto load_report_sender::set_most_current_peer(load_report& report, time_point now) const -> void
{
    auto const ranked = ranked_subscribers(now);
    for (auto const& [from, entry] : ranked) {
        auto const revision = entry->latest.operator_revision;
        if (revision <= report.operator_revision) continue;
        report.operator_revision = revision;
        report.most_current_peer = to_address(from);
    }
    set_newest_configuration(report, ranked);
}

auto load_report_sender::set_newest_configuration(load_report& report, subscriber_list const& ranked) const
    -> void
{
    auto newest = configuration_holder{};
    auto version_of_most_current = std::uint64_t{0};
    for (auto const& [from, entry] : ranked) {
        auto const version = entry->latest.configuration_version;
        if (report.most_current_peer == to_address(from)) version_of_most_current = version;
        if (version > newest.version) newest = {version, to_address(from)};
    }
    report.newest_configuration.reset();
    if (newest.version > version_of_most_current) report.newest_configuration = newest;
}

auto load_report_sender::send_holdings(chunk_holdings const& held, std::vector<member> const& agents) -> void
{
    auto const bytes = encode(held);
    for (auto const& agent : agents)
        if (agent.name != self_.name) socket_.send(bytes, to_endpoint(agent.control_address));
}

// The entry that gets the engine's record first tells the others through this agent: their own watches gather
// changes, or wait behind a configuration on a full link.
auto load_report_sender::is_draining(load_report const& report) const -> bool
{
    if (report.started_at_ms == 0) return false;
    return std::any_of(subscribers_.begin(), subscribers_.end(), [&](auto const& each) {
        return each.second.latest.draining_run_ms == report.started_at_ms;
    });
}

// While the engine is idle, nothing changes from one report to the next.
auto load_report_sender::is_due(load_report const& report, time_point now) -> bool
{
    auto const version = report.weights ? report.weights->version : 0;
    auto const names_limit = with_times(report.rate, now).limit().has_value();
    auto const has_changed = !was_idle_ || subscribers_.size() != reported_subscribers_ ||
                             version != reported_version_ || names_limit != reported_limit_;
    if (is_idle(report) && !has_changed && now - sent_at_ < idle_report_interval) return false;
    was_idle_ = is_idle(report);
    reported_subscribers_ = subscribers_.size();
    reported_version_ = version;
    reported_limit_ = names_limit;
    sent_at_ = now;
    return true;
}

auto load_report_sender::send_report(load_report report, time_point now) -> void
{
    std::erase_if(subscribers_,
                  [&](auto const& each) { return now - each.second.received_at > subscription_lifetime; });
    report.leaving = report.leaving || is_draining(report);
    if (!is_due(report, now)) return;
    report.subscriber_count = static_cast<int>(subscribers_.size());
    set_most_current_peer(report, now);
    auto const weights = declared_state_.newest_weights(now);
    report.weights_revision = weights.revision;
    report.weights_age = weights.age;
    report.same_region_entries.clear();
    report.shed_level = 0;
    for (auto const& [to, entry] : subscribers_)
        report.records_revision = std::max(report.records_revision, entry.latest.records_revision);
    for (auto const& [to, entry] : subscribers_)
        report.shed_level += entry.latest.shed_level / static_cast<double>(subscribers_.size());
    for (auto const& [to, entry] : subscribers_)
        if (entry.latest.region == self_.region) report.same_region_entries.push_back(entry.latest.entry);
    std::sort(report.same_region_entries.begin(), report.same_region_entries.end());
    // Entries of other regions send calls here only if the engines in their own region are full, so they need
    // fewer reports.
    auto const sends_to_other_regions =
        report.paused || is_idle(report) || reports_sent_++ % other_region_interval == 0;
    auto const common = encode(report);
    for (auto const& [to, entry] : subscribers_) {
        if (!sends_to_other_regions && entry.latest.region != self_.region) continue;
        auto const subscription_age = std::chrono::duration_cast<microseconds>(now - entry.received_at);
        socket_.send(encode_for_subscriber(common, entry.latest.sent_at_us, subscription_age.count()), to);
    }
}

} // namespace hibiscuswall
