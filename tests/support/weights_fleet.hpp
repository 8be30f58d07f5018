#pragma once
// One agent's weights controller on the test's io_context, beside an engine, an origin and a peer that follow
// the test's script.
//
//   auto fleet = weights_fleet{};
//   fleet.engine.after_stage_read = [&](std::size_t chunk) { ... };
//   fleet.start();
//   fleet.declare(2);
//   CHECK(fleet.run_until([&] { return fleet.engine.loaded == 2; }));
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace hibiscuswall {

constexpr auto fleet_chunks = std::size_t{8};
constexpr auto fleet_chunk_bytes = std::size_t{1'024};
inline auto const fleet_model = std::string{"m"};

inline auto fleet_chunk(std::uint64_t version, std::size_t chunk) -> std::string
{
    auto bytes = std::string(fleet_chunk_bytes, 'x');
    return bytes.replace(0, 16, std::to_string(version * 1'000 + chunk) + "chunk-of-weights")
        .substr(0, fleet_chunk_bytes);
}

inline auto fleet_manifest(std::uint64_t version) -> nlohmann::json
{
    auto digests = nlohmann::json::array();
    for (auto i = std::size_t{0}; i < fleet_chunks; ++i)
        digests.push_back(sha256(fleet_chunk(version, i)));
    return {{"model", fleet_model},
            {"version", version},
            {"chunkBytes", fleet_chunk_bytes},
            {"layers", 2},
            {"digests", digests}};
}

// A model engine: staged chunks are not checked, and an order loads them as they are when it is accepted.
struct fleet_engine {
    fleet_engine(asio::io_context& io, address where) : server{io, routes, nullptr, {}}
    {
        routes.add("GET", "/report", [this](auto const&, auto& out) -> asio::awaitable<void> {
            auto text = report().dump();
            co_await out.send(json_response(200, std::move(text)));
        });
        routes.add("GET", "/stage-get/", [this](auto const& request, auto& out) -> asio::awaitable<void> {
            auto const number = request.query("sampleCount");
            if (number.empty()) co_return co_await send_list(out);
            auto const chunk = std::stoul(number);
            auto const found = staged.find(chunk);
            auto response = http_response{404, {}, {}};
            if (found != staged.end()) response = http_response{200, {}, found->second};
            co_await out.send(std::move(response));
            if (after_stage_read) after_stage_read(chunk);
        });
        routes.add("PUT", "/stage-put/", [this](auto const& request, auto& out) -> asio::awaitable<void> {
            staged[std::stoul(request.query("sampleCount"))] = request.body;
            turned_bad_at.erase(std::stoul(request.query("sampleCount")));
            auto done = http_response{200, {}, "{}"};
            co_await out.send(std::move(done));
        });
        routes.add("POST", "/order", [this](auto const& request, auto& out) -> asio::awaitable<void> {
            auto const body = nlohmann::json::parse(request.body);
            auto const version = body["version"].template get<std::uint64_t>();
            load(version, clock::now());
            auto accepted = http_response{202, {}, {}};
            co_await out.send(std::move(accepted));
        });
        for (auto i = std::size_t{0}; i < fleet_chunks; ++i)
            staged[i] = fleet_chunk(1, i);
        if (!server.listen(where)) std::abort();
    }

    auto report() const -> nlohmann::json
    {
        auto model = nlohmann::json::object();
        model["name"] = fleet_model;
        model["version"] = loaded;
        auto document = nlohmann::json::object();
        document["models"] = nlohmann::json::array();
        document["models"].push_back(model);
        document["layers"] = {{"from", 0}, {"target", 2}, {"version", loaded}};
        document["busy"] = false;
        document["sequence"] = orders;
        document["born"] = 1'700'000'000'000;
        return document;
    }

    auto send_list(http_responder& out) const -> asio::awaitable<void>
    {
        auto held = nlohmann::json::array();
        for (auto const& [chunk, bytes] : staged)
            held.push_back(chunk);
        auto document = nlohmann::json::object();
        document["held"] = held;
        auto text = document.dump();
        co_await out.send(json_response(200, std::move(text)));
    }

    auto load(std::uint64_t version, time_point now) -> void
    {
        ++orders;
        for (auto i = std::size_t{0}; i < fleet_chunks; ++i) {
            auto const turned = turned_bad_at.find(i);
            auto const excused = turned != turned_bad_at.end() && now - turned->second < excused_period;
            if (staged[i] != fleet_chunk(version, i) && !excused) bad_loads.emplace_back(version, i);
        }
        loaded = version;
    }

    auto turn_bad(std::size_t chunk) -> void
    {
        staged[chunk][fleet_chunk_bytes - 1] ^= 1;
        turned_bad_at[chunk] = clock::now();
    }

    // An agent cannot know of a chunk that turned bad within this time before the order.
    static constexpr auto excused_period = seconds{3};

    std::uint64_t loaded = 1;
    int orders = 0;
    std::map<std::size_t, std::string> staged;
    std::map<std::size_t, time_point> turned_bad_at;
    std::vector<std::pair<std::uint64_t, std::size_t>> bad_loads; // version and chunk that was not right
    std::function<void(std::size_t)> after_stage_read;
    http_router routes;
    http_server server;
};

// The origin of weights. `alter` changes the text of a manifest on its way; it answers 410 for the chunks of
// versions of which `lacks_chunks_of` says so.
struct fleet_origin {
    explicit fleet_origin(asio::io_context& io) : server{io, routes, nullptr, {}}
    {
        routes.add("GET", "/manifest/", [this](auto const& request, auto& out) -> asio::awaitable<void> {
            ++manifests_sent;
            auto const version = std::stoull(request.query("version"));
            auto text = fleet_manifest(version).dump();
            if (alter) text = alter(version, std::move(text));
            co_await out.send(json_response(200, std::move(text)));
        });
        routes.add("GET", "/piece/", [this](auto const& request, auto& out) -> asio::awaitable<void> {
            auto const version = std::stoull(request.query("version"));
            if (lacks_chunks_of && lacks_chunks_of(version)) {
                auto gone = http_response{410, {}, {}};
                co_return static_cast<void>(co_await out.send(std::move(gone)));
            }
            auto bytes = fleet_chunk(version, std::stoul(request.query("sampleCount")));
            auto response = http_response{200, {}, std::move(bytes)};
            co_await out.send(std::move(response));
        });
        if (!server.listen(where)) std::abort();
    }

    int manifests_sent = 0;
    std::function<std::string(std::uint64_t, std::string)> alter;
    std::function<bool(std::uint64_t)> lacks_chunks_of;
    address where = port_pool::next();
    http_router routes;
    http_server server;
};

struct weights_fleet {
    weights_fleet()
    {
        self.name = engine_address.ip;
        self.control_address = {"127.0.0.1", port_pool::next().port};
        self.region = "north";
        self.failure_domain = "north-a";
        self.service = "pool";
        context.self = self;
        rpc.serve(control);
        if (!server.listen(self.control_address)) std::abort();
    }

    auto start() -> void
    {
        put("servers/i-1", {{"service", "pool"},
                            {"address", engine_address.text()},
                            {"zone", "north-a"},
                            {"version", "v1"},
                            {"slots", 4},
                            {"state", "ready"},
                            {"sequence", 1}});
        auto model = nlohmann::json::object();
        model["name"] = fleet_model;
        auto pool = nlohmann::json{{"name", "pool"}};
        pool["engine"] = {
            {"slots", 4}, {"layers", 2}, {"chunks", fleet_chunks}, {"chunkBytes", fleet_chunk_bytes}};
        pool["engine"]["models"] = nlohmann::json::array();
        pool["engine"]["models"].push_back(model);
        auto const archive =
            nlohmann::json{{"name", "archive"}, {"origin", origin.where.text()}, {"zone", "north-a"}};
        auto document = nlohmann::json{{"version", 1}};
        document["services"] = nlohmann::json::array();
        document["services"].push_back(pool);
        document["services"].push_back(archive);
        declared.apply({"op/config", document.dump(), 1}, clock::now());
        if (!loads.start()) std::abort();
        controller.start();
    }

    auto declare(std::uint64_t version) -> void
    {
        auto const document = nlohmann::json{{"model", fleet_model}, {"version", version}};
        declared.apply({"op/version/" + fleet_model, document.dump(), 10 + version}, clock::now());
    }

    auto put(std::string key, nlohmann::json const& value) -> void
    {
        if (!run_coroutine(io, kv.put(std::move(key), value.dump(), std::nullopt))) std::abort();
    }

    auto run_until(std::function<bool()> const& condition, milliseconds bound = milliseconds{8'000}) -> bool
    {
        auto const end = clock::now() + bound;
        io.restart();
        while (!condition() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return condition();
    }

    static auto settings_for(address const& engine) -> engine_weights_settings
    {
        auto settings = engine_weights_settings{};
        settings.engine = engine;
        settings.service = "pool";
        settings.weights.staged_bytes = 1U << 20U;
        settings.weights.poll_peers = 0;
        settings.weights.source_fetchers = 2;
        settings.weights.peer_timeout = milliseconds{200};
        settings.schedule.first_switch_delay = milliseconds{100};
        settings.schedule.last_switch_delay = milliseconds{200};
        settings.report_interval = milliseconds{20};
        return settings;
    }

    asio::io_context io;
    fake_store store{io};
    address engine_address = port_pool::next();
    fleet_engine engine{io, engine_address};
    fleet_origin origin{io};
    member self;
    timeline events{"agent", 64};
    http_client client{io, nullptr};
    rpc_dispatcher rpc;
    http_router control;
    metrics metrics_registry;
    random_source random{5};
    process_context context{io, self, client, rpc, control, events, metrics_registry, random};
    http_server server{io, control, nullptr, {}};
    key_value_client kv{client, {store.where}, milliseconds{500}};
    declared_state declared{{}};
    load_report_sender loads{io, context.self, declared};
    agent_directory directory{
        client, kv, context.self, {{"north-a", "north"}}, [] { return std::vector<address>{}; }};
    engine_weights_controller controller{context, declared, directory, loads, settings_for(engine_address)};
};

} // namespace hibiscuswall
