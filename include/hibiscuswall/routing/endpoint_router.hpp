#pragma once
// Chooses the endpoint for a call, and learns from the answers.
//
//   auto router = endpoint_router{self, settings};
//   router.update(members.members());                       // after each change of the member table
//   auto chosen = router.choose(query, *view, now, random);  // none: no admissible endpoint
//   router.on_sent(chosen->name);
//   router.on_report(chosen->name, report, now);             // when the header of the answer came
//   router.on_finished(chosen->name);                        // or on_failure, on_abandoned
//
// Only members that are agents of the service, neither leaving nor dead, and declared in service are
// admissible. Near endpoints come first: the same failure domain, the same region, the rest. A farther tier
// is used once every endpoint of the nearer ones is full.

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

// What a call needs from its endpoint.
struct route_query {
    std::string model;                           // engines: model named by the caller; empty: plain service
    std::string service;                         // plain services; empty: by model
    std::string prefix;                          // prompt for prefix affinity; empty: none
    std::string weights_version;                 // resume: only endpoints known or assumed to serve it
    std::string preferred_host;                  // taken first when it is admissible; empty: none
    bool may_probe = true;                       // may test an ejected endpoint
    std::set<std::string, std::less<>> excluded; // hosts already tried
};

// What an answer told about its endpoint.
struct endpoint_report {
    int in_flight = 0;
    int limit = 0;
    std::uint64_t incarnation = 0;
    std::string endpoint_state;  // "cold", "warming", "ready", "draining", "leaving", "gone"; may be empty
    std::string weights_version; // may be empty
    result_code refusal = result_code::ok; // code of a refusal
};

class endpoint_router {
public:
    endpoint_router(member self, routing_settings settings);

    auto update(std::span<member const> members) -> void;

    [[nodiscard]] auto choose(route_query const& query, config_view const& view, time_point now,
                              random_source& random) const -> std::optional<member>;

    // Endpoints whose ejection is over and that no probe is testing. A probe is a sent call to the router.
    [[nodiscard]] auto due_probes(time_point now) const -> std::vector<member>;

    auto on_report(std::string_view host, endpoint_report const& report, time_point now) -> void;

    // ---- every sent call ends in exactly one of the three last ones
    auto on_sent(std::string_view host, time_point now) -> void;
    auto on_finished(std::string_view host) -> void;                // whole answer or refusal
    auto on_failure(std::string_view host, time_point now) -> void; // cut, late or no connection
    auto on_abandoned(std::string_view host) -> void;               // ended by the caller

    // Highest incarnation known of an agent, from the member table or its answers.
    [[nodiscard]] auto incarnation(member const& host) const -> std::uint64_t;

    [[nodiscard]] auto state_of(std::string_view host) const -> endpoint_state const*;
    [[nodiscard]] auto subset_of(std::string_view service) const -> std::vector<std::string>;

private:
    struct candidate {
        member const* host = nullptr;
        endpoint_state const* state = nullptr;
        int tier = 0; // 0 failure domain, 1 region, 2 rest
    };

    [[nodiscard]] auto admissible(member const& host, route_query const& query, config_view const& view) const
        -> bool;
    [[nodiscard]] auto candidates(route_query const& query, config_view const& view, time_point now) const
        -> std::vector<candidate>;
    [[nodiscard]] auto by_affinity(std::span<candidate const> tier, std::string_view prefix,
                                   time_point now) const -> candidate const*;
    [[nodiscard]] auto by_two_choices(std::span<candidate const> tier, time_point now,
                                      random_source& random) const -> candidate const&;
    [[nodiscard]] auto load(candidate const& item, time_point now) const -> double;
    auto eject(endpoint_state& state, time_point now) -> void;

    member self_;
    routing_settings settings_;
    std::map<std::string, member, std::less<>> hosts_;          // agents of the subset by name
    std::map<std::string, endpoint_state, std::less<>> states_; // by host name
};

} // namespace hibiscuswall
