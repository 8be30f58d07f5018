#pragma once
// State machine of an endpoint as its agent sees it (Boost.MSM).
//
//   cold --serving_started--> warming --warm_up_finished--> ready
//   warming, ready --serving_started--> warming     (the limit is back at the cold limit)
//   warming, ready, draining --became_cold--> cold
//   cold, warming, ready --drain_started--> draining --serving_started--> warming
//   cold, warming, ready, draining --stop_requested--> leaving --requests_finished--> gone
//
//   auto machine = endpoint_machine{};
//   machine.apply(endpoint_event::serving_started);   // false: not allowed in this state, nothing changed

#include <memory>
#include <string_view>

namespace hibiscuswall {

enum class endpoint_state {
    cold,     // no weights or unknown ones: takes no requests
    warming,  // serves, with the cold limit
    ready,    // serves, with a limit that has grown above the cold limit
    draining, // finishes running requests before a load order
    leaving,  // finishes running requests before the process stops
    gone,     // no request is running any more
};

enum class endpoint_event {
    serving_started,   // the weights are loaded, or a plain service was reached
    warm_up_finished,  // the limit exceeds the cold limit
    became_cold,       // instance, digest or latency indicates that the endpoint is cold
    drain_started,     // a load order is about to be sent
    stop_requested,    // a graceful stop began
    requests_finished, // no request is in flight
};

[[nodiscard]] auto endpoint_state_text(endpoint_state state) -> std::string_view;

class endpoint_machine {
public:
    endpoint_machine();
    ~endpoint_machine();
    endpoint_machine(endpoint_machine const&) = delete;
    auto operator=(endpoint_machine const&) -> endpoint_machine& = delete;

    // False, and no change, when the event is not allowed in this state.
    auto apply(endpoint_event event) -> bool;
    [[nodiscard]] auto state() const -> endpoint_state;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscuswall
