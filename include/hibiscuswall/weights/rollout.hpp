#pragma once
// Decides whether a host may switch to a version now, so that at most batch hosts of a failure domain are
// switching at a time without a shared lock.
//
//   announce verified; ask the others; switch(decide_rollout(id, self, others, batch)) ...
//   announce loading; ask the others again; if (!keeps_slot(id, self, others, batch)) back to verified
//
// The rank order is rendezvous hashing over version and host. A host waits for those that are loading and for
// those before it that are ready to load. Two hosts that start at the same moment see each other on the
// second look, and the later one in rank order steps back.

#include "hibiscuswall/lifecycle/version_machine.hpp"

#include <span>
#include <string>
#include <string_view>

namespace hibiscuswall {

struct rollout_peer {
    std::string name;
    bool known = false; // it answered
    version_state state = version_state::declared;
    bool load_failed = false; // its engine refused the version
};

enum class rollout_decision {
    proceed,
    wait,
    stop, // the version failed to load on a host of the failure domain
};

[[nodiscard]] auto decide_rollout(std::string_view version, std::string_view self,
                                  std::span<rollout_peer const> others, int batch) -> rollout_decision;

[[nodiscard]] auto keeps_slot(std::string_view version, std::string_view self,
                              std::span<rollout_peer const> others, int batch) -> bool;

} // namespace hibiscuswall
