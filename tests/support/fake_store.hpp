#pragma once
// The key-value service inside the test's process, with the faults that a test needs.
//
//   auto store = fake_store{io};
//   store.lose_answers = 1;          // the next write takes effect but its answer is cut
//   store.down = true;               // every call answers 503
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/http/http_server.hpp"
#include "support/free_port.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>

namespace hibiscuswall {

struct fake_store {
    struct entry {
        std::string value;
        std::uint64_t revision = 0;
    };

    explicit fake_store(asio::io_context& io) : server{io, routes, nullptr, {}}
    {
        using out_t = http_responder;
        routes.add("*", "/v1/kv/",
                   [this](http_request const& request, out_t& out) { return change(request, out); });
        routes.add("GET", "/v1/list",
                   [this](http_request const& request, out_t& out) { return list(request, out); });
        routes.add("GET", "/v1/watch",
                   [this](http_request const& request, out_t& out) { return watch(request, out); });
        if (!server.listen(where)) std::abort();
    }

    auto change(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        auto const key = percent_decode(request.path().substr(std::string_view{"/v1/kv/"}.size()));
        ++calls[request.method];
        if (down) co_return co_await send_status(out, 503);
        if (request.method == "GET") {
            auto const found = entries.find(key);
            if (found == entries.end()) co_return co_await send_status(out, 404);
            auto const held = found->second;
            co_return co_await send(out, 200, held);
        }
        if (before_write) before_write(key);
        auto const present = entries.contains(key) ? entries[key].revision : 0;
        if (request.has_query("expect") && request.query("expect") != std::to_string(present))
            co_return co_await send_revision(out, 409, present);
        if (request.method == "DELETE") {
            entries.erase(key);
            co_return co_await send_revision(out, 200, ++revision);
        }
        entries[key] = {request.body, ++revision};
        ++writes[key];
        auto const made = revision;
        if (after_write) after_write(key);
        if (key == loses && lose_answers > 0) {
            --lose_answers;
            out.abort();
            co_return;
        }
        co_await send_revision(out, 200, made);
    }

    auto list(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        if (down) co_return co_await send_status(out, 503);
        auto keys = nlohmann::json::array();
        for (auto const& [key, item] : entries)
            if (key.starts_with(request.query("prefix")))
                keys.push_back({{"key", key}, {"revision", item.revision}});
        auto const text = nlohmann::json{{"keys", keys}}.dump();
        co_await out.send(json_response(200, text));
    }

    auto watch(http_request const& request, http_responder& out) -> asio::awaitable<void>
    {
        ++calls["WATCH"];
        auto const key = request.query("key");
        auto const after = std::stoull(request.query("after"));
        auto const end = clock::now() + milliseconds{std::stoll(request.query("wait_ms"))};
        while (!down && clock::now() < end && (!entries.contains(key) || entries[key].revision <= after))
            co_await sleep_for(milliseconds{5});
        if (down) co_return co_await send_status(out, 503);
        if (!entries.contains(key) || entries[key].revision <= after)
            co_return co_await send_status(out, 204);
        auto const found = entries[key];
        co_await send(out, 200, found);
    }

    static auto send_status(http_responder& out, int status) -> asio::awaitable<void>
    {
        auto answer = http_response{status, {}, {}};
        co_await out.send(std::move(answer));
    }

    static auto send(http_responder& out, int status, entry const& found) -> asio::awaitable<void>
    {
        auto answer = http_response{status, {}, found.value};
        answer.headers.set("X-Revision", static_cast<long long>(found.revision));
        co_await out.send(std::move(answer));
    }

    static auto send_revision(http_responder& out, int status, std::uint64_t made) -> asio::awaitable<void>
    {
        auto const text = nlohmann::json{{"revision", made}}.dump();
        co_await out.send(json_response(status, text));
    }

    address where = free_address();
    std::map<std::string, entry> entries;
    std::map<std::string, int> writes; // by key
    std::map<std::string, int> calls;  // by method
    std::uint64_t revision = 0;
    bool down = false;
    std::string loses = "config/root"; // key whose answers are lost
    int lose_answers = 0;
    std::function<void(std::string const&)> before_write;
    std::function<void(std::string const&)> after_write;
    http_router routes;
    http_server server;
};

} // namespace hibiscuswall
