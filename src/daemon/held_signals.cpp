#include "hibiscuswall/daemon/held_signals.hpp"

#include <csignal>
#include <initializer_list>

namespace hibiscuswall {
namespace {

auto change_mask(int how) -> void
{
    auto signals = sigset_t{};
    sigemptyset(&signals);
    for (auto const each : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, each);
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

auto hold_signals() -> void { change_mask(SIG_BLOCK); }
auto release_signals() -> void { change_mask(SIG_UNBLOCK); }

} // namespace hibiscuswall
