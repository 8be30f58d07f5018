#pragma once
// What one process knows of the rate limit that one run of an endpoint names in its responses. No network, no
// clock.
//
//   knowledge.on_response(decode_rate(headers), requested_at, received_at);
//   knowledge.merge(received_from_peer);
//   if (auto limit = knowledge.limit()) ...          // calls per second, from all hosts together
//
// A limit holds for as long as the endpoint names it. Responses overtake one another, so a limit ends, or is
// raised, only by a response to a request that was sent after the limit was last named. Where that is not
// known, the lower limit counts. Processes merge what they know; the order in which they do it does not
// matter.

#include "hibiscuswall/core/rate_statement.hpp"
#include "hibiscuswall/core/time.hpp"

#include <optional>

namespace hibiscuswall {

struct rate_knowledge {
    double calls_per_second = 0;            // limit that was named last
    std::optional<time_point> named_at;     // when a response that named it was last received
    std::optional<time_point> absent_since; // when the newest request was sent whose response named no limit

    auto on_response(rate_statement const& stated, time_point requested_at, time_point received_at) -> void;

    // Takes over what another process knows.
    auto merge(rate_knowledge const& other) -> void;

    // The limit in force, or none.
    [[nodiscard]] auto limit() const -> std::optional<double>;
};

// The same as ages, for other processes, whose clocks differ. Negative: never.
struct aged_rate_knowledge {
    double calls_per_second = 0;
    milliseconds named_age{-1};
    milliseconds absent_age{-1};
};

[[nodiscard]] auto with_ages(rate_knowledge const& knowledge, time_point now) -> aged_rate_knowledge;

// The ages grew on the way. A limit must not end because of that, so the end counts as earlier by the longest
// time that a datagram usually takes.
[[nodiscard]] auto with_times(aged_rate_knowledge const& received, time_point now) -> rate_knowledge;

} // namespace hibiscuswall
