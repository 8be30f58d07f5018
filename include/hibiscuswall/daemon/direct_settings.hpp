#pragma once
// Settings of daemons on a platform with a shared store: entries send calls straight to endpoints, agents
// keep their engine's weights. deploy/ holds the templates that the platform fills in.
//
//   auto settings = read_direct_entry_settings(document, errors);

#include "hibiscuswall/core/settings_reader.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/membership/member.hpp"
#include "hibiscuswall/serving/call_relay.hpp"

#include <map>
#include <string>

namespace hibiscuswall {

struct direct_settings {
    member self;                     // "name", "region", "failure_domain"; control: peer_listen
    address store;                   // "store": the platform's store
    milliseconds store_timeout{800}; // "store_timeout_ms": of one call
    address peer_listen;             // "peer_listen": TCP and UDP for other daemons, metrics
    std::map<std::string, std::string, std::less<>> regions; // "regions": region of each failure domain
    milliseconds stop_time{8'000};                           // "stop_time_ms": from SIGTERM to SIGKILL
    milliseconds settle_time{3'000};  // "settle_time_ms": after a fault, until a host has to be up to date
    declared_state_settings declared; // "version_time_ms"
    std::string log_level = "info";   // "log_level"
};

struct direct_entry_settings : direct_settings {
    address caller_listen; // "caller_listen"
    address ready_listen;  // "ready_listen": answers 200 while the balancer may send callers here
    relay_settings relay;  // "limits"
};

struct direct_agent_settings : direct_settings {
    address engine;       // "engine": the endpoint beside this agent
    std::string service;  // "service": that it serves
    double link_mbps = 0; // "link_mbps": of this host, 0: not limited
};

// Whether the file is for this kind of daemon and not for one with agents as gates.
[[nodiscard]] auto is_direct(nlohmann::json const& document) -> bool;

[[nodiscard]] auto read_direct_entry_settings(nlohmann::json const& document,
                                              std::vector<std::string>& errors) -> direct_entry_settings;
[[nodiscard]] auto read_direct_agent_settings(nlohmann::json const& document,
                                              std::vector<std::string>& errors) -> direct_agent_settings;

} // namespace hibiscuswall
