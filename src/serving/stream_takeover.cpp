#include "hibiscuswall/serving/stream_takeover.hpp"

namespace hibiscuswall {
namespace {

constexpr auto default_target_gap = milliseconds{300}; // of routes that specify none
constexpr auto max_hold_fraction = 0.8;                // of the target gap

} // namespace

auto max_hold_time(call_route const& route) -> milliseconds
{
    auto const gap = route.target_gap.count() > 0 ? route.target_gap : default_target_gap;
    return milliseconds{static_cast<long long>(static_cast<double>(gap.count()) * max_hold_fraction)};
}

} // namespace hibiscuswall
