#pragma once
// Life of an endpoint as its agent sees it (Boost.MSM).
//
//   cold --serving_started--> warming --warm_up_finished--> ready --became_cold--> cold
//   cold, warming, ready --drain_started--> draining --serving_started--> warming
//   draining --became_cold--> cold
//   any of these --stop_requested--> leaving --requests_finished--> gone
//
//   auto machine = endpoint_machine{};
//   machine.apply(endpoint_event::serving_started);   // false: not allowed in this state, nothing changed

#include <memory>
#include <string_view>

namespace hibiscuswall {

enum class endpoint_state {
    cold,     // no weights, or unknown ones: takes no work
    warming,  // serves from the cold limit
    ready,    // its limit has grown
    draining, // finishes what runs before a load order
    leaving,  // finishes what runs before it stops
    gone,     // nothing runs any more
};

enum class endpoint_event {
    serving_started,   // weights are in place, or a plain service was found
    warm_up_finished,  // the limit exceeds the cold limit
    became_cold,       // instance, digest or latency says that the endpoint is cold
    drain_started,     // a load order is about to come
    stop_requested,    // graceful stop
    requests_finished, // nothing is in flight
};

[[nodiscard]] auto endpoint_state_text(endpoint_state state) -> std::string_view;

class endpoint_machine {
public:
    endpoint_machine();
    ~endpoint_machine();
    endpoint_machine(endpoint_machine const&) = delete;
    auto operator=(endpoint_machine const&) -> endpoint_machine& = delete;

    auto apply(endpoint_event event) -> bool;
    [[nodiscard]] auto state() const -> endpoint_state;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscuswall
