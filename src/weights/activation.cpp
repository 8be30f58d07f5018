// GCC 12 takes the allocation and release of Asio's coroutine frames for a mismatched pair once both are
// inlined.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

#include "hibiscuswall/weights/activation.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/fencing.hpp"

namespace hibiscuswall {
namespace {

constexpr auto order_attempts = 4; // orders that a paused process or an old fencing number voided

// A restart says nothing about the version: the order is put off, the version has not failed.
auto restart_error() -> error
{
    return fail(result_code::endpoint_cold, "the engine restarted during the load");
}

auto has_loaded(engine_status const& found, served_weights const& target) -> bool
{
    return found.state != engine_state::cold && found.version == target.version &&
           found.manifest_digest == target.manifest_digest && found.adapter == target.adapter;
}

auto is_other_instance(engine_status const& found, std::string const& instance) -> bool
{
    return !instance.empty() && found.instance != instance;
}

} // namespace

auto activation::reports(served_weights target) -> asio::awaitable<result<bool>>
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
        co_await sleep_for(settings_.probe_period);
    }
    co_return fail(result_code::load_rejected, "the engine did not report " + target.manifest_digest);
}

auto activation::send_order(served_weights target) -> asio::awaitable<result<void>>
{
    auto last = fail(result_code::fencing_outdated, "no order was sent");
    auto before = co_await engine_.status();
    auto instance = std::string{};
    if (before) instance = before.value().instance;
    for (auto i = 0; i < order_attempts; ++i) {
        auto const taken_at = clock::now();
        auto number = co_await next_fencing_number(store_, context_.self.name);
        if (!number) co_return number.error();
        auto const now = clock::now();
        if (wanted_ && !wanted_()) co_return fail(result_code::cancelled, "the declared version changed");
        if (now - taken_at > settings_.clock_gap) {
            last = fail(result_code::fencing_outdated, "paused between fencing number and order");
            continue;
        }
        if (!config_.confirmed(now))
            co_return fail(result_code::configuration_unconfirmed,
                           "no order under an unconfirmed configuration");
        auto order = load_order{target.model,           target.adapter, target.version,
                                target.manifest_digest, number.value(), context_.self.control_address};
        context_.events.record("load_ordered",
                               {{"version", target.version}, {"fencing", std::to_string(number.value())}});
        auto loaded = co_await engine_.load(std::move(order));
        if (loaded) co_return co_await probe(target, instance);
        last = loaded.error();
        if (last.code == result_code::fencing_outdated) continue;
        if (last.code == result_code::load_rejected) {
            auto const restarted = co_await has_restarted(instance);
            if (restarted) last = restart_error();
            co_return last;
        }
        // The answer was lost: the status tells whether the order took effect.
        co_return co_await probe(target, instance);
    }
    co_return last;
}

auto activation::order(served_weights target, std::function<bool()> wanted) -> asio::awaitable<result<void>>
{
    wanted_ = std::move(wanted);
    // Without the store there is no fencing number: learn that before the endpoint is drained.
    auto reachable = co_await store_.find("fencing/" + context_.self.name);
    if (!reachable) co_return reachable.error();
    auto const previous = gate_.serving() ? gate_.serving() : superseded_;
    auto const drained = co_await gate_.drain(settings_.drain_timeout);
    if (!drained) {
        if (previous) gate_.serve(*previous);
        co_return fail(result_code::endpoint_draining, "requests remain in flight");
    }
    auto done = co_await send_order(target);
    auto const replaced = wanted_ && !wanted_();
    if (done && replaced) {
        // Another version was declared while this one loaded, perhaps during a pause: it is not served any
        // more.
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
    wanted_ = nullptr; // the old weights are wanted in any case
    co_await restore(previous, !replaced);
    co_return done.error();
}

// may_order: whether the old weights may be ordered where the engine has lost them. Once another version is
// declared, an engine with other weights may have got them from this host's next process: it is left alone.
auto activation::restore(std::optional<served_weights> previous, bool may_order) -> asio::awaitable<void>
{
    if (!previous) {
        gate_.close(result_code::endpoint_cold);
        co_return;
    }
    auto const weights = *previous;
    auto same = co_await reports(weights);
    if (!same || !same.value()) {
        auto ordered = false;
        if (may_order) {
            auto again = co_await send_order(weights);
            ordered = again.has_value();
        }
        if (!ordered) {
            gate_.close(result_code::endpoint_cold);
            co_return;
        }
    }
    gate_.serve(weights);
}

} // namespace hibiscuswall
