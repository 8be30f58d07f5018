#include "hibiscuswall/serving/rate_divider.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscuswall {
namespace {

constexpr auto heard_timeout = milliseconds{1'000}; // since a sender's last report
// A sender that is not heard from for so long holds no grant any more: the last one that may have reached it
// has expired, and so has the last permit.
constexpr auto grants_lost_timeout = heard_timeout + milliseconds{1'000};
constexpr auto forgotten_timeout = milliseconds{4'000}; // its sends since then have left the window
constexpr auto removal_timeout = milliseconds{60'000};
constexpr auto gather_time = milliseconds{1'000}; // in which the senders report for the first time
constexpr auto max_senders = std::size_t{64};
constexpr auto idle_fraction = 0.05; // of the calls, divided equally: a sender's first calls need not wait
// A call is recalled from a sender that needs it later than this, for one that needs it sooner than that.
constexpr auto idle_time_s = 1.0;
constexpr auto needed_time_s = 0.5;

} // namespace

auto rate_divider::on_report(sender_report const& report, time_point now) -> void
{
    auto const found = senders_.find(report.sender);
    if (found == senders_.end() && senders_.size() >= max_senders) return;
    auto& sender = found != senders_.end() ? found->second : senders_[report.sender];
    auto const is_new = sender.heard_at == time_point{} || now - sender.heard_at > forgotten_timeout;
    auto const not_granted = is_new ? report.recent_sends : report.own_used - sender.own_used;
    earlier_sends_ += std::max<double>(0, static_cast<double>(not_granted));
    sender.own_used = report.own_used;
    sender.heard_at = now;
    sender.demand = report.demand;
    account(sender, report);
}

// Calls that were recalled and not sent may be granted again.
auto rate_divider::account(sender_state& sender, sender_report const& report) -> void
{
    if (report.divider_run != run_) {
        if (sender.has_grant) lose_grants(sender); // it was started again
        return;
    }
    sender.has_grant = true;
    auto const ended = std::clamp(report.ended, sender.ended, sender.granted);
    auto const sent = std::clamp<std::int64_t>(report.used - sender.used, 0, ended - sender.ended);
    level_ += static_cast<double>(ended - sender.ended - sent);
    sender.ended = ended;
    sender.used = std::max(sender.used, report.used);
}

// It is unknown which of them were sent, so all of them count as sent.
auto rate_divider::lose_grants(sender_state& sender) -> void
{
    sender.recalled = sender.ended = sender.granted;
    sender.has_grant = false;
    sender.used = 0;
}

// What was sent before the limit was known is charged as far as the window has no room for it. Of that room
// this divider has the part of the senders that it hears from; others may follow another divider, which has
// the rest. Calls that were charged while few had reported are given back once more have. The longest debt is
// over when all of it has left the window.
auto rate_divider::charge_earlier_sends(double rate, time_point now) -> void
{
    level_ -= earlier_sends_;
    auto to_give_back = 0.0;
    if (now - *begun_at_ <= gather_time) {
        gathered_ += earlier_sends_;
        auto const part = rate_ / rate;
        auto const uncharged = std::max(uncharged_, std::min(gathered_, uncharged_calls(rate) * part));
        level_ += uncharged - uncharged_;
        uncharged_ = uncharged;
        to_give_back = std::max(0.0, std::min(gathered_, uncharged_calls(rate)) - uncharged_);
    }
    earlier_sends_ = 0;
    level_ = std::max(level_, -in_seconds(rate_window) * rate - to_give_back);
}

auto rate_divider::heard_senders(time_point now) -> sender_list
{
    auto list = sender_list{};
    auto demand = 0.0;
    for (auto& [name, sender] : senders_) {
        sender.has_changed = false;
        if (now - sender.heard_at > grants_lost_timeout && sender.open() > 0) lose_grants(sender);
        if (now - sender.heard_at > heard_timeout) continue;
        list.push_back(&sender);
        demand += sender.demand;
    }
    auto const equal = 1.0 / static_cast<double>(std::max<std::size_t>(1, list.size()));
    for (auto* sender : list) {
        auto const by_demand = demand > 0 ? sender->demand / demand : equal;
        sender->weight = (1 - idle_fraction) * by_demand + idle_fraction * equal;
    }
    return list;
}

auto rate_divider::open_calls() const -> std::int64_t
{
    auto sum = std::int64_t{0};
    for (auto const& [name, sender] : senders_)
        sum += sender.open();
    return sum;
}

auto rate_divider::divide(double limit, int senders, time_point now) -> void
{
    auto const rate = std::max(limit, min_calls_per_second);
    if (!begun_at_) begun_at_ = divided_at_ = now;
    std::erase_if(senders_, [&](auto const& each) { return now - each.second.heard_at > removal_timeout; });
    auto const list = heard_senders(now);
    auto const known = std::max({1, senders, static_cast<int>(list.size())});
    rate_ = rate * static_cast<double>(list.size()) / known;
    level_ += rate_ * in_seconds(now - divided_at_);
    divided_at_ = now;
    auto const store = call_store(limit);
    level_ = std::min(level_, store - static_cast<double>(open_calls()));
    charge_earlier_sends(rate, now);
    grant_due_calls(list, store);
    if (level_ < 1) recall_idle_calls(list);
}

// Smooth weighted round robin among the senders that hold less than their part of the store. The more of its
// part a sender holds unused, the later its turn comes. While more calls become due than are needed, a sender
// that holds none comes first.
auto rate_divider::grant_due_calls(sender_list const& senders, double store) -> void
{
    auto demand = 0.0;
    for (auto const* sender : senders)
        demand += sender->demand;
    auto const is_scarce = demand > rate_;
    auto const turn = [&](sender_state const* sender) {
        auto const held = static_cast<double>(sender->held());
        return sender->credit - (is_scarce ? held / (store * sender->weight) : held);
    };
    auto const has_room = [&](sender_state const* sender) {
        return sender->held() == 0 || static_cast<double>(sender->held()) < store * sender->weight;
    };
    while (level_ >= 1) {
        auto* next = static_cast<sender_state*>(nullptr);
        auto weight = 0.0;
        for (auto* sender : senders) {
            if (!has_room(sender)) continue;
            sender->credit += sender->weight;
            weight += sender->weight;
            if (next == nullptr || turn(sender) > turn(next)) next = sender;
        }
        if (next == nullptr) return;
        next->credit -= weight;
        ++next->granted;
        next->has_changed = true;
        level_ -= 1;
    }
}

auto rate_divider::recall_idle_calls(sender_list const& senders) -> void
{
    auto needed = 0.0;
    for (auto const* sender : senders)
        needed +=
            std::max(0.0, std::floor(sender->demand * needed_time_s) - static_cast<double>(sender->held()));
    for (auto* sender : senders) {
        if (needed < 1) return;
        auto const kept = static_cast<std::int64_t>(std::floor(sender->demand * idle_time_s));
        auto const idle = std::min(sender->held() - kept, static_cast<std::int64_t>(needed));
        if (idle <= 0) continue;
        sender->recalled = std::max(sender->recalled, sender->ended) + idle;
        sender->has_changed = true;
        needed -= static_cast<double>(idle);
    }
}

auto rate_divider::grant_for(std::string_view sender, time_point now) const -> std::optional<rate_grant>
{
    auto const found = senders_.find(sender);
    if (found == senders_.end() || now - found->second.heard_at > heard_timeout) return std::nullopt;
    auto const& state = found->second;
    return rate_grant{run_, state.granted, state.recalled, rate_ * state.weight};
}

auto rate_divider::has_changed(std::string_view sender) const -> bool
{
    auto const found = senders_.find(sender);
    return found != senders_.end() && found->second.has_changed;
}

auto rate_divider::heard(time_point now) const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [name, sender] : senders_)
        if (now - sender.heard_at <= heard_timeout) names.push_back(name);
    return names;
}

} // namespace hibiscuswall
