#pragma once
// Tells whether the sender of a chunk still makes progress. A sender that delivers a byte now and then keeps
// every read within its timeout; this asks for a part of the chunk in each progress deadline.
//
//   auto watch = progress_watch{size, deadline, now};
//   watch.gained(bytes, now);  if (watch.is_stalled()) ...
//   watch.held_up(time);                              // this side waited (its own link), not for the sender

#include "hibiscuswall/core/time.hpp"

#include <cstdint>

namespace hibiscuswall {

class progress_watch {
public:
    // size in bytes, of the whole chunk; deadline: in each of them a fifth of the chunk has to arrive.
    progress_watch(std::uint64_t size, milliseconds deadline, time_point now);

    auto gained(std::uint64_t bytes, time_point now) -> void;
    auto held_up(clock::duration time) -> void { window_began_ += time; }

    [[nodiscard]] auto is_stalled() const -> bool { return stalled_; }

private:
    std::uint64_t least_; // bytes in one deadline
    milliseconds deadline_;
    time_point window_began_;
    std::uint64_t window_bytes_ = 0;
    bool stalled_ = false;
};

} // namespace hibiscuswall
