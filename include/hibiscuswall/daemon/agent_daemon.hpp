#pragma once
// hibiscus-agent: the process beside each endpoint. Admits requests, distributes weights, orders the engine.
//
//   return run_agent(argc, argv);      // exit code, see docs/result-codes.md

#include "hibiscuswall/admission/admission_settings.hpp"
#include "hibiscuswall/config/config_settings.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"
#include "hibiscuswall/lifecycle/endpoint_settings.hpp"
#include "hibiscuswall/membership/membership_settings.hpp"
#include "hibiscuswall/weights/weights_settings.hpp"

namespace hibiscuswall {

struct agent_settings {
    member self;                    // "name", "region", "failure_domain"
    address listen;                 // "listen": entries, peers, engine, metrics
    std::string connect_from;       // "connect_from": source IP of outgoing connections; optional
    platform_settings platform;     // "platform"
    endpoint_settings endpoint;     // "endpoint"
    admission_settings admission;   // "admission"
    weights_settings weights;       // "weights"
    stop_settings stop;             // "stop"
    config_settings config;         // "config"
    membership_settings membership; // "membership"
    std::string log_level = "info"; // "log_level"
};

// Mistakes are added to errors, each with its field's path.
[[nodiscard]] auto read_agent_settings(nlohmann::json const& document, std::vector<std::string>& errors)
    -> agent_settings;

auto run_agent(int argc, char const* const* argv) -> int;

} // namespace hibiscuswall
