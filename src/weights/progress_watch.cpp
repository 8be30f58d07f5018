#include "hibiscuswall/weights/progress_watch.hpp"

namespace hibiscuswall {
namespace {

constexpr auto max_deadlines_per_chunk = std::uint64_t{5}; // time limit for a chunk, in progress deadlines

} // namespace

progress_watch::progress_watch(std::uint64_t size, milliseconds deadline, time_point now)
    : min_window_bytes_{size / max_deadlines_per_chunk}, deadline_{deadline}, window_began_{now}
{
}

auto progress_watch::on_bytes_received(std::uint64_t bytes, time_point now) -> void
{
    window_bytes_ += bytes;
    if (now - window_began_ < deadline_) return;
    stalled_ = stalled_ || window_bytes_ < min_window_bytes_;
    window_began_ = now;
    window_bytes_ = 0;
}

} // namespace hibiscuswall
