#include "hibiscuswall/core/time.hpp"

#include <ctime>

namespace hibiscuswall {

auto clock::now() noexcept -> time_point
{
    auto elapsed = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &elapsed); // cannot fail: every supported kernel has this clock
    return time_point{std::chrono::seconds{elapsed.tv_sec} + std::chrono::nanoseconds{elapsed.tv_nsec}};
}

} // namespace hibiscuswall
