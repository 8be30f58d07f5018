// Configurations that change while calls are at endpoints. The real entry program with scripted endpoints.
#include <fstream>
#include <thread>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(config_during_a_call, direct_entry_base){
    // Replaces the configuration by one without routes and accounts of the earlier ones.
    auto remove_routes()->void{
        put("op/config", json{{"version", version++},
                              {"routes", json::array()},
                              {"services", json::array({json{{"name", "other"}, {"maxConnections", 50}}})},
                              {"tenants", json::array({json{{"name", "other"}, {"apiKeys", {"k9"}}}})}});
}

auto metrics_page() -> std::string { return call(peers, {"GET", "/metrics"}).body; }

// Whether an entry's log has a line with all these parts.
auto logged(std::vector<std::string> const& parts) -> bool
{
    auto log = std::ifstream{folder / "entry.log"};
    for (auto line = std::string{}; std::getline(log, line);)
        if (std::all_of(parts.begin(), parts.end(),
                        [&](auto const& part) { return line.find(part) != std::string::npos; }))
            return true;
    return false;
}
}
;

// Guards against a lost response that nobody can explain: the line names call, reason and configuration.
TEST(config_during_a_call, a_response_that_breaks_off_is_logged_with_call_reason_and_configuration)
{
    auto endpoint = scripted_endpoint{[](auto const& request) {
        return scripted_response{events_from(request, 1, 2), true};
    }};
    start_entry_with({&endpoint});
    CHECK_EQUAL(0, ask("/draft/x", "POST").status);
    CHECK(await_condition(seconds{2}, [&] {
        return logged({"event=response_incomplete", "call=call-1", "reason=aborted", "written=begun",
                       "config_version=1", "newest_config_version=1"});
    }));
}
