#pragma once
// HW_UNPROTECTED=NAME turns one protection off, by the daemons' ordinary settings, the declared resources or
// a naive caller, so that a test can be seen to fail without it (docs/promises.md).
//
//   if (unprotected("keys")) ...                 // callers without idempotency keys
//   remove_protection(settings, "agent");        // of a daemon, before its settings are written
//
// Names: keys, max_unconfirmed, fencing, clock_gap, graceful_stop, cold_limit, repair.

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <string_view>

namespace hibiscuswall {

inline auto unprotected(std::string_view name) -> bool
{
    auto const* given = std::getenv("HW_UNPROTECTED");
    return given != nullptr && given == name;
}

inline auto remove_protection(nlohmann::json& settings, std::string_view role) -> void
{
    constexpr auto never_ms = 3'600'000;
    if (unprotected("fencing") && role == "agent") // the agent trusts an engine that ignores the numbers
        settings["endpoint"]["fencing"] = "enforced";
    if (unprotected("clock_gap")) {
        settings["config"]["pause_threshold_ms"] = never_ms;
        if (role == "agent") settings["weights"]["clock_gap_ms"] = never_ms;
    }
    if (unprotected("graceful_stop")) {
        settings["stop"] = {{"balancer_delay_ms", 0}, {"drain_timeout_ms", 0}};
        settings["membership"]["peer_timeout_ms"] = 10; // a stop waits so long for its announcement
    }
    if (unprotected("repair")) {
        settings["membership"]["exchange_interval_ms"] = never_ms;
        settings["config"]["retry_delay_ms"] = 20'000;
        settings["config"]["retry_limit_ms"] = 20'000;
    }
}

} // namespace hibiscuswall
