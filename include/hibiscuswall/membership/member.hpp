#pragma once
// One process of the deployment as other processes know it (soft state, exchanged by gossip).

#include "hibiscuswall/core/address.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscuswall {

enum class member_role {
    entry,
    agent,
};

enum class member_state {
    alive,
    suspect,
    leaving,
    dead,
};

struct member {
    std::string name;                      // host name, unique in the deployment
    member_role role = member_role::agent; // program that runs as this process
    address control_address;               // serves /rpc, /exchange, /chunks and, at an agent, /forward
    std::string region;                    // region from the settings of the process
    std::string failure_domain;            // failure domain from the settings of the process
    std::string service;                   // service of the endpoint; empty for an entry
    std::uint64_t incarnation = 0;         // wall clock in ms at its start; raised to refute a false report
    member_state state = member_state::alive; // latest known state
    std::uint64_t config_revision = 0;        // highest configuration revision that the process reported
};

[[nodiscard]] auto to_json(member const& value) -> nlohmann::json;

// Nothing when a field is missing or malformed, since peers may run another version of the program.
[[nodiscard]] auto member_from_json(nlohmann::json const& value) -> std::optional<member>;

[[nodiscard]] auto member_state_text(member_state state) -> std::string_view;

} // namespace hibiscuswall
