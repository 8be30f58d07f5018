#pragma once
// Polls until something holds or the time is over.
//
//   CHECK(await_condition(milliseconds{3000}, [&] { return entry.ready(); }));

#include "hibiscuswall/core/time.hpp"

#include <functional>
#include <thread>

namespace hibiscuswall {

inline auto await_condition(milliseconds bound, std::function<bool()> const& holds) -> bool
{
    constexpr auto pause = milliseconds{20};
    auto const deadline = clock::now() + bound;
    while (!holds()) {
        if (clock::now() >= deadline) return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace hibiscuswall
