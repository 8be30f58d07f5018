#pragma once
// hibiscus-entry: takes callers' requests, routes them to agents, serves the operators' resource API.
//
//   return run_entry(argc, argv);      // exit code, see docs/result-codes.md

#include "hibiscuswall/calls/call_settings.hpp"
#include "hibiscuswall/daemon/daemon_settings.hpp"

namespace hibiscuswall {

struct entry_settings : daemon_settings {
    address client_listen;  // "client_listen": callers
    address control_listen; // "control_listen": operators, peers, metrics
    call_settings calls;    // "calls"
};

// Mistakes are added to errors, each with its field's path.
[[nodiscard]] auto read_entry_settings(nlohmann::json const& document, std::vector<std::string>& errors)
    -> entry_settings;

auto run_entry(int argc, char const* const* argv) -> int;

} // namespace hibiscuswall
