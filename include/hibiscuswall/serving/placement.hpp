#pragma once
// Selects the endpoint for a call, or rejects the call if it cannot be served now. No network, no clock.
//
//   auto decision = place(call, endpoints, out_of_service, settings, now, random);
//   std::visit(overloaded{[&](placed const& at) { send(at.endpoint); },
//                         [&](rejected const& why) { respond_503(why.retry_after); }}, decision);

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/service_map.hpp"

#include <set>
#include <span>
#include <string>
#include <variant>

namespace hibiscuswall {

struct placement_settings {
    int max_engine_queue = 0;         // calls beyond its slots at an engine without a load report
    double plain_load_ratio = 2.0;    // calls per slot at a plain endpoint without a load report
    double cold_multiplier = 1.0;     // multiple of a service's cold rate that all entries together may send
    double cold_reserve = 0;          // calls per second allowed in addition
    milliseconds max_round_trip{250}; // hosts with a longer one get no calls: their link is saturated
    milliseconds load_report_lifetime{700}; // endpoints with an older load report cost more
    double first_event_cost_ms = 100;       // time to the first event that costs as much as a full endpoint
    double other_region_cost = 0.1; // added if the endpoint is in another region, as a fraction of its slots
    double not_preferred_cost = 0.15;  // added if another entry is the preferred sender, in the same unit
    double older_weights_cost = 1.0;   // added if the weights are older than the preferred ones
    milliseconds min_retry_after{250}; // lower bound of the Retry-After of a rejection
    milliseconds max_retry_after{900}; // upper bound; retries are spread between the two
};

struct placement_call {
    std::string_view service;                       // service named by the route
    service_definition const* definition = nullptr; // declared properties of the service
    std::span<std::string const> route_regions;     // regions allowed by the route; empty: all
    std::span<std::string const> account_regions;   // regions allowed by the client account; empty: all
    std::set<std::string> const* tried_endpoints = nullptr; // ids of endpoints to exclude; may be null
    std::uint64_t min_version = 0;                          // oldest weights version that may serve the call
    // Endpoints with older weights will change them soon and are chosen last; 0: none are.
    std::uint64_t preferred_version = 0;
    int prompt_tokens = 0;       // prompt tokens to process before the first event
    std::string_view region;     // region of this entry
    bool is_first_search = true; // the call has not been counted as demand for limited endpoints yet
};

enum class rejection_reason {
    no_endpoint,        // no endpoint may serve the call
    all_endpoints_full, // endpoints may serve the call, but each is full, avoided after failures or at its
                        // cold limit
    all_endpoints_back_off, // each endpoint that may serve the call has asked this host to send nothing
    all_endpoints_limited,  // each takes only so many calls per second, and this entry has used its share
    shed,                   // the service is overloaded and this call is among those shed
};

struct placed {
    endpoint_ptr endpoint;
    int free_slots = 0;      // slots that this entry may use at all endpoints that may serve the call
    int slots = 0;           // total slots of those endpoints, shared by all entries
    int usable = 0;          // their number
    double limited_rate = 0; // calls per second that this entry may send, if all those endpoints are limited
};

struct rejected {
    rejection_reason reason = rejection_reason::no_endpoint;
    milliseconds retry_after{0}; // earliest time at which a retry makes sense
    time_point accepted_again;   // of all_endpoints_back_off and _limited: when the first one takes a call
    double limited_rate = 0; // of all_endpoints_limited: calls per second that this entry may send to them
    int usable = 0;          // endpoints that may serve the call, including full ones
    int min_load = 0;        // lowest load among the usable endpoints
};

using placement = std::variant<placed, rejected>;

// Failure domains that operators have taken out of service.
using failure_domain_set = std::set<std::string, std::less<>>;

[[nodiscard]] auto place(placement_call const& call, std::span<endpoint_ptr const> endpoints,
                         failure_domain_set const& out_of_service, placement_settings const& settings,
                         time_point now, random_source& random) -> placement;

// Whether an endpoint may serve the call, now or once it is free, has the weights that are due, or takes
// calls again.
[[nodiscard]] auto may_be_served_later(placement_call const& call, std::span<endpoint_ptr const> endpoints,
                                       failure_domain_set const& out_of_service) -> bool;

// Estimated time to the first event of a call with this prompt, queued behind the prompts that the engine
// still has to process.
[[nodiscard]] auto first_event_ms(tracked_endpoint const& endpoint, engine_profile const& engine,
                                  int prompt_tokens) -> double;

// Maximum number of concurrent calls, running and queued, that this entry may have at an endpoint without a
// load report.
[[nodiscard]] auto load_limit(tracked_endpoint const& endpoint, service_definition const& service,
                              placement_settings const& settings) -> int;

// Whether one more call stays within the call rate that the endpoint can take while cold. Endpoints become
// cold without notice, so a looser limit applies to warm endpoints as well.
[[nodiscard]] auto within_cold_limit(tracked_endpoint& endpoint, service_definition const& service,
                                     placement_settings const& settings, time_point now) -> bool;

} // namespace hibiscuswall
