#pragma once
// When a process reads the host list again. The list names the whole fleet, so its size grows with the fleet
// and each process reads it less often: the processes of a failure domain together read it about once an
// interval and pass on what changed.
//
//   auto part = host_list_part(random.fraction(), self.name);
//   auto delay = host_list_delay(settings.host_list_interval, counts, part);

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/membership/member_table.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace hibiscuswall {

// The target has 8 failure domains; smaller ones must not read a long list as often as their size suggests.
constexpr auto host_list_readers_share = std::size_t{8};

// fraction in [0, 1) spreads the readers: the delay is between 0.5 and 1.5 times its mean.
[[nodiscard]] inline auto host_list_delay(milliseconds interval, member_counts const& others, double fraction)
    -> milliseconds
{
    auto const readers = std::max(others.in_failure_domain + 1, (others.live + 1) / host_list_readers_share);
    auto const mean = static_cast<double>(interval.count()) * static_cast<double>(readers);
    return milliseconds{static_cast<long long>(mean * (0.5 + fraction))};
}

// Shifts a random fraction by the process's name: processes with the same seed must not read at the same
// time, because nobody would read in between.
[[nodiscard]] inline auto host_list_part(double fraction, std::string_view name) -> double
{
    constexpr auto parts = std::uint64_t{1'000'000};
    auto const own =
        static_cast<double>(rendezvous_weight("host list", name) % parts) / static_cast<double>(parts);
    return std::fmod(fraction + own, 1.0);
}

} // namespace hibiscuswall
