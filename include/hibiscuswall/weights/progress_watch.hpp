#pragma once
// Detects a sender that makes too little progress with a chunk. A sender that delivers single bytes passes
// every read timeout, so a minimum of bytes is required within each progress deadline.
//
//   auto watch = progress_watch{size, deadline, now};
//   watch.on_bytes_received(bytes, now);  if (watch.is_stalled()) ...
//   watch.exclude_wait(time);                         // time spent waiting for this host's own link

#include "hibiscuswall/core/time.hpp"

#include <cstdint>

namespace hibiscuswall {

class progress_watch {
public:
    // size: bytes of the chunk. deadline: a fifth of the chunk has to arrive within each deadline.
    progress_watch(std::uint64_t size, milliseconds deadline, time_point now);

    auto on_bytes_received(std::uint64_t bytes, time_point now) -> void;
    auto exclude_wait(clock::duration time) -> void { window_began_ += time; }

    [[nodiscard]] auto is_stalled() const -> bool { return stalled_; }

private:
    std::uint64_t min_window_bytes_; // minimum of bytes within one deadline
    milliseconds deadline_;
    time_point window_began_;
    std::uint64_t window_bytes_ = 0;
    bool stalled_ = false;
};

} // namespace hibiscuswall
