#pragma once
// Watches the weights declarations in the store, apart from the operators' other keys: a large configuration
// must not hold up the few bytes of a declaration, on which the grace period of old weights depends.
//
//   auto watch = declaration_watch{store, random, declared, pauses};
//   start_loop(executor, "declarations", [&] { return watch.run(); });

#include "hibiscuswall/core/pause_detector.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"

namespace hibiscuswall {

class declaration_watch {
public:
    declaration_watch(key_value_client& store, random_source& random, declared_state& declared,
                      pause_detector const& pauses);

    // Runs until the io_context stops.
    auto run() -> asio::awaitable<void> { return watcher_.run(); }

private:
    auto callbacks() -> prefix_watcher_callbacks;

    declared_state& declared_state_;
    prefix_watcher watcher_;
};

} // namespace hibiscuswall
