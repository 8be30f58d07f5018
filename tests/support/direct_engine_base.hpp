#pragma once
// A direct_entry_base whose service has an engine with declared weights: model "m", two layers. Includes
// CppUTest's headers, so it comes last among the includes of a test file.
//
//   TEST_GROUP_BASE(my_group, direct_engine_base){};
//   configure_engine();
//   put_engine(endpoint);        // serves version 1
//   declare(2);

#include "support/direct_entry_base.hpp"

namespace hibiscuswall {

struct direct_engine_base : direct_entry_base {
    std::size_t max_body_bytes = 4U << 20U; // of a request

    static auto route(std::string const& name, std::string const& prefix) -> json
    {
        return json{{"name", name},      {"host", "a.example"},    {"prefix", prefix}, {"kind", "idempotent"},
                    {"timeoutMs", 2000}, {"targetLatencyMs", 200}, {"maxAttempts", 2}, {"service", "s"}};
    }

    static auto engine_service(int slots) -> json
    {
        auto engine = json{{"slots", slots}, {"layers", 2}, {"chunks", 8}, {"chunkBytes", 1024}};
        engine["models"] = json::array();
        engine["models"].push_back(json{{"name", "m"}});
        auto service = json{{"name", "s"}, {"maxConnections", 50}};
        service["engine"] = engine;
        return service;
    }

    // Writes a configuration with these routes to the engines' service.
    auto configure_routes(json const& routes, int slots = 4) -> void
    {
        auto document = json{{"version", version++}, {"routes", routes}};
        document["limits"] = json{{"maxBodyBytes", max_body_bytes}};
        document["services"] = json::array();
        document["services"].push_back(engine_service(slots));
        document["tenants"] = json::array();
        document["tenants"].push_back(json{{"name", "guild"}, {"apiKeys", account_keys}});
        put("op/config", document);
    }

    // Writes a configuration with a route to the engine's service and as many unused ones as asked for.
    auto configure_engine(int unused_routes = 0) -> void
    {
        auto routes = json::array();
        routes.push_back(route("read", "/read/"));
        for (auto i = 0; i < unused_routes; ++i)
            routes.push_back(route("unused-" + std::to_string(i), "/unused-" + std::to_string(i) + "/"));
        configure_routes(routes);
    }

    auto put_engine(scripted_endpoint const& endpoint, std::string const& id = "i-1", int slots = 4) -> void
    {
        auto record = json{{"service", "s"},    {"address", endpoint.where().text()},
                           {"zone", "north-a"}, {"version", "v1"},
                           {"slots", slots},    {"state", "ready"},
                           {"sequence", 1}};
        record["models"] = json::array();
        record["models"].push_back(json{{"name", "m"}, {"version", 1}});
        record["layers"] = json{{"from", 0}, {"target", 2}, {"version", 1}};
        put("servers/" + id, record);
    }

    auto declare(std::uint64_t weights_version) -> void
    {
        put("op/version/m", json{{"model", "m"}, {"version", weights_version}});
    }
};

} // namespace hibiscuswall
