// The part of weights_service that switches the engine: activation slots, orders, and an engine that lost its
// weights.
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/weights_service.hpp"

namespace hibiscuswall {
namespace {

constexpr auto slot_pause = milliseconds{200};   // between looks at the rest of the failure domain
constexpr auto order_pause = milliseconds{50};   // until a running order is looked at again
constexpr auto engine_pause = milliseconds{500}; // between looks at an engine that serves

// Whether a failed order is worth another try with the same version.
auto is_put_off(result_code code) -> bool
{
    return code != result_code::load_rejected && code != result_code::cancelled;
}

} // namespace

auto weights_service::activate(std::uint64_t generation, model_serving target, served_weights weights)
    -> asio::awaitable<bool>
{
    auto const id = weights_id(target.model, target.version);
    while (wanted(generation)) {
        auto same = co_await activation_->reports(weights);
        if (!wanted(generation)) break;
        if (same && same.value()) {
            gate_.serve(weights);
            active_id_ = id;
            if (record_of(id).machine.state() != version_state::active)
                advance(id, version_event::load_confirmed);
            co_return true;
        }
        auto const slot = co_await take_slot(generation, target, id);
        if (slot == rollout_decision::stop) {
            give_up(id, fail(result_code::load_rejected, "the version failed to load on another host"));
            break;
        }
        if (slot == rollout_decision::wait) continue; // no longer wanted
        auto done = co_await order(generation, weights);
        if (done) {
            active_id_ = id;
            if (!wanted(generation)) break;
            advance(id, version_event::load_confirmed);
            for (auto const& other : chunks_.versions())
                if (other != id) chunks_.release(other);
            co_return true;
        }
        if (!wanted(generation)) break;
        if (!is_put_off(done.error().code)) {
            give_up(id, done.error());
            break;
        }
        note(id, done.error());
        advance(id, version_event::load_deferred);
        co_await sleep_for(retry_pause);
    }
    co_return false;
}

auto weights_service::take_slot(std::uint64_t generation, model_serving target, std::string id)
    -> asio::awaitable<rollout_decision>
{
    while (wanted(generation)) {
        auto const others = co_await ask_domain(target, id);
        if (!wanted(generation)) break;
        auto const decision = decide_rollout(id, context_.self.name, others, target.batch);
        if (decision == rollout_decision::stop) co_return decision;
        if (decision == rollout_decision::proceed) {
            advance(id, version_event::load_begun);
            auto const again = co_await ask_domain(target, id);
            if (!wanted(generation)) break;
            if (keeps_slot(id, context_.self.name, again, target.batch)) co_return decision;
            advance(id, version_event::load_deferred);
        }
        // Longer in a large failure domain, so that the questions do not grow with its square.
        co_await sleep_for(slot_pause + milliseconds{5} * others.size());
    }
    co_return rollout_decision::wait;
}

auto weights_service::ask_domain(model_serving target, std::string id)
    -> asio::awaitable<std::vector<rollout_peer>>
{
    auto hosts = region_hosts(target);
    auto peers = std::vector<rollout_peer>{};
    for (auto const& host : hosts) {
        if (host.failure_domain != context_.self.failure_domain || host.state == member_state::leaving)
            continue;
        auto entry = rollout_peer{};
        entry.name = host.name;
        auto answer = co_await rpc_call(context_.client, host.control_address, "weights.status",
                                        nlohmann::json::object(), settings_.peer_timeout);
        entry.known = answer.has_value();
        if (answer && answer.value().is_object() && answer.value().contains("versions")) {
            for (auto const& item : answer.value()["versions"]) {
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

// An order that an older declaration began is finished first: two at a time would undo each other's gate.
auto weights_service::order(std::uint64_t generation, served_weights weights) -> asio::awaitable<result<void>>
{
    while (ordering_)
        co_await sleep_for(order_pause);
    if (!wanted(generation)) co_return fail(result_code::cancelled, "the declared version changed");
    ordering_ = true;
    has_ordered_ = true;
    auto done = co_await activation_->order(weights, [this, generation] { return wanted(generation); });
    ordering_ = false;
    co_return done;
}

// ---- an engine that serves

// An agent that restarted beside a running engine serves what the engine has, while the declared version
// comes. Once this process has ordered, the gate is closed for a reason: an order under way or superseded.
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

// The gate closes on its own when the engine shows other weights or a new instance. An engine that is right
// again without an order of this process needs none.
auto weights_service::reopen(served_weights const& weights) -> void
{
    if (gate_.serving() || ordering_ || context_.self.state == member_state::leaving) return;
    gate_.serve(weights);
    context_.events.record("admission_reopened", {{"version", weights.version}});
}

auto weights_service::watch_engine(std::uint64_t generation, served_weights weights) -> asio::awaitable<void>
{
    auto const id = weights_id(weights.model, weights.version);
    while (wanted(generation)) {
        co_await sleep_for(engine_pause);
        auto same = co_await activation_->reports(weights);
        if (!wanted(generation)) co_return;
        // An engine that does not answer may be restarting: its agent's gate closes on its own.
        if (same && same.value()) reopen(weights);
        if (!same || same.value()) continue;
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
        if (!wanted(generation)) co_return;
        note(id, done.error());
        advance(id, version_event::load_deferred);
        advance(id, version_event::load_confirmed); // looked at again in the next round
    }
}

} // namespace hibiscuswall
