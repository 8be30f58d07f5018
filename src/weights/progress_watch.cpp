#include "hibiscuswall/weights/progress_watch.hpp"

namespace hibiscuswall {
namespace {

constexpr auto whole_deadlines = std::uint64_t{5}; // a chunk takes at most this many progress deadlines

} // namespace

progress_watch::progress_watch(std::uint64_t size, milliseconds deadline, time_point now)
    : least_{size / whole_deadlines}, deadline_{deadline}, window_began_{now}
{
}

auto progress_watch::gained(std::uint64_t bytes, time_point now) -> void
{
    window_bytes_ += bytes;
    if (now - window_began_ < deadline_) return;
    stalled_ = stalled_ || window_bytes_ < least_;
    window_began_ = now;
    window_bytes_ = 0;
}

} // namespace hibiscuswall
