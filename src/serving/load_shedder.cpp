#include "hibiscuswall/serving/load_shedder.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace hibiscuswall {
namespace {

// With fewer recent calls, the rejected fraction is not meaningful and counts as 0.
constexpr auto min_unshed_calls = 3.0;
// Longest time step applied: after a pause of the process the counts say nothing about the pause.
constexpr auto max_step_s = 0.5;

auto seconds_of(clock::duration span) -> double { return std::chrono::duration<double>(span).count(); }

} // namespace

auto load_shedder::decay_counts(time_point now) -> void
{
    auto const remaining = std::exp(-seconds_of(now - decayed_at_) / seconds_of(settings_.decay_time));
    unshed_ *= remaining;
    rejected_ *= remaining;
    shed_sent_ *= remaining;
    decayed_at_ = now;
}

auto load_shedder::on_unshed_call(bool rejected, time_point now) -> void
{
    decay_counts(now);
    unshed_ += 1;
    if (rejected) rejected_ += 1;
}

auto load_shedder::on_shed_call_sent(time_point now) -> void
{
    decay_counts(now);
    shed_sent_ += 1;
}

auto load_shedder::update(time_point now) -> void
{
    decay_counts(now);
    auto const span = std::min(max_step_s, seconds_of(now - updated_at_));
    updated_at_ = now;
    auto const rejected_fraction = unshed_ < min_unshed_calls ? 0.0 : rejected_ / unshed_;
    auto const fall = shed_sent_ >= 1.0 ? settings_.headroom_fall_per_s : settings_.fall_per_s;
    auto const change =
        rejected_fraction >= settings_.target_rejected_fraction
            ? std::min(settings_.max_rise_per_s,
                       settings_.rise_per_s * (rejected_fraction - settings_.target_rejected_fraction))
            : fall * (rejected_fraction / settings_.target_rejected_fraction - 1.0);
    level_ = std::clamp(level_ + change * span, 0.0, settings_.max_level);
}

auto load_shedder::converge_to(double mean, time_point now) -> void
{
    auto const span = std::min(max_step_s, seconds_of(now - converged_at_));
    converged_at_ = now;
    auto const fraction = std::min(1.0, settings_.convergence_per_s * span);
    level_ = std::clamp(level_ + fraction * (mean - level_), 0.0, settings_.max_level);
}

auto shedding_rank(std::string_view identity, std::uint64_t epoch) -> double
{
    auto const weight = rendezvous_weight(std::to_string(epoch), identity);
    return static_cast<double>(weight >> 11U) * 0x1.0p-53;
}

} // namespace hibiscuswall
