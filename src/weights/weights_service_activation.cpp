// The part of weights_service that switches the engine: rollout slots, load orders, and recovery of an engine
// that lost its weights.
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/weights_service.hpp"

namespace hibiscuswall {
namespace {

constexpr auto slot_poll_interval = milliseconds{200};   // of the other hosts of the failure domain
constexpr auto order_poll_interval = milliseconds{50};   // while another order is in progress
constexpr auto engine_poll_interval = milliseconds{500}; // of an engine that serves

// Whether a failed order may succeed later with the same version.
auto is_transient(result_code code) -> bool
{
    return code != result_code::load_rejected && code != result_code::cancelled;
}

} // namespace

auto weights_service::activate(std::uint64_t generation, model_serving target, served_weights weights)
    -> asio::awaitable<bool>
{
    auto const id = weights_id(target.model, target.version);
    while (is_current(generation)) {
        auto reported = co_await activation_->engine_reports(weights);
        if (!is_current(generation)) break;
        if (reported && reported.value()) {
            gate_.serve(weights);
            active_id_ = id;
            if (record_of(id).machine.state() != version_state::active)
                advance(id, version_event::load_confirmed);
            co_return true;
        }
        auto const slot = co_await await_rollout_slot(generation, target, id);
        if (slot == rollout_decision::stop) {
            mark_failed(id, fail(result_code::load_rejected,
                                 "version failed to load on another host of the failure domain; "
                                 "rollout stopped on this host"));
            break;
        }
        if (slot == rollout_decision::wait) continue; // the declaration changed, so the loop ends
        auto done = co_await order(generation, weights);
        if (done) {
            active_id_ = id;
            if (!is_current(generation)) break;
            advance(id, version_event::load_confirmed);
            for (auto const& other : chunks_.versions())
                if (other != id) chunks_.release(other);
            co_return true;
        }
        if (!is_current(generation)) break;
        if (!is_transient(done.error().code)) {
            mark_failed(id, done.error());
            break;
        }
        record_error(id, done.error());
        advance(id, version_event::load_deferred);
        co_await sleep_for(retry_delay);
    }
    co_return false;
}

auto weights_service::await_rollout_slot(std::uint64_t generation, model_serving target, std::string id)
    -> asio::awaitable<rollout_decision>
{
    while (is_current(generation)) {
        auto const others = co_await poll_failure_domain(target, id);
        if (!is_current(generation)) break;
        auto const decision = decide_rollout(id, context_.self.name, others, target.batch);
        if (decision == rollout_decision::stop) co_return decision;
        if (decision == rollout_decision::proceed) {
            advance(id, version_event::load_begun);
            auto const again = co_await poll_failure_domain(target, id);
            if (!is_current(generation)) break;
            if (keeps_slot(id, context_.self.name, again, target.batch)) co_return decision;
            advance(id, version_event::load_deferred);
        }
        // The interval grows with the failure domain, or the number of status calls would grow with its
        // square.
        co_await sleep_for(slot_poll_interval + milliseconds{5} * others.size());
    }
    co_return rollout_decision::wait;
}

auto weights_service::poll_failure_domain(model_serving target, std::string id)
    -> asio::awaitable<std::vector<rollout_peer>>
{
    auto hosts = region_hosts(target);
    auto peers = std::vector<rollout_peer>{};
    for (auto const& host : hosts) {
        if (host.failure_domain != context_.self.failure_domain || host.state == member_state::leaving)
            continue;
        auto entry = rollout_peer{};
        entry.name = host.name;
        auto response = co_await rpc_call(context_.client, host.control_address, "weights.status",
                                          nlohmann::json::object(), settings_.peer_timeout);
        entry.known = response.has_value();
        if (response && response.value().is_object() && response.value().contains("versions")) {
            for (auto const& item : response.value()["versions"]) {
                if (!item.is_object() || item.value("version", "") != id) continue;
                auto const state = item.value("state", "");
                for (auto i = 0; i <= static_cast<int>(version_state::failed); ++i)
                    if (version_state_text(static_cast<version_state>(i)) == state)
                        entry.state = static_cast<version_state>(i);
                entry.load_failed = entry.state == version_state::failed &&
                                    item.value("code", 0) == static_cast<int>(result_code::load_rejected);
            }
        }
        peers.push_back(std::move(entry));
    }
    co_return peers;
}

// Waits for an order of an older declaration to finish, because two concurrent orders would undo each other's
// changes to the gate.
auto weights_service::order(std::uint64_t generation, served_weights weights) -> asio::awaitable<result<void>>
{
    while (ordering_)
        co_await sleep_for(order_poll_interval);
    if (!is_current(generation)) co_return fail(result_code::cancelled, "the declared version changed");
    ordering_ = true;
    has_ordered_ = true;
    auto done = co_await activation_->order(weights, [this, generation] { return is_current(generation); });
    ordering_ = false;
    co_return done;
}

// ---- an engine that serves

// After a restart, an agent serves the weights that the running engine has until the declared version is
// ready. Once this process has sent an order, the gate is closed for a reason (order in progress or version
// superseded) and nothing is adopted.
auto weights_service::adopt_loaded(served_weights const& declared) -> asio::awaitable<bool>
{
    if (gate_.serving() || has_ordered_) co_return false;
    auto const model = declared.model;
    auto status = co_await engine_->status();
    if (!status || status.value().state == engine_state::cold || status.value().model != model ||
        status.value().manifest_digest.empty())
        co_return false;
    auto const& now = status.value();
    gate_.serve({now.model, now.adapter, now.version, now.manifest_digest});
    context_.events.record("weights_adopted", {{"version", now.version}});
    co_return true;
}

// The gate closes itself when the engine reports other weights or a new instance. It is reopened without an
// order when the engine reports the right weights again.
auto weights_service::reopen_gate(served_weights const& weights) -> void
{
    if (gate_.serving() || ordering_ || context_.self.state == member_state::leaving) return;
    gate_.serve(weights);
    context_.events.record("admission_reopened", {{"version", weights.version}});
}

auto weights_service::watch_engine(std::uint64_t generation, served_weights weights) -> asio::awaitable<void>
{
    auto const id = weights_id(weights.model, weights.version);
    while (is_current(generation)) {
        co_await sleep_for(engine_poll_interval);
        auto reported = co_await activation_->engine_reports(weights);
        if (!is_current(generation)) co_return;
        // An unreachable engine may be restarting; the gate closes itself then.
        if (reported && reported.value()) reopen_gate(weights);
        if (!reported || reported.value()) continue;
        log_event(log_level::warning, "engine_lost_weights", {{"version", id}});
        context_.events.record("engine_lost_weights", {{"version", id}});
        gate_.close(result_code::endpoint_cold);
        advance(id, version_event::weights_lost);
        advance(id, version_event::load_begun);
        auto done = co_await order(generation, weights);
        if (done) {
            advance(id, version_event::load_confirmed);
            continue;
        }
        if (!is_current(generation)) co_return;
        record_error(id, done.error());
        advance(id, version_event::load_deferred);
        advance(id, version_event::load_confirmed); // so that the next iteration checks the engine again
    }
}

} // namespace hibiscuswall
