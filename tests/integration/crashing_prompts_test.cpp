// Prompts with a segment that crashes engines. The real entry program with scripted engines that end.
#include <mutex>

#include "support/direct_entry_base.hpp"

using namespace hibiscuswall;

namespace {

constexpr auto engine_count = 8;

auto holds(scripted_request const& request, std::string const& segment) -> bool
{
    return request.header("x-hibiscuswall-prompt-prefix").find(segment) != std::string::npos;
}

} // namespace

TEST_GROUP_BASE(crashing_prompts, direct_entry_base)
{
    std::vector<std::unique_ptr<scripted_endpoint>> engines;
    std::atomic<int> crashes{0};

    auto configure_engines()->void
    {
        auto const engine = json{{"slots", 4},
                                 {"layers", 1},
                                 {"chunk", 1000},
                                 {"read_per_s", 1'000'000},
                                 {"models", json::array({json{{"name", "m"}, {"warmupS", 0.1}}})}};
        auto const route = json{{"name", "draft"},     {"host", "a.example"}, {"prefix", "/draft/"},
                                {"kind", "streaming"}, {"timeoutMs", 2000},   {"targetLatencyMs", 400},
                                {"maxAttempts", 2},    {"service", "s"},      {"resumable", true}};
        put("op/config",
            json{{"version", version++},
                 {"routes", json::array({route})},
                 {"services", json::array({json{{"name", "s"}, {"maxConnections", 50}, {"engine", engine}}})},
                 {"tenants", json::array({json{{"name", "guild"}, {"apiKeys", account_keys}}})}});
    }

    auto put_engine(std::string const& id, scripted_endpoint const& engine)->void
    {
        put("servers/" + id, json{{"service", "s"},
                                  {"address", engine.where().text()},
                                  {"zone", "north-a"},
                                  {"version", "v1"},
                                  {"slots", 4},
                                  {"state", "ready"},
                                  {"sequence", 1},
                                  {"models", json::array({json{{"name", "m"}, {"version", 1}}})},
                                  {"layers", {{"from", 0}, {"target", 1}, {"version", 1}}}});
    }

    // Starts engines that end when they begin a response to a prompt with the segment "dead", after this
    // number of
    // events.
    auto start_engines(int events_before_crash)->void
    {
        auto const respond = [this, events_before_crash](scripted_request const& request) {
            if (!holds(request, "dead")) return scripted_response{events_from(request, 1, 3) + end_of_chunks};
            ++crashes;
            auto crash = scripted_response{};
            if (events_before_crash > 0) crash.bytes = events_from(request, 1, events_before_crash);
            crash.ends_endpoint = true;
            return crash;
        };
        for (auto i = 0; i < engine_count; ++i) {
            engines.push_back(std::make_unique<scripted_endpoint>(respond));
            put_engine("i-" + std::to_string(i + 1), *engines.back());
        }
    }

    // Sends calls with the segment until they are rejected, each beside a sound one that shares another
    // segment.
    auto check_that_crashes_end()->void
    {
        CHECK(await_condition(seconds{5}, [&] { return draft("a:40,own0:10").status == 200; }));
        auto rejected = http_response{};
        auto sent = 0;
        while (rejected.status != 400 && sent < 20) {
            auto const number = std::to_string(++sent);
            rejected = draft("a:40,dead:40,own" + number + ":10");
            CHECK_EQUAL(200, draft("a:40,own" + number + ":10").status);
        }
        CHECK_EQUAL(400, rejected.status);
        CHECK(rejected.body.find("prompt_quarantined") != std::string::npos);
        CHECK(crashes <= 4);
        auto const crashes_before = crashes.load();
        for (auto i = 0; i < 10; ++i) {
            auto const number = std::to_string(i);
            CHECK_EQUAL(400, draft("b:40,dead:40,late" + number + ":10").status);
            CHECK_EQUAL(200, draft("b:40,late" + number + ":10").status);
        }
        CHECK_EQUAL(crashes_before, crashes.load());
    }

    auto draft(std::string const& prompt)->http_response
    {
        auto request = next_request("/draft/x", "POST");
        request.headers.set("X-Hibiscuswall-Model", "m");
        request.headers.set("X-Hibiscuswall-Token-Usage", "100,10");
        request.headers.set("X-Hibiscuswall-Prompt-Prefix", prompt);
        return call(callers, std::move(request));
    }
};

// Guards against requests that crash one engine after the other, and against sound ones that are rejected
// because they share a segment or the account with them.
TEST(crashing_prompts, are_rejected_after_few_crashes_while_sound_prompts_are_served)
{
    configure_engines();
    start_engines(0);
    start_entry();
    await_ready();
    check_that_crashes_end();
}

// Guards against a first event that is taken for a sign that the engine survived the prompt.
TEST(crashing_prompts, are_rejected_as_well_if_their_engines_still_send_an_event)
{
    configure_engines();
    start_engines(1);
    start_entry();
    await_ready();
    check_that_crashes_end();
}

// Guards against sound prompts that are rejected because endpoints reset single connections.
TEST(crashing_prompts, a_connection_that_breaks_while_its_engine_lives_is_no_crash)
{
    configure_engines();
    auto count = std::atomic<int>{0};
    auto engine = scripted_endpoint{[&](auto const& request) {
        auto broken = scripted_response{};
        broken.reset = true;
        return ++count % 2 == 0 ? broken : scripted_response{events_from(request, 1, 3) + end_of_chunks};
    }};
    put_engine("i-1", engine);
    start_entry();
    await_ready();
    for (auto i = 0; i < 12; ++i)
        draft("a:40,own" + std::to_string(i) + ":10");
    auto const list = call_json(peers, "GET", "/fleet/quarantine");
    CHECK_TEXT(list.dump().find("\"a\"") == std::string::npos, list.dump().c_str());
}
