#pragma once
// The daemons on a platform with a shared store: an entry that sends calls straight to endpoints, and an
// agent that keeps its engine's weights and tells entries its load.
//
//   return run_direct_entry(settings, seed);      // until SIGTERM; exit code

#include "hibiscuswall/daemon/direct_settings.hpp"

namespace hibiscuswall {

auto run_direct_entry(direct_entry_settings const& settings, std::uint64_t seed) -> int;
auto run_direct_agent(direct_agent_settings const& settings, std::uint64_t seed) -> int;

} // namespace hibiscuswall
