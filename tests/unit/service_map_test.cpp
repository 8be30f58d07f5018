// The operators' documents: decoded whole or refused whole, and the routes that they describe.
#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/operator_sync.hpp"
#include "platform/endpoint_records.hpp"
#include "platform/engine_calls.hpp"
#include "platform/operator_documents.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

using nlohmann::json;

auto route(std::string const& prefix, std::string const& service) -> json
{
    return json{{"name", "r" + prefix}, {"host", "a.example"}, {"prefix", prefix},
                {"kind", "idempotent"}, {"timeoutMs", 500},    {"targetLatencyMs", 100},
                {"service", service},   {"maxAttempts", 2}};
}

auto configuration(std::uint64_t version, std::vector<json> const& routes) -> std::string
{
    auto const service = json{{"name", "s"}, {"maxConnections", 10}, {"coldStartS", 1.5}, {"coldPerS", 36}};
    auto const tenant = json{{"name", "guild"}, {"apiKeys", {"k1", "k2"}}, {"priority", 3}};
    return json{{"version", version}, {"routes", routes}, {"services", {service}}, {"tenants", {tenant}}}
        .dump();
}

auto const entry_text = std::string{
    R"({"service":"s","address":"10.0.0.1:80","zone":"gor-a","version":"v1","slots":16,"state":"ready",)"
    R"("coldRemainingMs":250,"models":[{"name":"m","version":3,"adapters":[]}],)"
    R"("layers":{"from":0,"target":16,"version":3},"sequence":4,"born":1700000000000})"};

} // namespace

TEST_GROUP(service_map){};

TEST(service_map, the_longest_prefix_of_the_host_wins)
{
    auto const map =
        platform::decode_configuration(configuration(1, {route("/a/", "s"), route("/a/b/", "t")})).value();
    STRCMP_EQUAL("/a/b/", map->route("a.example", "/a/b/c")->prefix.c_str());
    STRCMP_EQUAL("/a/", map->route("A.Example:8080", "/a/bc")->prefix.c_str());
    STRCMP_EQUAL("/a/", map->route("a.example", "/a/")->prefix.c_str());
    POINTERS_EQUAL(nullptr, map->route("a.example", "/a"));
    POINTERS_EQUAL(nullptr, map->route("a.example", "/b/"));
    POINTERS_EQUAL(nullptr, map->route("b.example", "/a/"));
}

TEST(service_map, any_key_of_an_account_names_it)
{
    auto const map = platform::decode_configuration(configuration(1, {})).value();
    STRCMP_EQUAL("guild", map->account_of_key("k2")->name.c_str());
    POINTERS_EQUAL(nullptr, map->account_of_key(""));
    POINTERS_EQUAL(nullptr, map->account_of_key("k"));
}

// Guards against a kind that is not known being repeated.
TEST(service_map, an_unknown_kind_of_route_may_run_once)
{
    auto strange = route("/a/", "s");
    strange["kind"] = "something-new";
    auto const map = platform::decode_configuration(configuration(1, {strange})).value();
    CHECK_FALSE(map->routes().front().may_repeat());
}

TEST(service_map, parts_of_a_split_route_keep_their_weights)
{
    auto split = route("/a/", "s");
    split.erase("service");
    split["trafficSplit"] = {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}};
    auto const map = platform::decode_configuration(configuration(1, {split})).value();
    CHECK_EQUAL(2U, map->routes().front().services.size());
    DOUBLES_EQUAL(10, map->routes().front().services[1].weight, 0.001);
}

// Guards against a map that is built half-way: a route that is missing would be answered 404.
TEST(service_map, a_document_with_one_bad_field_is_refused_whole)
{
    auto bad = route("/a/", "s");
    bad["maxAttempts"] = "two";
    CHECK_FALSE(platform::decode_configuration(configuration(1, {route("/b/", "s"), bad})).has_value());
    CHECK_FALSE(platform::decode_configuration("{").has_value());
    CHECK_FALSE(platform::decode_configuration("[]").has_value());
}

// ---- endpoints

TEST_GROUP(endpoint_entries){};

TEST(endpoint_entries, an_entry_names_an_endpoint)
{
    auto const record = platform::decode_endpoint("servers/i-1", entry_text).value();
    STRCMP_EQUAL("i-1", record.id.c_str());
    STRCMP_EQUAL("10.0.0.1:80", record.where.text().c_str());
    CHECK_EQUAL(16, record.slots);
    CHECK_EQUAL(250, record.cold_left.count());
    CHECK_EQUAL(16, record.weights->end_layer);
    CHECK_EQUAL(3U, record.weights->version);
    CHECK_FALSE(record.draining);
}

// Guards against an entry of another writer that is used as an endpoint.
TEST(endpoint_entries, an_entry_with_a_missing_or_wrong_field_names_none)
{
    for (auto const* field : {"service", "address", "zone", "slots", "state"}) {
        auto missing = json::parse(entry_text);
        missing.erase(field);
        CHECK_FALSE(platform::decode_endpoint("servers/i-1", missing.dump()).has_value());
        auto wrong = json::parse(entry_text);
        wrong[field] = json::array();
        CHECK_FALSE(platform::decode_endpoint("servers/i-1", wrong.dump()).has_value());
    }
    auto strange = json::parse(entry_text);
    strange["state"] = "resting";
    CHECK_FALSE(platform::decode_endpoint("servers/i-1", strange.dump()).has_value());
    CHECK_FALSE(platform::decode_endpoint("servers/i-1", "\xff\xfe").has_value());
}

TEST(endpoint_entries, changed_bytes_do_no_harm)
{
    auto random = random_source{5};
    for (auto round = 0; round < 3'000; ++round) {
        auto text = round % 2 == 0 ? entry_text : configuration(1, {route("/a/", "s")});
        for (auto changes = random.below(5) + 1; changes > 0; --changes)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        std::ignore = platform::decode_endpoint("servers/i-1", text);
        std::ignore = platform::decode_configuration(text);
        std::ignore = platform::decode_report(text);
        std::ignore = platform::decode_manifest(text);
        std::ignore = platform::decode_staged_list(text, 64);
    }
}

TEST(endpoint_entries, base64_is_decoded_or_refused)
{
    for (auto const* text : {"", "a", "ab", "abc", "abcd"})
        STRCMP_EQUAL(text, decode_base64(encode_base64(text))->c_str());
    CHECK_FALSE(decode_base64("abc").has_value());
    CHECK_FALSE(decode_base64("ab*=").has_value());
}

// ---- what a process believes

TEST_GROUP(fleet_state)
{
    fleet_state fleet{{}};
    time_point now{seconds{1'000}};

    auto set(std::string key, std::string value, std::uint64_t revision)->void
    {
        fleet.apply({std::move(key), std::move(value), revision}, now);
    }
};

// Guards against a process that goes back to an older configuration when answers overtake each other.
TEST(fleet_state, never_goes_back)
{
    set("op/config", configuration(7, {route("/a/", "s")}), 20);
    set("op/config", configuration(4, {}), 10);
    CHECK_EQUAL(7U, fleet.map()->version());
    fleet.replace("op/", {{"op/config", configuration(4, {}), 10}}, 15, now);
    CHECK_EQUAL(7U, fleet.map()->version());
    fleet.apply({"op/config", std::nullopt, 30}, now); // callers are served by what was accepted last
    CHECK_EQUAL(7U, fleet.map()->version());
}

TEST(fleet_state, a_bad_configuration_leaves_the_old_one_in_force)
{
    set("op/config", configuration(7, {}), 20);
    set("op/config", "{", 21);
    CHECK_EQUAL(7U, fleet.map()->version());
}

TEST(fleet_state, a_failure_domain_is_out_while_its_key_exists)
{
    set("op/evacuate/gor-a", "{}", 5);
    CHECK(fleet.out_of_service().contains("gor-a"));
    fleet.apply({"op/evacuate/gor-a", std::nullopt, 4}, now); // an older deletion
    CHECK(fleet.out_of_service().contains("gor-a"));
    fleet.apply({"op/evacuate/gor-a", std::nullopt, 6}, now);
    CHECK(fleet.out_of_service().empty());
    set("op/evacuate/gor-a", "{}", 5); // the same evacuation once more, told late by a peer
    CHECK(fleet.out_of_service().empty());
}

TEST(fleet_state, older_weights_may_begin_no_request_before_the_bound_is_reached)
{
    set("op/config", configuration(1, {}), 1);
    set("op/version/m", R"({"model":"m","version":2})", 2);
    CHECK_EQUAL(2U, fleet.newest_version("m"));
    CHECK_EQUAL(0U, fleet.lowest_version("m", now + milliseconds{7'000}));
    CHECK_EQUAL(2U, fleet.lowest_version("m", now + milliseconds{7'500}));
    CHECK_EQUAL(1U, fleet.newest_version("other"));
}

// Guards against a restarted process that gives a declaration its whole time once more.
TEST(fleet_state, what_is_found_at_the_start_was_declared_long_ago)
{
    fleet.replace("op/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 9, now);
    CHECK_EQUAL(2U, fleet.lowest_version("m", now));
}

// Pattern: two entries restart while the store is silent; one asks the other, which knows nothing yet. Guards
// against taking that for what the store holds, and then a declaration of long ago for a new one.
TEST(fleet_state, a_peer_that_knows_nothing_tells_nothing)
{
    fleet.replace("op/", {}, 0, now);
    fleet.replace("op/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 9, now);
    CHECK_EQUAL(2U, fleet.lowest_version("m", now));
}

// Pattern: an agent follows only the declarations of weights; the configuration it reads once. Guards against
// one part of the operators' keys that is taken for all of them.
TEST(fleet_state, a_part_of_the_keys_takes_nothing_from_the_others)
{
    fleet.replace("op/config", {{"op/config", configuration(3, {}), 20}}, 40, now);
    fleet.replace("op/version/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 41, now);
    fleet.replace("op/config", {{"op/config", configuration(4, {}), 50}}, 55, now);
    CHECK_EQUAL(4U, fleet.map()->version());
    CHECK_EQUAL(2U, fleet.newest_version("m"));
    CHECK_EQUAL(2U, fleet.lowest_version("m", now)); // found at the start, though not first
    CHECK_EQUAL(9U, fleet.weights_revision());
    CHECK_EQUAL(1U, fleet.items("op/version/").size());
    CHECK_EQUAL(2U, fleet.items("op/").size());
}

// ---- between peers

TEST_GROUP(operator_snapshot) { time_point now{seconds{1'000}}; };

// Pattern: the store turns this process away for nine seconds while operators change the configuration, take
// a key away and take a failure domain out and back.
TEST(operator_snapshot, a_process_that_the_store_turns_away_learns_all_from_a_peer)
{
    auto behind = fleet_state{{}};
    auto ahead = fleet_state{{}};
    for (auto* each : {&behind, &ahead}) {
        each->apply({"op/config", configuration(3, {route("/a/", "s")}), 10}, now);
        each->apply({"op/evacuate/gor-a", "{}", 11}, now);
    }
    ahead.apply({"op/config", configuration(5, {}), 20}, now);
    ahead.apply({"op/evacuate/gor-a", std::nullopt, 21}, now);
    CHECK(ahead.revision() > behind.revision());

    auto const told = decode_operator_snapshot(encode({ahead.revision(), ahead.items("op/")})).value();
    behind.replace("op/", told.items, told.revision, now);
    behind.agree(told.revision);
    CHECK_EQUAL(5U, behind.map()->version());
    CHECK(behind.out_of_service().empty());
    CHECK_EQUAL(ahead.revision(), behind.revision());
}

// Guards against two processes that ask each other for ever because they read the store at different times.
TEST(operator_snapshot, the_store_s_other_changes_make_nobody_newer)
{
    auto early = fleet_state{{}};
    auto late = fleet_state{{}};
    auto const items = std::vector<store_item>{{"op/config", configuration(3, {}), 10}};
    early.replace("op/", items, 12, now);
    late.replace("op/", items, 90, now);
    CHECK_EQUAL(early.revision(), late.revision());
}

// Pattern: ninety agents start at once beside a configuration of 1,257 routes. Guards against each reading
// all of it: they need the services only.
TEST(operator_snapshot, agents_get_the_services_without_routes_and_accounts)
{
    auto routes = nlohmann::json::array();
    for (auto i = 0; i < 1'000; ++i)
        routes.push_back(route("/r" + std::to_string(i) + "/", "s"));
    auto const whole = configuration(9, routes);
    auto const small = platform::services_only(whole).value();
    CHECK(small.size() * 20 < whole.size());
    auto const map = platform::decode_configuration(small).value();
    CHECK_EQUAL(9U, map->version());
    CHECK_EQUAL(platform::decode_configuration(whole).value()->services().size(), map->services().size());
    CHECK_FALSE(platform::services_only("[]").has_value());
}

TEST(operator_snapshot, other_texts_are_refused)
{
    CHECK_FALSE(decode_operator_snapshot("{").has_value());
    CHECK_FALSE(decode_operator_snapshot(R"({"revision":1,"items":[["k","*",1]]})").has_value());
}
