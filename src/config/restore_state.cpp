#include "hibiscuswall/config/restore_state.hpp"

namespace hibiscuswall {
namespace {

constexpr auto first_era = std::uint64_t{1}; // of a store that was never restored

// Until every process has heard of the restore by the configuration that is written again, and has written
// what it knows.
constexpr auto rewrite_time = milliseconds{3'000};

} // namespace

auto restore_state::on_era(std::uint64_t era, time_point now) -> bool
{
    if (era <= era_) return false;
    auto const knew_all = knows_before_ || !may_lack_writes(now);
    has_risen_ = era_ > 0;
    knows_before_ = has_risen_ && knew_all;
    era_ = era;
    known_since_ = now;
    is_asked_ = false;
    return has_risen_;
}

auto restore_state::on_settled(std::uint64_t era) -> void
{
    settled_ = era;
    is_asked_ = true;
}

auto restore_state::is_unsettled() const -> bool { return era_ > first_era && settled_ < era_; }

auto restore_state::is_young(time_point now) const -> bool { return now - known_since_ < rewrite_time; }

auto restore_state::must_ask(time_point now) const -> bool
{
    return is_unsettled() && !has_risen_ && !is_asked_ && is_young(now);
}

// Others may have recorded the era before a process that knew an earlier one has written what it knows.
auto restore_state::may_lack_writes(time_point now) const -> bool
{
    return (has_risen_ || is_unsettled()) && is_young(now);
}

auto restore_state::must_record(time_point now) const -> bool { return is_unsettled() && !is_young(now); }

} // namespace hibiscuswall
