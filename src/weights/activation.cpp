#include "hibiscuswall/weights/activation.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/fencing.hpp"

namespace hibiscuswall {
namespace {

// Attempts include orders voided by a pause of this process or an outdated fencing number.
constexpr auto max_order_attempts = 4;

// A restart is no fault of the version, so the caller retries the order.
auto restart_error() -> error
{
    return fail(result_code::endpoint_cold,
                "engine restarted during the load; the caller has to retry the order");
}

auto has_loaded(engine_status const& status, served_weights const& target) -> bool
{
    return status.state != engine_state::cold && status.version == target.version &&
           status.manifest_digest == target.manifest_digest && status.adapter == target.adapter;
}

auto is_other_instance(engine_status const& status, std::string const& instance) -> bool
{
    return !instance.empty() && status.instance != instance;
}

} // namespace

auto activation::engine_reports(served_weights target) -> asio::awaitable<result<bool>>
{
    auto status = co_await engine_.status();
    if (!status) co_return status.error();
    auto const loaded = has_loaded(status.value(), target);
    co_return loaded;
}

auto activation::has_restarted(std::string instance) -> asio::awaitable<bool>
{
    auto status = co_await engine_.status();
    auto const restarted = status && is_other_instance(status.value(), instance);
    co_return restarted;
}

auto activation::probe(served_weights target, std::string instance) -> asio::awaitable<result<void>>
{
    auto const until = clock::now() + settings_.load_timeout;
    while (clock::now() < until) {
        auto status = co_await engine_.status();
        if (status && has_loaded(status.value(), target)) co_return success();
        if (status && is_other_instance(status.value(), instance)) co_return restart_error();
        co_await sleep_for(settings_.probe_interval);
    }
    co_return fail(result_code::load_rejected,
                   "engine did not report within the load timeout the manifest digest " +
                       target.manifest_digest);
}

auto activation::send_order(served_weights target) -> asio::awaitable<result<void>>
{
    auto last_error = fail(result_code::fencing_outdated, "no load order was sent");
    auto status_before = co_await engine_.status();
    auto instance = std::string{};
    if (status_before) instance = status_before.value().instance;
    for (auto i = 0; i < max_order_attempts; ++i) {
        auto const taken_at = clock::now();
        auto number = co_await next_fencing_number(store_, context_.self.name);
        if (!number) co_return number.error();
        auto const now = clock::now();
        if (is_current_ && !is_current_())
            co_return fail(result_code::cancelled, "the declared version changed");
        if (!config_.confirmed(now))
            co_return fail(result_code::configuration_unconfirmed,
                           "no load order is sent while the configuration is unconfirmed");
        auto order = load_order{target.model,           target.adapter, target.version,
                                target.manifest_digest, number.value(), context_.self.control_address};
        context_.events.record("load_ordered",
                               {{"version", target.version}, {"fencing", std::to_string(number.value())}});
        auto loaded = co_await engine_.load(std::move(order), taken_at + settings_.max_order_pause);
        if (loaded) co_return co_await probe(target, instance);
        last_error = loaded.error();
        if (last_error.code == result_code::fencing_outdated) continue;
        if (last_error.code == result_code::deadline_exceeded) {
            last_error = fail(result_code::fencing_outdated,
                              "process was paused between taking the fencing number and sending the order");
            continue;
        }
        if (last_error.code == result_code::load_rejected) {
            auto const restarted = co_await has_restarted(instance);
            if (restarted) last_error = restart_error();
            co_return last_error;
        }
        // The response was lost; the engine's status shows whether it carried out the order.
        co_return co_await probe(target, instance);
    }
    co_return last_error;
}

auto activation::order(served_weights target, std::function<bool()> is_current)
    -> asio::awaitable<result<void>>
{
    is_current_ = std::move(is_current);
    // Checks the store before the endpoint is drained, because an order needs a fencing number from it.
    auto reachable = co_await store_.find("fencing/" + context_.self.name);
    if (!reachable) co_return reachable.error();
    auto const previous = gate_.serving() ? gate_.serving() : superseded_;
    auto const drained = co_await gate_.drain(settings_.drain_timeout);
    if (!drained) {
        if (previous) gate_.serve(*previous);
        co_return fail(
            result_code::endpoint_draining,
            "requests remain in flight after the drain timeout; the caller has to retry the order");
    }
    auto done = co_await send_order(target);
    auto const replaced = is_current_ && !is_current_();
    if (done && replaced) {
        // Another version was declared during the load, perhaps while this process was paused, so this one is
        // not served.
        superseded_ = target;
        co_return fail(result_code::cancelled, "the declared version changed while it loaded");
    }
    if (done) {
        superseded_.reset();
        gate_.serve(target);
        co_return success();
    }
    log_event(log_level::error, "load_failed",
              {{"version", target.version}, {"reason", done.error().message}});
    context_.events.record("load_failed", {{"version", target.version}, {"reason", done.error().message}});
    is_current_ = nullptr; // restoring the previous weights does not depend on the declaration
    co_await restore(previous, !replaced);
    co_return done.error();
}

// may_order: whether to order the previous weights if the engine has lost them. After a newer declaration,
// the engine may have received other weights from a newer process of this host, so no order is sent.
auto activation::restore(std::optional<served_weights> previous, bool may_order) -> asio::awaitable<void>
{
    if (!previous) {
        gate_.close(result_code::endpoint_cold);
        co_return;
    }
    auto const weights = *previous;
    auto same = co_await engine_reports(weights);
    if (!same || !same.value()) {
        auto ordered = false;
        if (may_order) {
            auto reordered = co_await send_order(weights);
            ordered = reordered.has_value();
        }
        if (!ordered) {
            gate_.close(result_code::endpoint_cold);
            co_return;
        }
    }
    gate_.serve(weights);
}

} // namespace hibiscuswall
