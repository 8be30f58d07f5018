// Preloaded into a process to show it a machine that was suspended: CLOCK_MONOTONIC stands back by the
// milliseconds that the file HW_SUSPENDED_FILE holds, while CLOCK_BOOTTIME runs on.
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <ctime>

namespace {

constexpr auto ns_per_ms = 1'000'000LL;
constexpr auto ns_per_s = 1'000'000'000LL;

auto suspended_ns() -> long long
{
    auto const* path = std::getenv("HW_SUSPENDED_FILE");
    if (path == nullptr) return 0;
    auto const file = open(path, O_RDONLY);
    if (file < 0) return 0;
    auto text = std::array<char, 32>{};
    auto const size = read(file, text.data(), text.size() - 1);
    close(file);
    return size > 0 ? std::atoll(text.data()) * ns_per_ms : 0;
}

} // namespace

extern "C" auto clock_gettime(clockid_t which, timespec* out) noexcept -> int
{
    using function = int (*)(clockid_t, timespec*);
    static auto const real = reinterpret_cast<function>(dlsym(RTLD_NEXT, "clock_gettime"));
    auto const status = real(which, out);
    if (status != 0 || which != CLOCK_MONOTONIC) return status;
    auto const ns = out->tv_sec * ns_per_s + out->tv_nsec - suspended_ns();
    out->tv_sec = ns / ns_per_s;
    out->tv_nsec = ns % ns_per_s;
    return status;
}
