// Chooses the endpoint for the next send of a call.
#include "hibiscuswall/serving/call_relay.hpp"

#include <utility>

namespace hibiscuswall {
namespace {

// Until an endpoint that did not take a stream is asked again.
constexpr auto ask_again_delay = milliseconds{300};

auto has_no_endpoint(placement const& decision) -> bool
{
    auto const* rejection = std::get_if<rejected>(&decision);
    return rejection != nullptr && rejection->usable == 0;
}

// Endpoints that did not take the stream at another time may take it now.
auto forget_earlier_answers(relayed_call& call, time_point now) -> void
{
    std::erase_if(call.ask_again_at, [&](auto const& each) {
        if (now < each.second) return false;
        call.tried_endpoints.erase(each.first);
        return true;
    });
}

} // namespace

auto call_relay::placement_request(relayed_call const& call, time_point now) const -> placement_call
{
    auto request = placement_call{};
    request.service = call.service->name;
    request.definition = call.service;
    request.route_regions = call.route->regions;
    if (call.account != nullptr) request.account_regions = call.account->regions;
    request.tried_endpoints = &call.tried_endpoints;
    request.prompt_tokens = call.fields.prompt_tokens;
    request.region = region_;
    if (!call.service->engine) return request;
    auto const& model = call.service->engine->model;
    request.min_version = declared_state_.min_version(model, now);
    if (call.response_started) request.preferred_version = declared_state_.newest_version(model);
    return request;
}

auto call_relay::next_endpoint(relayed_call& call) -> placement
{
    auto const now = clock::now();
    forget_earlier_answers(call, now);
    auto request = placement_request(call, now);
    request.is_first_search = !std::exchange(call.is_counted_as_demand, true);
    auto const candidates = endpoints_.endpoints_of_service(call.service->name);
    auto const place_call = [&] {
        return place(request, candidates, declared_state_.out_of_service(), settings_.placement, now,
                     random_);
    };
    auto decision = place_call();
    if (has_no_endpoint(decision) && !call.endpoint_to_reconnect.empty()) {
        call.tried_endpoints.erase(std::exchange(call.endpoint_to_reconnect, {}));
        decision = place_call();
    }
    return admit_by_priority(call, std::move(decision), now);
}

// Whether a stream that has begun should wait for an endpoint: it has time, and there is one that has not
// failed it.
auto call_relay::should_wait_to_resume(relayed_call const& call, time_point now) const -> bool
{
    if (!call.can_still_resume(now)) return false;
    auto failed_endpoints = call.tried_endpoints;
    for (auto const& [id, at] : call.ask_again_at)
        failed_endpoints.erase(id);
    auto request = placement_request(call, now);
    request.tried_endpoints = &failed_endpoints;
    return may_be_served_later(request, endpoints_.endpoints_of_service(call.service->name),
                               declared_state_.out_of_service());
}

// A call gets this once: its later sends use new connections.
auto call_relay::remember_lost_connection(relayed_call& call, tracked_endpoint const& endpoint,
                                          send_outcome const& outcome) -> void
{
    auto const* failed = std::get_if<send_failed>(&outcome);
    if (failed == nullptr || !failed->lost_kept_connection) return;
    call.endpoint_to_reconnect = endpoint.record.id;
    call.needs_new_connection = true;
}

// A stream that has begun may be sent again to endpoints that did not run it. Others have failed it.
auto call_relay::remember_unwilling_endpoint(relayed_call& call, tracked_endpoint const& endpoint,
                                             send_outcome const& outcome, time_point now) -> void
{
    auto const has_run = !std::holds_alternative<send_rejected>(outcome) &&
                         !std::holds_alternative<send_not_sent>(outcome) &&
                         !std::holds_alternative<send_withheld>(outcome);
    if (call.response_started && !has_run) call.ask_again_at[endpoint.record.id] = now + ask_again_delay;
}

} // namespace hibiscuswall
