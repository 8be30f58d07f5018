#pragma once
// Switches the local engine to verified weights: drain, fencing number, load order, probe, reopen.
//
//   auto done = co_await activation.order(target, [&] { return generation == current_generation; });
//   // errors that end the attempt:
//   //   load_rejected: the engine could not load the version; the previous weights are served again
//   //   cancelled: is_current returned false; the gate stays closed if the engine has the version already
//   // errors after which the caller retries:
//   //   endpoint_draining: requests remain in flight
//   //   endpoint_cold: the engine restarted during the load
//   //   store_unavailable, configuration_unconfirmed, fencing_outdated
//
// Only one order may run at a time. An order is sent only under a confirmed configuration, and only if this
// process was not paused for longer than max_order_pause after it started to take the fencing number.

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
               engine_client& engine, admission_gate& gate, weights_settings const& settings)
        : context_{context}, config_{config}, store_{store}, engine_{engine}, gate_{gate}, settings_{settings}
    {
    }

    auto order(served_weights target, std::function<bool()> is_current) -> asio::awaitable<result<void>>;

    // Whether the engine reports these weights and is not cold.
    auto engine_reports(served_weights target) -> asio::awaitable<result<bool>>;

private:
    auto send_order(served_weights target) -> asio::awaitable<result<void>>;
    auto probe(served_weights target, std::string instance) -> asio::awaitable<result<void>>;
    auto has_restarted(std::string instance) -> asio::awaitable<bool>;
    auto restore(std::optional<served_weights> previous, bool may_order) -> asio::awaitable<void>;

    process_context& context_;
    config_source& config_;
    key_value_client& store_;
    engine_client& engine_;
    admission_gate& gate_;
    weights_settings const& settings_;
    std::function<bool()> is_current_;         // of the running order
    std::optional<served_weights> superseded_; // loaded but never served; restored if the next load fails
};

} // namespace hibiscuswall
