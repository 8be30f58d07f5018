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
    // all_keys: this process's watch of all operators' keys, which tells of declarations as well; null: none.
    declaration_watch(key_value_client& store, random_source& random, declared_state& declared,
                      pause_detector const& pauses, prefix_watcher const* all_keys = nullptr);
    ~declaration_watch() = default;
    declaration_watch(declaration_watch const&) = delete;
    auto operator=(declaration_watch const&) -> declaration_watch& = delete;

    // Runs until the io_context stops.
    auto run() -> asio::awaitable<void> { return watcher_.run(); }

    // Every declaration made before this time is known.
    [[nodiscard]] auto complete_until() const -> time_point;

private:
    auto callbacks() -> prefix_watcher_callbacks;
    [[nodiscard]] auto changed_since() const -> time_point;

    declared_state& declared_state_;
    prefix_watcher const* all_keys_;
    prefix_watcher watcher_;
};

} // namespace hibiscuswall
