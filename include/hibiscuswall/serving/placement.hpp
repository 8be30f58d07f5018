#pragma once
// Decides to which endpoint a call goes, or that it cannot be served now. No network, no clock.
//
//   auto decision = place(call, table, declared, now, random);
//   std::visit(overloaded{[&](placed const& at) { send(at.endpoint); },
//                         [&](refused const& why) { answer_503(why.retry_after); }}, decision);

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"
#include "hibiscuswall/serving/service_map.hpp"

#include <set>
#include <span>
#include <string>
#include <variant>

namespace hibiscuswall {

struct placement_settings {
    int engine_queue = 0;                 // calls beyond its slots that an engine may hold
    double plain_queue_ratio = 2.0;       // calls for each slot that a plain endpoint may hold
    double cold_multiplier = 1.0;         // of a service's cold rate that all entries together may send
    double cold_reserve = 0;              // calls a second beyond that
    int most_entries = 16;                // entries that may exist
    milliseconds longest_round_trip{250}; // a host behind a longer one gets nothing: its link is full
    milliseconds news_lifetime{700};      // of an agent's news; a host that is not heard costs more
    double cost_ms = 100;                 // of the time to the first event that weighs as much as all places
    double other_region_cost = 0.1;       // in parts of an endpoint's places: bytes between regions
    double other_entry_cost = 0.15;       // the same: another entry sends to that engine first
    milliseconds shortest_return{250};    // Retry-After of a refusal
    milliseconds longest_return{900};     // returns are spread between the two
};

struct placement_call {
    std::string_view service;                     // that the route names
    service_definition const* entry = nullptr;    // its configuration
    std::span<std::string const> route_regions;   // regions that may serve it; empty: all
    std::span<std::string const> account_regions; // the same, of the client account
    std::set<std::string> const* tried = nullptr; // ids of endpoints not to use again; may be null
    std::uint64_t min_version = 0;                // of the engine's weights
    int prompt_tokens = 0;                        // to read before the first event
    std::string_view region;                      // of this entry
};

enum class refusal_reason {
    no_endpoint, // none that may serve the call
    all_full,    // each that may serve it holds as much as it may
    shed,        // more calls come than the endpoints carry, and this is one of those turned away
};

struct placed {
    endpoint_ptr endpoint;
    int spare = 0; // free places of this entry at all endpoints that may serve the call
    int slots = 0; // places of those endpoints, of all entries
};

struct refused {
    refusal_reason reason = refusal_reason::no_endpoint;
    milliseconds retry_after{0}; // when it is worth coming back
    int usable = 0;              // endpoints that could serve it if they had room
    int least_load = 0;          // of those
};

using placement = std::variant<placed, refused>;

// Failure domains that operators took out of service.
using failure_domain_set = std::set<std::string, std::less<>>;

[[nodiscard]] auto place(placement_call const& call, std::span<endpoint_ptr const> endpoints,
                         failure_domain_set const& out_of_service, placement_settings const& settings,
                         time_point now, random_source& random) -> placement;

// Time to the first event of a call with so long a prompt, behind the prompts that the engine still has to
// read.
[[nodiscard]] auto first_event_ms(tracked_endpoint const& endpoint, engine_profile const& engine,
                                  int prompt_tokens) -> double;

// Calls that the endpoint may hold at a time.
[[nodiscard]] auto load_limit(tracked_endpoint const& endpoint, service_definition const& service,
                              placement_settings const& settings) -> int;

// Whether one more call keeps the endpoint within what it bears while cold. Endpoints turn cold without
// notice, so a looser limit holds for the others, too.
[[nodiscard]] auto within_cold_limit(tracked_endpoint& endpoint, service_definition const& service,
                                     placement_settings const& settings, time_point now) -> bool;

} // namespace hibiscuswall
