#include "hibiscuswall/fleet/operator_lag.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_lacking = std::size_t{64}; // changes

} // namespace

auto operator_lag::on_heard(std::uint64_t revision, time_point now) -> void
{
    if (revision <= newest_) return;
    newest_ = revision;
    if (!behind_since_) behind_since_ = now;
    if (lacking_.size() < max_lacking) lacking_.push_back({revision, now});
}

auto operator_lag::on_known(std::uint64_t revision, time_point now) -> std::optional<clock::duration>
{
    newest_ = std::max(newest_, revision);
    while (!lacking_.empty() && lacking_.front().revision <= revision)
        lacking_.pop_front();
    if (!behind_since_ || revision < newest_) return std::nullopt;
    auto const was_behind = now - *behind_since_;
    behind_since_.reset();
    return was_behind;
}

auto operator_lag::behind_for(time_point now) const -> clock::duration
{
    return lacking_.empty() ? clock::duration::zero() : now - lacking_.front().first_heard;
}

} // namespace hibiscuswall
