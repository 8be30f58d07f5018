#pragma once
// When a process reads the host list again. The list names all hosts, so its size grows with the deployment,
// and each process reads it less often in a larger one: the processes of a failure domain together read it
// about once per interval and pass on the changes by gossip.
//
//   auto fraction = host_list_fraction(random.fraction(), self.name);
//   auto delay = host_list_delay(settings.host_list_interval, counts, fraction);

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/membership/member_table.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace hibiscuswall {

// The target deployment has 8 failure domains. Processes of a small failure domain in a large deployment read
// the long list no more often than those of a failure domain of average size.
constexpr auto target_failure_domains = std::size_t{8};

// The fraction in [0, 1) spreads the reads: the delay is between 0.5 and 1.5 times its mean.
[[nodiscard]] inline auto host_list_delay(milliseconds interval, member_counts const& others, double fraction)
    -> milliseconds
{
    auto const readers = std::max(others.in_failure_domain + 1, (others.live + 1) / target_failure_domains);
    auto const mean = static_cast<double>(interval.count()) * static_cast<double>(readers);
    return milliseconds{static_cast<long long>(mean * (0.5 + fraction))};
}

// Shifts a random fraction by an offset from the name of the process. Without it, processes with the same
// random seed would all read at the same time, and no process would read in between.
[[nodiscard]] inline auto host_list_fraction(double fraction, std::string_view name) -> double
{
    constexpr auto steps = std::uint64_t{1'000'000};
    auto const offset =
        static_cast<double>(rendezvous_weight("host list", name) % steps) / static_cast<double>(steps);
    return std::fmod(fraction + offset, 1.0);
}

} // namespace hibiscuswall
