// Chooses the endpoint for the next send of a call.
#include "hibiscuswall/serving/call_relay.hpp"

#include <utility>

namespace hibiscuswall {
namespace {

auto has_no_endpoint(placement const& decision) -> bool
{
    auto const* rejection = std::get_if<rejected>(&decision);
    return rejection != nullptr && rejection->usable == 0;
}

} // namespace

auto call_relay::next_endpoint(relayed_call& call) -> placement
{
    auto placement_request = placement_call{};
    placement_request.service = call.service->name;
    placement_request.definition = call.service;
    placement_request.route_regions = call.route->regions;
    if (call.account != nullptr) placement_request.account_regions = call.account->regions;
    placement_request.tried_endpoints = &call.tried_endpoints;
    auto const now = clock::now();
    placement_request.prompt_tokens = call.fields.prompt_tokens;
    placement_request.region = region_;
    placement_request.is_first_search = !std::exchange(call.is_counted_as_demand, true);
    if (call.service->engine)
        placement_request.min_version = declared_state_.min_version(call.service->engine->model, now);
    auto const candidates = endpoints_.endpoints_of_service(call.service->name);
    auto const place_call = [&] {
        return place(placement_request, candidates, declared_state_.out_of_service(), settings_.placement,
                     now, random_);
    };
    auto decision = place_call();
    if (has_no_endpoint(decision) && !call.endpoint_to_reconnect.empty()) {
        call.tried_endpoints.erase(std::exchange(call.endpoint_to_reconnect, {}));
        decision = place_call();
    }
    return admit_by_priority(call, std::move(decision), now);
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

} // namespace hibiscuswall
