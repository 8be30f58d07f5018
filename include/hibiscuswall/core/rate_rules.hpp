#pragma once
// Figures common to all that keeps calls to the rate limit that an endpoint names.

#include "hibiscuswall/core/time.hpp"

#include <algorithm>

namespace hibiscuswall {

// Over which calls to an endpoint are counted.
constexpr auto rate_window = milliseconds{4'000};

// After an endpoint first named a limit, within which its senders have to comply. What they sent within
// earlier_window before they knew then still counts.
constexpr auto time_to_comply = milliseconds{3'000};
constexpr auto earlier_window = milliseconds{1'500}; // of rate_window, and the time until the limit is known

// Also to an endpoint that names a limit of 0, so that it can take that back.
constexpr auto min_calls_per_second = 0.1;

// Calls that an endpoint with this limit may get at once after a time without any: those of a second and up
// to three, so that each of several senders can hold one; a single one if it takes next to nothing.
[[nodiscard]] inline auto call_store(double calls_per_second) -> double
{
    return calls_per_second + std::min(3.0, 1.0 + 4.0 * calls_per_second);
}

// Calls that may have been sent within earlier_window without being charged.
[[nodiscard]] inline auto uncharged_calls(double calls_per_second) -> double
{
    return calls_per_second * std::chrono::duration<double>(time_to_comply).count() + 3.0;
}

[[nodiscard]] inline auto in_seconds(clock::duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

} // namespace hibiscuswall
