// Prints how many milliseconds pass on the project's clock and on the steady clock while it is stopped. Stops
// itself; whoever started it lets it go on.
#include "hibiscuswall/core/time.hpp"

#include <csignal>
#include <iostream>

auto main() -> int
{
    using namespace hibiscuswall;
    auto const ms_since = [](auto begun, auto now) {
        return std::chrono::duration_cast<milliseconds>(now - begun).count();
    };
    auto const begun = clock::now();
    auto const steady_begun = std::chrono::steady_clock::now();
    std::raise(SIGSTOP);
    std::cout << "clock_ms=" << ms_since(begun, clock::now())
              << " steady_ms=" << ms_since(steady_begun, std::chrono::steady_clock::now()) << std::endl;
    return 0;
}
