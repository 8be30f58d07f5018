#pragma once
// hibiscus-agent: the process beside each endpoint. Admits requests, distributes weights, orders the engine.
//
//   return run_agent(argc, argv);      // exit code, see docs/result-codes.md

#include "hibiscuswall/admission/admission_settings.hpp"
#include "hibiscuswall/daemon/daemon_settings.hpp"
#include "hibiscuswall/lifecycle/endpoint_settings.hpp"
#include "hibiscuswall/weights/weights_settings.hpp"

namespace hibiscuswall {

struct agent_settings : daemon_settings {
    address listen;               // "listen": entries, peers, engine, metrics
    endpoint_settings endpoint;   // "endpoint"
    admission_settings admission; // "admission"
    weights_settings weights;     // "weights"
};

// Mistakes are added to errors, each with its field's path.
[[nodiscard]] auto read_agent_settings(nlohmann::json const& document, std::vector<std::string>& errors)
    -> agent_settings;

auto run_agent(int argc, char const* const* argv) -> int;

} // namespace hibiscuswall
