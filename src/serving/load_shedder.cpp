#include "hibiscuswall/serving/load_shedder.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace hibiscuswall {
namespace {

constexpr auto fewest_kept = 3.0;  // calls of late; fewer say nothing of the load
constexpr auto longest_step = 0.5; // seconds; after a pause of the process the counts say nothing of it

auto seconds_of(clock::duration span) -> double { return std::chrono::duration<double>(span).count(); }

} // namespace

auto load_shedder::forget(time_point now) -> void
{
    auto const rest = std::exp(-seconds_of(now - counted_at_) / seconds_of(settings_.memory));
    kept_ *= rest;
    refused_ *= rest;
    spare_ *= rest;
    counted_at_ = now;
}

auto load_shedder::on_kept(bool refused, time_point now) -> void
{
    forget(now);
    kept_ += 1;
    if (refused) refused_ += 1;
}

auto load_shedder::on_spare(time_point now) -> void
{
    forget(now);
    spare_ += 1;
}

auto load_shedder::step(time_point now) -> void
{
    forget(now);
    auto const span = std::min(longest_step, seconds_of(now - stepped_at_));
    stepped_at_ = now;
    auto const share = kept_ < fewest_kept ? 0.0 : refused_ / kept_;
    auto const fall = spare_ >= 1.0 ? settings_.spare_fall_per_s : settings_.fall_per_s;
    auto const change = share >= settings_.aim ? std::min(settings_.longest_rise_per_s,
                                                          settings_.rise_per_s * (share - settings_.aim))
                                               : fall * (share / settings_.aim - 1.0);
    level_ = std::clamp(level_ + change * span, 0.0, settings_.most);
}

auto load_shedder::approach(double mean, time_point now) -> void
{
    auto const span = std::min(longest_step, seconds_of(now - approached_at_));
    approached_at_ = now;
    auto const part = std::min(1.0, settings_.approach_per_s * span);
    level_ = std::clamp(level_ + part * (mean - level_), 0.0, settings_.most);
}

auto shedding_rank(std::string_view identity, std::uint64_t epoch) -> double
{
    auto const weight = rendezvous_weight(std::to_string(epoch), identity);
    return static_cast<double>(weight >> 11U) * 0x1.0p-53;
}

} // namespace hibiscuswall
