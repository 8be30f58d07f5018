#include "hibiscuswall/fleet/rate_coordination.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

auto microseconds_of(time_point at) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(at.time_since_epoch()).count();
}

auto run_of(tracked_endpoint const& endpoint) -> endpoint_run
{
    return {endpoint.record.where, endpoint.record.started_at_ms};
}

} // namespace

auto rate_coordination::set_entries(std::span<listed_entry const> entries) -> void
{
    addresses_.clear();
    for (auto const& entry : entries)
        if (entry.name != self_ && entry.peer_address) addresses_.emplace(entry.name, *entry.peer_address);
}

auto rate_coordination::run_round(time_point now) -> bool
{
    forget_unlimited();
    repeat_news(now);
    auto is_needed = !news_.empty();
    for (auto const& [id, endpoint] : endpoints_.all()) {
        if (!endpoint->share.is_limited() || !endpoint->assigned) continue;
        is_needed = true;
        if (endpoint->rate_divider == self_)
            divide(*endpoint, now);
        else
            report(*endpoint, now);
    }
    return is_needed;
}

// What was granted for an earlier limit, or by an entry that no longer divides, does not count any more.
auto rate_coordination::forget_unlimited() -> void
{
    auto const& known = endpoints_.all();
    auto const is_limited = [&](auto const& id) {
        auto const found = known.find(id);
        return found != known.end() && found->second->share.is_limited();
    };
    std::erase_if(divided_, [&](auto const& each) {
        return !is_limited(each.first) || known.find(each.first)->second->rate_divider != self_;
    });
    std::erase_if(reported_at_, [&](auto const& each) { return !is_limited(each.first); });
}

auto rate_coordination::notice_of(tracked_endpoint const& endpoint, time_point now) const -> rate_notice
{
    auto notice = rate_notice{};
    notice.endpoint = run_of(endpoint);
    notice.known = with_ages(endpoint.rate, now);
    notice.entry = self_;
    return notice;
}

// ---- divider

auto rate_coordination::divide(tracked_endpoint& endpoint, time_point now) -> void
{
    auto const [found, is_new] = divided_.try_emplace(
        endpoint.record.id, divided_endpoint{rate_divider{random_.engine()()}, {}, {}, {}});
    auto& divided = found->second;
    if (now < divided.next_divide) return;
    divided.next_divide = now + settings_.divide_interval;
    divided.divider.on_report(endpoint.share.report(self_, now), now);
    divided.divider.divide(*endpoint.rate.limit(), endpoint.sender_count, now);
    if (auto const grant = divided.divider.grant_for(self_, now))
        endpoint.share.on_grant(*grant, now, now, now);
    notify(endpoint, divided, now);
    tell_silent_senders(endpoint, divided, now);
}

auto rate_coordination::notify(tracked_endpoint const& endpoint, divided_endpoint& divided, time_point now)
    -> void
{
    for (auto& [name, peer] : divided.peers) {
        auto const grant = divided.divider.grant_for(name, now);
        if (!grant || (now < peer.next_notice && !divided.divider.has_changed(name))) continue;
        peer.next_notice = now + settings_.notice_interval;
        auto notice = notice_of(endpoint, now);
        notice.grant = grant;
        notice.echoed_sent_at_us = peer.sent_at_us;
        notice.report_age_us = std::chrono::duration_cast<microseconds>(now - peer.reported_at).count();
        send_(encode(notice), peer.where);
    }
}

auto rate_coordination::tell_silent_senders(tracked_endpoint const& endpoint, divided_endpoint& divided,
                                            time_point now) -> void
{
    if (now < divided.next_tell) return;
    divided.next_tell = now + settings_.tell_interval;
    auto const heard = divided.divider.heard(now);
    for (auto const& name : endpoint.senders)
        if (std::find(heard.begin(), heard.end(), name) == heard.end()) tell(endpoint, name, now);
}

auto rate_coordination::on_report(rate_report const& report, address const& from, time_point now) -> void
{
    auto const endpoint = endpoints_.find_run(report.endpoint.where, report.endpoint.started_at_ms);
    if (endpoint == nullptr) return;
    endpoints_.merge_rate(*endpoint, with_times(report.known, now), endpoint_table::rate_source::entry, now);
    auto const divided = divided_.find(endpoint->record.id);
    if (divided == divided_.end()) return; // not divided by this entry, or not until the next round
    auto& peer = divided->second.peers[report.sender.sender];
    peer.where = from;
    peer.sent_at_us = report.sent_at_us;
    peer.reported_at = now;
    divided->second.divider.on_report(report.sender, now);
}

// ---- sender

auto rate_coordination::report(tracked_endpoint& endpoint, time_point now) -> void
{
    auto const divider = addresses_.find(endpoint.rate_divider);
    if (divider == addresses_.end()) return;
    auto& reported_at = reported_at_[endpoint.record.id];
    auto const interval =
        endpoint.share.has_urgent_report(now) ? settings_.min_report_interval : settings_.report_interval;
    if (now - reported_at < interval) return;
    reported_at = now;
    auto const message = rate_report{run_of(endpoint), with_ages(endpoint.rate, now),
                                     endpoint.share.report(self_, now), microseconds_of(now)};
    send_(encode(message), divider->second);
}

auto rate_coordination::on_notice(rate_notice const& notice, time_point now) -> bool
{
    auto const endpoint = endpoints_.find_run(notice.endpoint.where, notice.endpoint.started_at_ms);
    if (endpoint == nullptr) return false;
    endpoints_.merge_rate(*endpoint, with_times(notice.known, now), endpoint_table::rate_source::entry, now);
    if (!notice.grant || notice.entry != endpoint->rate_divider) return false;
    auto const reported_at = time_point{microseconds{notice.echoed_sent_at_us}};
    auto const made_at = reported_at + microseconds{notice.report_age_us};
    if (made_at > now) return false; // not an answer to a report of this process
    endpoint->share.on_grant(*notice.grant, reported_at, made_at, now);
    return true;
}

// ---- news for all senders

auto rate_coordination::tell(tracked_endpoint const& endpoint, std::string const& entry, time_point now)
    -> void
{
    auto const found = addresses_.find(entry);
    if (found != addresses_.end()) send_(encode(notice_of(endpoint, now)), found->second);
}

auto rate_coordination::tell_all(tracked_endpoint const& endpoint, time_point now) -> void
{
    for (auto const& name : endpoint.senders)
        tell(endpoint, name, now);
    news_.insert_or_assign(endpoint.record.id,
                           repeated_news{settings_.repeats, now + settings_.repeat_interval});
}

auto rate_coordination::repeat_news(time_point now) -> void
{
    for (auto& [id, news] : news_) {
        if (now < news.next) continue;
        --news.remaining;
        news.next = now + settings_.repeat_interval;
        auto const found = endpoints_.all().find(id);
        if (found == endpoints_.all().end()) continue;
        for (auto const& name : found->second->senders)
            tell(*found->second, name, now);
    }
    std::erase_if(news_, [](auto const& each) { return each.second.remaining <= 0; });
}

} // namespace hibiscuswall
