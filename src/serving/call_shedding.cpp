// Which calls are turned away while more come than the endpoints carry.
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto logged_level = 0.05; // part of the callers that is turned away; below it nothing is logged

} // namespace

auto call_relay::shedder_of(std::string const& service) -> load_shedder&
{
    return shedders_.try_emplace(service, settings_.shedding).first->second;
}

// The wall clocks of entries differ by little. Where one jumps, its entry turns other callers away, no more.
auto call_relay::set_shed(relayed_call& call) -> void
{
    if (!call.service->engine || call.fields.identity.empty()) return;
    auto const epoch = static_cast<std::uint64_t>(wall_clock_ms() / settings_.shedding.epoch_time.count());
    call.shed = shedder_of(call.service->name).is_shed(shedding_rank(call.fields.identity, epoch));
}

auto call_relay::step_shedders(time_point now) -> void
{
    for (auto& [service, shedder] : shedders_) {
        shedder.step(now);
        // The agent that was heard last knows best what the other entries do.
        auto latest = endpoint_ptr{};
        for (auto const& [id, endpoint] : endpoints_.all())
            if (endpoint->record.service == service && endpoint->news &&
                (latest == nullptr || endpoint->received_at > latest->received_at))
                latest = endpoint;
        if (latest != nullptr) shedder.approach(latest->news->shed_level, now);
        note_shedding(service, shedder.level());
        metrics_registry_.set("shed_level", {{"service", service}}, shedder.level());
    }
}

auto call_relay::note_shedding(std::string const& service, double level) -> void
{
    auto const was_shedding = shedding_.contains(service);
    if (!was_shedding && level >= logged_level) {
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
    auto most = 0.0;
    for (auto const& [service, shedder] : shedders_)
        most = std::max(most, shedder.level());
    return most;
}

// Whether this entry could take several more calls than wait or come next.
auto call_relay::has_spare(placed const& found) const -> bool
{
    auto const entries = found.endpoint->news ? std::max(1, found.endpoint->news->subscriber_count) : 1;
    auto const own_slots = static_cast<double>(found.slots) / entries;
    return room_.size() == 0 && found.spare > settings_.shedding.spare * own_slots;
}

// What the shedder learns from a call that is not shed: whether the endpoints are full for it. Repeats and
// streams that go on elsewhere say nothing of the callers' number.
auto call_relay::note_place(relayed_call const& call, placement const& decision) -> void
{
    if (!call.service->engine || call.arrivals > 0 || call.answering) return;
    auto const* refusal = std::get_if<refused>(&decision);
    auto const is_full = refusal != nullptr && refusal->reason == refusal_reason::all_full;
    if (refusal == nullptr || is_full) shedder_of(call.service->name).on_kept(is_full, clock::now());
}

// A call that is shed takes only spare places, at once.
auto call_relay::find_place(relayed_call& call) -> asio::awaitable<placement>
{
    if (!call.shed || call.answering || call.arrivals > 0) {
        auto decision = co_await find_place_now_or_later(call);
        note_place(call, decision);
        co_return decision;
    }
    auto decision = next_endpoint(call);
    auto const* found = std::get_if<placed>(&decision);
    if (found == nullptr) co_return decision;
    if (has_spare(*found)) {
        shedder_of(call.service->name).on_spare(clock::now());
        co_return decision;
    }
    auto refusal = refused{refusal_reason::shed};
    refusal.retry_after = settings_.placement.longest_return;
    co_return refusal;
}

} // namespace hibiscuswall
