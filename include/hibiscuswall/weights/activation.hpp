#pragma once
// Switches the local engine to verified weights: drain, fencing number, load order, probe, open again.
//
//   auto done = co_await activation.order(target, [&] { return generation == mine; });
//   // errors: load_rejected                     the engine failed the load; the old weights are served again
//   //         cancelled                         no longer wanted; closed if the engine has it already
//   //         endpoint_draining, endpoint_cold (the engine restarted during the load), store_unavailable,
//   //         configuration_unconfirmed                                 put off; try again
//
// One order runs at a time. An order goes out only if no pause of this process lies between taking its
// fencing number and sending it, and only under a confirmed configuration.

#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/lifecycle/admission_gate.hpp"
#include "hibiscuswall/platform/engine_client.hpp"
#include "hibiscuswall/weights/weights_settings.hpp"
#include "platform/key_value_client.hpp"

#include <functional>

namespace hibiscuswall {

class activation {
public:
    activation(process_context& context, config_source& config, key_value_client& store,
               engine_client& engine, endpoint_control& gate, weights_settings const& settings)
        : context_{context}, config_{config}, store_{store}, engine_{engine}, gate_{gate}, settings_{settings}
    {
    }

    auto order(served_weights target, std::function<bool()> wanted) -> asio::awaitable<result<void>>;

    // Whether the engine reports these weights and can serve.
    auto reports(served_weights target) -> asio::awaitable<result<bool>>;

private:
    auto send_order(served_weights target) -> asio::awaitable<result<void>>;
    auto probe(served_weights target, std::string instance) -> asio::awaitable<result<void>>;
    auto has_restarted(std::string instance) -> asio::awaitable<bool>;
    auto restore(std::optional<served_weights> previous, bool may_order) -> asio::awaitable<void>;

    process_context& context_;
    config_source& config_;
    key_value_client& store_;
    engine_client& engine_;
    endpoint_control& gate_;
    weights_settings const& settings_;
    std::function<bool()> wanted_;             // of the running order
    std::optional<served_weights> superseded_; // loaded but not served: served again if the next load fails
};

} // namespace hibiscuswall
