#pragma once
// Chooses the endpoint for a call and keeps statistics on endpoints from their agents' responses.
//
//   auto router = endpoint_router{self, settings};
//   router.update(members.members());                       // after each change of the member table
//   auto chosen = router.choose(query, *view, now, random);  // none: no admissible endpoint
//   router.on_sent(chosen->name, now);
//   router.on_report(chosen->name, report, now);             // when the header of the response arrived
//   router.on_finished(chosen->name);                        // or on_failure, on_cancelled
//
// A member is admissible when it is an agent of the service, is neither leaving nor dead, and is declared in
// service. Endpoints are grouped into three tiers: those in the failure domain of this process, those
// elsewhere in its region, and all others. A farther tier is used when every endpoint of the nearer tiers
// is full, paused or ejected. A due probe is chosen whatever its tier.

#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/result_code.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/routing/endpoint_stats.hpp"
#include "hibiscuswall/routing/routing_settings.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

// What a call requires of its endpoint.
struct route_query {
    std::string model;           // model named by the caller; empty for a plain service
    std::string service;         // name of the plain service; empty when the call is routed by model
    std::string prefix;          // prompt whose prefix decides affinity; empty: no affinity
    std::string weights_version; // set on resume: only endpoints with this or an unknown version qualify
    // Chosen ahead of all others, except for a due probe, when it is admissible and neither paused nor
    // ejected; empty: no preference.
    std::string preferred_host;
    bool may_probe = true;                       // whether this call may be the probe of an ejected endpoint
    std::set<std::string, std::less<>> excluded; // hosts that this call has already tried
};

// State of an endpoint as reported in a response of its agent.
struct endpoint_report {
    int in_flight = 0;             // calls in flight at the agent, from all entries
    int limit = 0;                 // concurrency limit of the agent
    std::uint64_t incarnation = 0; // incarnation of the agent process
    std::string endpoint_state;    // "cold", "warming", "ready", "draining", "leaving", "gone"; may be empty
    std::string weights_version;   // weights version that the endpoint serves; may be empty
    result_code rejection_code = result_code::ok; // reason of a rejection; ok when the call was not rejected
};

class endpoint_router {
public:
    endpoint_router(member self, routing_settings settings);

    // Takes the current members and selects the subset of each service's endpoints that this process uses.
    auto update(std::span<member const> members) -> void;

    [[nodiscard]] auto choose(route_query const& query, config_view const& view, time_point now,
                              random_source& random) const -> std::optional<member>;

    // Ejected endpoints whose ejection time has passed and that have no probe in flight. A probe is reported
    // to the router like any other sent call.
    [[nodiscard]] auto endpoints_due_for_probe(time_point now) const -> std::vector<member>;

    auto on_report(std::string_view host, endpoint_report const& report, time_point now) -> void;

    // ---- progress of a call: on_sent() is followed by exactly one of the other three
    auto on_sent(std::string_view host, time_point now) -> void;
    // A complete response or a rejection arrived.
    auto on_finished(std::string_view host) -> void;
    // The connection failed, or the response was cut short or timed out.
    auto on_failure(std::string_view host, time_point now) -> void;
    // The caller cancelled the call.
    auto on_cancelled(std::string_view host) -> void;

    // Highest incarnation of an agent known from the member table or from its responses.
    [[nodiscard]] auto incarnation(member const& host) const -> std::uint64_t;

    [[nodiscard]] auto stats_of(std::string_view host) const -> endpoint_stats const*;
    [[nodiscard]] auto subset_of(std::string_view service) const -> std::vector<std::string>;

private:
    struct candidate {
        member const* host = nullptr;
        endpoint_stats const* stats = nullptr;
        int tier = 0; // 0: same failure domain, 1: same region, 2: all others
    };

    [[nodiscard]] auto admissible(member const& host, route_query const& query, config_view const& view) const
        -> bool;
    [[nodiscard]] auto candidates(route_query const& query, config_view const& view, time_point now) const
        -> std::vector<candidate>;
    [[nodiscard]] auto pick_by_affinity(std::span<candidate const> tier, std::string_view prefix,
                                        time_point now) const -> candidate const*;
    [[nodiscard]] auto pick_by_two_choices(std::span<candidate const> tier, time_point now,
                                           random_source& random) const -> candidate const&;
    [[nodiscard]] auto load(candidate const& item, time_point now) const -> double;
    auto eject(endpoint_stats& stats, time_point now) -> void;

    member self_;
    routing_settings settings_;
    std::map<std::string, member, std::less<>> hosts_;         // agents of the subset, by name
    std::map<std::string, endpoint_stats, std::less<>> stats_; // by host name
};

} // namespace hibiscuswall
