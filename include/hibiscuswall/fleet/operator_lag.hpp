#pragma once
// How long this process has known of operator changes that it does not have yet. No network, no clock.
//
//   auto lag = operator_lag{};
//   lag.on_heard(report.operator_revision, now);             // another process has this change
//   auto const was = lag.on_known(declared.revision(), now); // how long it was behind, once it has caught up
//   lag.behind_for(now);                                     // zero: it has everything that it heard of

#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace hibiscuswall {

class operator_lag {
public:
    auto on_heard(std::uint64_t revision, time_point now) -> void;

    // Returns for how long this process was behind if it has just caught up.
    auto on_known(std::uint64_t revision, time_point now) -> std::optional<clock::duration>;

    // Since this process first heard of the oldest change that it lacks.
    [[nodiscard]] auto behind_for(time_point now) const -> clock::duration;

    // The newest change that this process has heard of or has.
    [[nodiscard]] auto newest() const -> std::uint64_t { return newest_; }

private:
    struct heard_change {
        std::uint64_t revision = 0;
        time_point first_heard;
    };

    std::deque<heard_change> lacking_; // oldest first; of many, the latest ones are left out
    std::uint64_t newest_ = 0;
    std::optional<time_point> behind_since_; // when it last had everything that it had heard of
};

} // namespace hibiscuswall
