// Load shedding: rejects a fraction of the calls while more arrive than the endpoints can serve.
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto min_logged_level = 0.05; // fraction of callers shed from which shedding is logged as begun

} // namespace

auto call_relay::shedder_for(std::string const& service) -> load_shedder&
{
    return shedders_.try_emplace(service, settings_.shedding).first->second;
}

// The epoch is derived from the wall clock, which differs little between entries. If one clock jumps, its
// entry merely sheds other callers than the rest.
auto call_relay::set_shed_decision(relayed_call& call) -> void
{
    if (!call.service->engine || call.fields.identity.empty()) return;
    auto const epoch =
        static_cast<std::uint64_t>(wall_clock_ms() / settings_.shedding.epoch_duration.count());
    call.shed = shedder_for(call.service->name).is_shed(shedding_rank(call.fields.identity, epoch));
}

auto call_relay::update_shedders(time_point now) -> void
{
    for (auto& [service, shedder] : shedders_) {
        shedder.update(now);
        // The latest load report has the most recent mean shed level of the agent's subscribers.
        auto latest = endpoint_ptr{};
        for (auto const& [id, endpoint] : endpoints_.all())
            if (endpoint->record.service == service && endpoint->news &&
                (latest == nullptr || endpoint->received_at > latest->received_at))
                latest = endpoint;
        if (latest != nullptr) shedder.converge_to(latest->news->shed_level, now);
        log_shedding_change(service, shedder.level());
        metrics_registry_.set("shed_level", {{"service", service}}, shedder.level());
    }
}

auto call_relay::log_shedding_change(std::string const& service, double level) -> void
{
    auto const was_shedding = shedding_.contains(service);
    if (!was_shedding && level >= min_logged_level) {
        shedding_.insert(service);
        log_event(log_level::info, "shedding_begun",
                  {{"service", service}, {"level", std::to_string(level)}});
    }
    if (was_shedding && level == 0) {
        shedding_.erase(service);
        log_event(log_level::info, "shedding_ended", {{"service", service}});
    }
}

auto call_relay::shed_level() const -> double
{
    auto highest = 0.0;
    for (auto const& [service, shedder] : shedders_)
        highest = std::max(highest, shedder.level());
    return highest;
}

// Whether no call waits at this entry and more than min_free_fraction of its share of the slots is free, so
// that it can take several more calls than arrive next.
auto call_relay::has_headroom(placed const& found) const -> bool
{
    auto const entries = found.endpoint->news ? std::max(1, found.endpoint->news->subscriber_count) : 1;
    auto const own_slots = static_cast<double>(found.slots) / entries;
    return wait_queue_.size() == 0 && found.free_slots > settings_.shedding.min_free_fraction * own_slots;
}

// Reports to the shedder whether a call that is not shed found the endpoints full. Retries and resumed
// streams are not counted, since they say nothing about the number of callers.
auto call_relay::record_unshed_call(relayed_call const& call, placement const& decision) -> void
{
    if (!call.service->engine || call.send_count > 0 || call.response_started) return;
    auto const* rejection = std::get_if<rejected>(&decision);
    auto const is_full =
        rejection != nullptr && (rejection->reason == rejection_reason::all_endpoints_full ||
                                 rejection->reason == rejection_reason::all_endpoints_limited);
    if (rejection == nullptr || is_full)
        shedder_for(call.service->name).on_unshed_call(is_full, clock::now());
}

// A call that is to be shed is sent only if enough slots are free, without waiting.
auto call_relay::select_endpoint(relayed_call& call) -> asio::awaitable<placement>
{
    if (!call.shed || call.response_started || call.send_count > 0) {
        auto decision = co_await find_endpoint_or_wait(call);
        record_unshed_call(call, decision);
        co_return decision;
    }
    auto decision = next_endpoint(call);
    auto const* found = std::get_if<placed>(&decision);
    if (found == nullptr) co_return decision;
    if (has_headroom(*found)) {
        shedder_for(call.service->name).on_shed_call_sent(clock::now());
        co_return decision;
    }
    auto rejection = rejected{};
    rejection.reason = rejection_reason::shed;
    rejection.retry_after = settings_.placement.max_retry_after;
    co_return rejection;
}

} // namespace hibiscuswall
