// An entry that is stopped while operators declare new weights, and goes on.
#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

TEST_GROUP_BASE(paused_entry, direct_entry_base)
{
    static constexpr auto version_time = milliseconds{4'000};

    auto configure_engine()->void
    {
        auto engine = json{{"slots", 4}, {"layers", 2}, {"chunks", 8}, {"chunkBytes", 1024}};
        engine["models"] = json::array();
        engine["models"].push_back(json{{"name", "m"}});
        auto service = json{{"name", "s"}, {"maxConnections", 50}};
        service["engine"] = engine;
        auto document = json{{"version", version++}};
        document["routes"] = json::array();
        document["routes"].push_back(json{{"name", "read"},
                                          {"host", "a.example"},
                                          {"prefix", "/read/"},
                                          {"kind", "idempotent"},
                                          {"timeoutMs", 2000},
                                          {"targetLatencyMs", 200},
                                          {"maxAttempts", 2},
                                          {"service", "s"}});
        document["services"] = json::array();
        document["services"].push_back(service);
        document["tenants"] = json::array();
        document["tenants"].push_back(json{{"name", "guild"}, {"apiKeys", account_keys}});
        put("op/config", document);
    }

    auto put_engine(scripted_endpoint const& endpoint)->void
    {
        auto record = json{{"service", "s"},    {"address", endpoint.where().text()},
                           {"zone", "north-a"}, {"version", "v1"},
                           {"slots", 4},        {"state", "ready"},
                           {"sequence", 1}};
        record["models"] = json::array();
        record["models"].push_back(json{{"name", "m"}, {"version", 1}});
        record["layers"] = json{{"from", 0}, {"target", 2}, {"version", 1}};
        put("servers/i-1", record);
    }
};

// Guards against an entry that counts the grace period of the old weights from the moment at which it went
// on, and sends calls there for as much longer as it stood still.
TEST(paused_entry, the_grace_period_of_old_weights_does_not_begin_when_a_pause_ends)
{
    constexpr auto pause = milliseconds{2'300};
    constexpr auto excluded_after =
        milliseconds{3'500}; // 4 s less the time that a call may wait in an engine
    auto endpoint =
        scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request, "a")}; }};
    entry_settings["version_time_ms"] = version_time.count();
    configure_engine();
    put_engine(endpoint);
    start_entry();
    await_ready();
    CHECK_EQUAL(200, ask("/read/a").status);

    entry.send_signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{200});
    put("op/version/m", json{{"model", "m"}, {"version", 2}});
    auto const declared_at = clock::now();
    std::this_thread::sleep_for(pause);
    entry.send_signal(SIGCONT);
    CHECK_EQUAL(200, ask("/read/a").status); // still within the grace period
    std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                  (declared_at + excluded_after - clock::now()));
    CHECK_EQUAL(503, ask("/read/a").status);
    CHECK(entry.running());
}
