#pragma once
// A real hibiscus-entry with a stand-in store, for tests that script its endpoints. Includes CppUTest's
// headers, so it comes last among the includes of a test file.
//
//   TEST_GROUP_BASE(my_group, direct_entry_base){};
//   auto endpoint = scripted_endpoint{[](auto const& request) { return scripted_response{signed_ok(request,
//   "a")}; }}; start_entry_with({&endpoint}); CHECK_EQUAL(200, ask("/read/a").status);

#include "hibiscuswall/core/base64.hpp"

#include "platform/call_headers.hpp"

#include "support/await_condition.hpp"
#include "support/http_caller.hpp"
#include "support/port_pool.hpp"
#include "support/process.hpp"
#include "support/scripted_endpoint.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace hibiscuswall {

using nlohmann::json;

inline auto signed_ok(scripted_request const& request, std::string const& body, std::string const& extra = "")
    -> std::string
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s1\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto events_from(scripted_request const& request, int first, int last) -> std::string
{
    auto body = std::string{};
    for (auto i = first; i <= last; ++i)
        body += "id: " + std::to_string(i) + "\ndata: t\n\n";
    return "HTTP/1.1 200 OK\r\nX-Hibiscuswall-Attempt-Id: " + request.header("x-hibiscuswall-attempt-id") +
           "\r\nX-Hibiscuswall-Response-Signature: s" + std::to_string(first) +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
           [&] {
               auto size = std::array<char, 16>{};
               std::snprintf(size.data(), size.size(), "%zx", body.size());
               return std::string{size.data()};
           }() +
           "\r\n" + body + "\r\n";
}

inline auto const end_of_chunks = std::string{"0\r\n\r\n"};

TEST_BASE(direct_entry_base)
{
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("hibiscuswall-direct-" + std::to_string(getpid()));
    address store = port_pool::next();
    address callers = port_pool::next();
    address ready = port_pool::next();
    address peers = port_pool::next();
    process kv;
    process entry;
    std::uint64_t version = 1;
    std::vector<std::string> account_keys{"k1"};
    json entry_settings = json::object(); // merged over those of start_entry()
    int calls = 0;

    void setup() override
    {
        std::filesystem::create_directories(folder);
        kv = process{"standin-kv", {"--listen", store.text()}, folder / "kv.log"};
        CHECK(await_condition(seconds{5}, [&] { return call(store, {"GET", "/readyz"}).status == 200; }));
    }

    void teardown() override
    {
        entry.kill();
        kv.kill();
        std::filesystem::remove_all(folder);
    }

    // Listeners of one entry program.
    struct entry_listeners {
        address callers;
        address ready;
        address peers;
    };

    auto start_entry()->void { entry = start_entry_program("e1", {callers, ready, peers}); }

    auto start_entry_program(std::string const& name, entry_listeners const& where)->process
    {
        auto settings = json{{"name", name},
                             {"region", "north"},
                             {"failure_domain", "north-a"},
                             {"store", store.text()},
                             {"peer_listen", where.peers.text()},
                             {"caller_listen", where.callers.text()},
                             {"ready_listen", where.ready.text()},
                             {"regions", {{"north-a", "north"}}},
                             {"stop_time_ms", 6000},
                             {"limits", {{"repeat_ratio", 0.2}, {"repeat_reserve", 320}}}};
        settings.update(entry_settings);
        auto const file = folder / (name + ".json");
        std::ofstream{file} << settings.dump();
        return process{"hibiscus-entry", {"--settings", file.string()}, folder / (name + ".log")};
    }

    auto put(std::string const& key, json const& value)->void
    {
        auto const row = json{{"key", key}, {"value", encode_base64(value.dump())}, {"lease", 0}};
        auto body =
            json{{"expected", json::array()}, {"puts", json::array({row})}, {"remove", json::array()}};
        CHECK_EQUAL(200, call(store, {"POST", "/kv-txn", {}, body.dump()}).status);
    }

    auto remove(std::string const& key)->void
    {
        auto body =
            json{{"expected", json::array()}, {"puts", json::array()}, {"remove", json::array({key})}};
        CHECK_EQUAL(200, call(store, {"POST", "/kv-txn", {}, body.dump()}).status);
    }

    auto configure()->void
    {
        auto const route = [](char const* name, char const* prefix, char const* kind, int attempts) {
            return json{
                {"name", name},      {"host", "a.example"},    {"prefix", prefix},        {"kind", kind},
                {"timeoutMs", 2000}, {"targetLatencyMs", 200}, {"maxAttempts", attempts}, {"service", "s"},
                {"resumable", true}};
        };
        put("op/config",
            json{{"version", version++},
                 {"routes", json::array({route("read", "/read/", "idempotent", 2),
                                         route("book", "/book/", "non_idempotent", 1),
                                         route("draft", "/draft/", "streaming", 2)})},
                 {"services", json::array({json{{"name", "s"}, {"maxConnections", 50}}})},
                 {"tenants", json::array({json{{"name", "guild"}, {"apiKeys", account_keys}}})}});
    }

    auto put_endpoint(std::string const& id, scripted_endpoint const& endpoint,
                      std::string const& state = "ready", int slots = 4)
        ->void
    {
        put("servers/" + id, json{{"service", "s"},
                                  {"address", endpoint.where().text()},
                                  {"zone", "north-a"},
                                  {"version", "v1"},
                                  {"slots", slots},
                                  {"state", state},
                                  {"sequence", 1}});
    }

    auto is_ready()->bool { return call(ready, {"GET", "/"}).status == 200; }
    auto await_ready()->void
    {
        CHECK(await_condition(seconds{5}, [&] { return is_ready(); }));
    }

    // Starts an entry that serves with these endpoints, named i-1, i-2 and so on.
    auto start_entry_with(std::vector<scripted_endpoint const*> const& endpoints)->void
    {
        configure();
        for (auto i = std::size_t{0}; i < endpoints.size(); ++i)
            put_endpoint("i-" + std::to_string(i + 1), *endpoints[i]);
        start_entry();
        await_ready();
    }

    // The request of the next call, with an id of its own.
    auto next_request(std::string const& path, std::string const& method = "GET",
                      std::string const& key = "k1")
        ->http_request
    {
        auto request = http_request{method, path, {}, method == "POST" ? "{}" : ""};
        request.headers.set("Host", "a.example");
        request.headers.set("X-Hibiscuswall-Attempt-Id", "call-" + std::to_string(++calls));
        request.headers.set("X-Hibiscuswall-Deadline-Ms", "1500");
        if (!key.empty()) request.headers.set("X-Hibiscuswall-Key", key);
        return request;
    }

    auto ask(std::string const& path, std::string const& method = "GET", std::string const& key = "k1")
        ->http_response
    {
        return call(callers, next_request(path, method, key));
    }

    // Like ask(), but returns what arrived of a truncated response.
    auto ask_partial(std::string const& path, std::string const& method = "GET")->partial_response
    {
        return call_and_keep_partial(callers, next_request(path, method));
    }
};

} // namespace hibiscuswall
