#include "hibiscuswall/serving/rate_share.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscuswall {
namespace {

// With the time for which the divider keeps a grant, and the time until the request is written, a grant may
// be used for at most 1.5 s: see docs/admission.md.
constexpr auto grant_lifetime = milliseconds{700}; // without news of the divider
constexpr auto permit_lifetime =
    milliseconds{300}; // from the choice of the endpoint until the request is written
constexpr auto own_grant_lifetime = milliseconds{1'000};
constexpr auto divider_timeout = milliseconds{3'000}; // without a grant, a sender makes its own
constexpr auto own_grant_margin = 0.7;   // of the equal part, for grants that a sender makes for itself
constexpr auto soon = milliseconds{100}; // the next grant, if the rate is unknown
constexpr auto max_wait = milliseconds{10'000};
constexpr auto max_demand_intervals = std::size_t{5}; // over which the demand is averaged
// After so many mean intervals without a call, the demand counts as ended.
constexpr auto silent_intervals = 3.0;
constexpr auto min_interval_s = 0.001; // of calls that come at the same time
// A divider counts a sender's grants as sent once it has not heard from it for 2 s; so many others do not
// grant calls to one sender in that time.
constexpr auto max_earlier_positions = std::size_t{8};
constexpr auto min_first_span_s = 1.0; // of the first calls, which may have come together by chance

} // namespace

// Of an equal part, since senders that make their own grants do not coordinate; of an entry that has just
// started and may not be known yet.
auto rate_share::set_limit(std::optional<double> limit, int senders, double phase, time_point now) -> void
{
    if (limit && !limit_) {
        own_grants_from_ = now + rate_window; // what was sent before has left the window
        own_changed_at_ = limited_since_ = now;
        sends_before_limit_ = sends_.count(now);
        grant_valid_until_ = {};
        grant_ = {};
        next_ = used_ = reported_used_ = next_own_ = 0;
        own_rate_ = 0;
        own_made_ = phase;
    }
    limit_ = limit;
    if (!limit) return;
    set_own_rate(own_grant_margin * std::max(*limit, min_calls_per_second) / (std::max(1, senders) + 1), now);
}

auto rate_share::set_own_rate(double calls_per_second, time_point now) -> void
{
    if (calls_per_second == own_rate_) return;
    own_made_ += own_rate_ * in_seconds(now - own_changed_at_);
    own_changed_at_ = now;
    own_rate_ = calls_per_second;
}

auto rate_share::on_grant(rate_grant const& grant, time_point reported_at, time_point made_at, time_point now)
    -> void
{
    if (!limit_ || reported_at < limited_since_ || made_at + grant_lifetime <= now) return;
    if (grant.divider_run != grant_.divider_run)
        follow_run(grant.divider_run);
    else if (grant.granted < grant_.granted || grant.recalled < grant_.recalled)
        return; // overtaken by a later one
    grant_ = grant;
    own_grants_from_ = std::max(own_grants_from_, made_at + divider_timeout);
    grant_valid_until_ = std::max(grant_valid_until_, made_at + grant_lifetime);
    has_recalled_calls_ = has_recalled_calls_ || grant.recalled > next_;
    next_ = std::max(next_, grant.recalled);
}

// Grants are cumulative: a divider that this sender returns to, before it has heard of the change, still
// grants the calls that were sent already.
auto rate_share::follow_run(std::uint64_t divider_run) -> void
{
    if (grant_.divider_run != 0) earlier_positions_.push_back({grant_.divider_run, next_, used_});
    auto const found = std::find_if(earlier_positions_.begin(), earlier_positions_.end(),
                                    [&](auto const& each) { return each.divider_run == divider_run; });
    next_ = used_ = 0;
    if (found != earlier_positions_.end()) {
        next_ = found->next;
        used_ = found->used;
        earlier_positions_.erase(found);
    }
    reported_used_ = used_;
    if (earlier_positions_.size() > max_earlier_positions) earlier_positions_.pop_front();
}

auto rate_share::makes_own_grants(time_point now) const -> bool { return now >= own_grants_from_; }

// Made also while a divider grants calls; what is made then expires.
auto rate_share::own_grants(time_point now) const -> call_range
{
    auto const made_until = [&](time_point at) {
        auto const made = own_made_ + own_rate_ * in_seconds(at - own_changed_at_);
        return static_cast<std::int64_t>(std::floor(std::max(0.0, made)));
    };
    return {std::max(next_own_, made_until(now - own_grant_lifetime)), made_until(now)};
}

auto rate_share::open_grants(time_point now) const -> call_range
{
    if (has_grant(now)) return {next_, grant_.granted};
    return makes_own_grants(now) ? own_grants(now) : call_range{};
}

auto rate_share::available(time_point now) const -> int
{
    if (!limit_) return unlimited_calls;
    auto const open = open_grants(now);
    return static_cast<int>(std::clamp<std::int64_t>(open.end - open.first, 0, unlimited_calls - 1));
}

auto rate_share::take(time_point now) -> std::optional<call_permit>
{
    if (!limit_ || available(now) == 0) return std::nullopt;
    auto const taken = open_grants(now).first;
    if (has_grant(now)) {
        next_ = taken + 1;
        ++used_;
    } else {
        next_own_ = taken + 1;
        ++own_used_;
    }
    return call_permit{now + permit_lifetime};
}

auto rate_share::calls_per_second(time_point now) const -> double
{
    if (!limit_) return 0;
    if (has_grant(now)) return grant_.calls_per_second;
    return makes_own_grants(now) ? own_rate_ : 0;
}

auto rate_share::next_available_at(time_point now) const -> time_point
{
    if (available(now) > 0) return now;
    auto const rate = calls_per_second(now);
    if (rate <= 0) return now + (makes_own_grants(now) || has_grant(now) ? max_wait : soon);
    return now + bounded_duration(1.0 / rate, max_wait);
}

auto rate_share::record_demand(time_point now) -> void
{
    demanded_at_.push_back(now);
    if (demanded_at_.size() > max_demand_intervals + 1) demanded_at_.pop_front();
}

auto rate_share::demand_per_second(time_point now) const -> double
{
    if (demanded_at_.empty()) return 0;
    auto const silent_s = std::max(min_interval_s, in_seconds(now - demanded_at_.back()));
    auto const intervals = static_cast<double>(demanded_at_.size() - 1);
    auto const is_full = demanded_at_.size() > max_demand_intervals;
    auto const span_s = std::max(in_seconds(demanded_at_.back() - demanded_at_.front()),
                                 is_full ? max_demand_intervals * min_interval_s : min_first_span_s);
    auto const interval_s = span_s / std::max(1.0, intervals);
    return silent_s > silent_intervals * interval_s ? 1 / silent_s : 1 / interval_s;
}

auto rate_share::has_urgent_report(time_point now) const -> bool
{
    auto const has_used_last_call = used_ > reported_used_ && next_ == grant_.granted;
    if (has_recalled_calls_ || has_used_last_call) return true;
    auto const demand = demand_per_second(now);
    return demand > 2 * reported_demand_ + 1 || demand < reported_demand_ / 2 - 1;
}

auto rate_share::report(std::string sender, time_point now) -> sender_report
{
    reported_demand_ = demand_per_second(now);
    has_recalled_calls_ = false;
    reported_used_ = used_;
    auto const recent_sends = now - limited_since_ < rate_window
                                  ? std::max(sends_.count(now), sends_before_limit_)
                                  : sends_.count(now);
    return {std::move(sender), reported_demand_, recent_sends, grant_.divider_run, next_, used_, own_used_};
}

} // namespace hibiscuswall
