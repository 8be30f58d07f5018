#pragma once
// hibiscus-entry: takes callers' requests, routes them to agents, serves the operators' resource API.
//
//   return run_entry(argc, argv);      // exit code, see docs/result-codes.md

#include "hibiscuswall/calls/call_settings.hpp"
#include "hibiscuswall/config/config_settings.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"
#include "hibiscuswall/membership/membership_settings.hpp"

namespace hibiscuswall {

struct entry_settings {
    member self;                    // "name", "region", "failure_domain"
    address client_listen;          // "client_listen": callers
    address control_listen;         // "control_listen": operators, peers, metrics
    std::string connect_from;       // "connect_from": source IP of outgoing connections; optional
    platform_settings platform;     // "platform"
    stop_settings stop;             // "stop"
    config_settings config;         // "config"
    membership_settings membership; // "membership"
    call_settings calls;            // "calls"
    std::string log_level = "info"; // "log_level"
};

// Mistakes are added to errors, each with its field's path.
[[nodiscard]] auto read_entry_settings(nlohmann::json const& document, std::vector<std::string>& errors)
    -> entry_settings;

auto run_entry(int argc, char const* const* argv) -> int;

} // namespace hibiscuswall
