#pragma once
// Decides whether a host may switch to a version now, so that at most batch hosts of a failure domain switch
// at the same time, without a shared lock.
//
//   announce the state verified; poll the others; switch (decide_rollout(id, self, others, batch)) ...
//   announce the state loading; poll the others again
//   if (!keeps_slot(id, self, others, batch)) announce the state verified again
//
// Hosts are ranked by rendezvous hashing over version and host. A host waits for hosts that are loading and
// for hosts ranked before it that are ready to load. If two hosts start at the same moment, each sees the
// other in its second poll, and the one ranked later gives its slot back.

#include "hibiscuswall/lifecycle/version_machine.hpp"

#include <span>
#include <string>
#include <string_view>

namespace hibiscuswall {

struct rollout_peer {
    std::string name;
    bool known = false; // it responded
    version_state state = version_state::declared;
    bool load_failed = false; // its engine could not load the version
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
