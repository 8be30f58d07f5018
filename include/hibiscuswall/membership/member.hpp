#pragma once
// One process of the system as the others know it (soft state, exchanged by gossip).

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
    member_role role = member_role::agent; // which program
    address control_address;               // where /rpc, /chunks and, at an agent, /forward are served
    std::string region;                    // from its settings
    std::string failure_domain;            // from its settings
    std::string service;                   // service of its endpoint; empty for an entry
    std::uint64_t incarnation = 0;         // wall clock in ms at its start, raised when it refutes a rumour
    member_state state = member_state::alive; // as last known
    std::uint64_t config_revision = 0;        // highest configuration revision it reported
};

[[nodiscard]] auto to_json(member const& value) -> nlohmann::json;

// Nothing when a field is missing or malformed: peers are not trusted to be of this version.
[[nodiscard]] auto member_from_json(nlohmann::json const& value) -> std::optional<member>;

[[nodiscard]] auto member_state_text(member_state state) -> std::string_view;

} // namespace hibiscuswall
