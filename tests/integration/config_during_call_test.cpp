// Configurations that change while calls are at endpoints. The real entry program with scripted endpoints.
#include <fstream>
#include <thread>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto time_at_endpoint = milliseconds{400}; // of a call, long enough to change the configuration

// Takes the call, and closes the connection without a response after time_at_endpoint.
auto close_later() -> scripted_response
{
    auto response = scripted_response{};
    response.close = true;
    response.delay = time_at_endpoint;
    return response;
}

} // namespace

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
    auto log = std::ifstream{folder / "e1.log"};
    for (auto line = std::string{}; std::getline(log, line);)
        if (std::all_of(parts.begin(), parts.end(),
                        [&](auto const& part) { return line.find(part) != std::string::npos; }))
            return true;
    return false;
}
}
;

// Guards against an entry that ends, or a caller without a response, because a call that is sent again reads
// the route, account and service of a configuration that is no longer there.
TEST(config_during_a_call, a_retried_call_whose_route_is_gone_gets_a_response_and_is_logged_with_its_route)
{
    auto endpoint = scripted_endpoint{[](auto const&) { return close_later(); }};
    start_entry_with({&endpoint});
    for (auto round = 0; round < 2; ++round) {
        configure();
        CHECK(await_condition(seconds{2}, [&] { return ask("/none/x").status == 404; }));
        auto response = std::async(std::launch::async, [&] { return ask("/read/x"); });
        auto const sent = static_cast<std::size_t>(round) + 1;
        CHECK(await_condition(seconds{2}, [&] { return endpoint.requests().size() == sent; }));
        remove_routes();
        auto const status = response.get().status;
        CHECK_EQUAL(504, status); // it may have run
        CHECK(await_condition(seconds{2}, [&] {
            return logged({"event=call_ended", "call=call-" + std::to_string(calls), "route=read",
                           "account=guild", "outcome=failed"});
        }));
    }
    CHECK(is_ready());
    CHECK(metrics_page().find("outcome=\"failed\",service=\"s\"") != std::string::npos ||
          metrics_page().find("service=\"s\",outcome=\"failed\"") != std::string::npos);
}

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
