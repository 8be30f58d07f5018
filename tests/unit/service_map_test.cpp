// Operator documents: decoded completely or rejected, the routes that they describe, and their exchange
// between peers.
#include "hibiscuswall/core/base64.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/operator_sync.hpp"
#include "platform/endpoint_records.hpp"
#include "platform/engine_calls.hpp"
#include "platform/operator_documents.hpp"
#include "platform/store_revision.hpp"

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

auto decoded_map(std::string const& text) -> service_map_ptr
{
    return platform::decode_configuration(text).value().map;
}

auto const record_text = std::string{
    R"({"service":"s","address":"10.0.0.1:80","zone":"gor-a","version":"v1","slots":16,"state":"ready",)"
    R"("coldRemainingMs":250,"models":[{"name":"m","version":3,"adapters":[]}],)"
    R"("layers":{"from":0,"target":16,"version":3},"sequence":4,"born":1700000000000})"};

} // namespace

TEST_GROUP(service_map){};

TEST(service_map, the_longest_prefix_of_the_host_wins)
{
    auto const map = decoded_map(configuration(1, {route("/a/", "s"), route("/a/b/", "t")}));
    STRCMP_EQUAL("/a/b/", map->route("a.example", "/a/b/c")->prefix.c_str());
    STRCMP_EQUAL("/a/", map->route("A.Example:8080", "/a/bc")->prefix.c_str());
    STRCMP_EQUAL("/a/", map->route("a.example", "/a/")->prefix.c_str());
    POINTERS_EQUAL(nullptr, map->route("a.example", "/a"));
    POINTERS_EQUAL(nullptr, map->route("a.example", "/b/"));
    POINTERS_EQUAL(nullptr, map->route("b.example", "/a/"));
}

TEST(service_map, any_key_of_an_account_identifies_it)
{
    auto const map = decoded_map(configuration(1, {}));
    STRCMP_EQUAL("guild", map->account_of_key("k2")->name.c_str());
    POINTERS_EQUAL(nullptr, map->account_of_key(""));
    POINTERS_EQUAL(nullptr, map->account_of_key("k"));
}

// Guards against retries of calls whose route has an unknown kind.
TEST(service_map, a_route_of_unknown_kind_may_run_at_most_once)
{
    auto strange = route("/a/", "s");
    strange["kind"] = "something-new";
    auto const map = decoded_map(configuration(1, {strange}));
    CHECK_FALSE(map->routes().front().is_retryable());
}

TEST(service_map, services_of_a_split_route_keep_their_weights)
{
    auto split = route("/a/", "s");
    split.erase("service");
    split["trafficSplit"] = {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}};
    auto const map = decoded_map(configuration(1, {split}));
    CHECK_EQUAL(2U, map->routes().front().services.size());
    DOUBLES_EQUAL(10, map->routes().front().services[1].weight, 0.001);
}

// ---- documents with fields that cannot be read

// The store has accepted these documents, and operators count on them. Guards against a change that is not in
// force because of a field that has nothing to do with it, against calls to a missing route (status 404), and
// against a route that is handled less strictly than the document may mean.
TEST_GROUP(unread_configuration)
{
    json complete = complete_document();

    static auto complete_document()->json
    {
        auto split = route("/split/", "s");
        split["trafficSplit"] = {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}};
        split.update({{"resumable", true},
                      {"public", true},
                      {"priority", 1},
                      {"sticky", true},
                      {"targetGapMs", 300},
                      {"allowedRegions", {"north"}}});
        auto document = json::parse(configuration(7, {route("/a/", "s"), split}));
        document["services"][0]["engine"] = {{"slots", 16},
                                             {"layers", 16},
                                             {"chunks", 64},
                                             {"chunkBytes", 32768},
                                             {"layer_mb", 4540.0},
                                             {"sizeMb", 282000.0},
                                             {"stride", 6},
                                             {"chunk", 2048},
                                             {"step_ms", 6.73},
                                             {"per_seq_ms", 0.02},
                                             {"context_per_k", 0.007},
                                             {"read_per_s", 30600.0},
                                             {"usual", {{"prompt", 964}, {"answer", 119}}},
                                             {"models", {{{"name", "m"}, {"warmupS", 0.3}}}}};
        document["services"].push_back({{"name", "w"}, {"origin", "10.0.0.9:80"}, {"zone", "north-a"}});
        document["tenants"].push_back({{"name", "odd"}, {"apiKeys", {"k3"}}, {"allowedRegions", {"north"}}});
        document["limits"] = {{"maxHeaderBytes", 16384},
                              {"maxBodyBytes", 4194304},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}};
        return document;
    }
    // Pointers to each value inside the first of these containers, themselves included.
    static auto paths_below(json const& document, json::json_pointer const& top)
        ->std::vector<json::json_pointer>
    {
        auto found = std::vector<json::json_pointer>{top};
        auto const& value = document.at(top);
        if (!value.is_structured()) return found;
        for (auto const& [key, child] : value.items())
            for (auto const& below :
                 paths_below(document, value.is_array() ? top / std::stoul(key) : top / key))
                found.push_back(below);
        return found;
    }
    // The document without the value at the path, and with each odd value in its place.
    auto variants_of(json::json_pointer const& path) const->std::vector<json>
    {
        auto const removal = json{{"op", "remove"}, {"path", path.to_string()}};
        auto variants = std::vector<json>{complete.patch(json::array({removal}))};
        for (auto& value : odd_values())
            variants.emplace_back(complete).at(path) = std::move(value);
        return variants;
    }
    static auto odd_values()->std::vector<json>
    {
        return {nullptr,
                true,
                -1,
                0,
                2.5,
                1e300,
                -1e300,
                4294967297.0,
                "",
                "two",
                json::array(),
                json::array({nullptr}),
                json::object(),
                json::array({"x", 1})};
    }
    static auto loaded(json const& document)->service_map_ptr
    {
        auto const decoded = platform::decode_configuration(document.dump());
        CHECK_TEXT(decoded.has_value(), document.dump().c_str());
        return decoded.value().map;
    }
};

TEST(unread_configuration, a_complete_document_has_no_unread_field)
{
    auto const decoded = platform::decode_configuration(complete.dump()).value();
    UNSIGNED_LONGS_EQUAL(0, decoded.unread.count);
    auto const& split = *decoded.map->route("a.example", "/split/x");
    CHECK(split.resumable && !split.requires_key && split.regions == std::vector<std::string>{"north"});
}

TEST(unread_configuration, a_field_concerns_what_it_describes_and_nothing_else)
{
    for (auto const* part : {"/routes/1", "/services/0", "/services/1", "/tenants/1", "/limits"})
        for (auto const& path : paths_below(complete, json::json_pointer{part}))
            for (auto const& document : variants_of(path)) {
                auto const map = loaded(document);
                auto const* other = map->route("a.example", "/a/x");
                CHECK_TEXT(other != nullptr && other->max_attempts == 2, document.dump().c_str());
                CHECK(other->timeout == milliseconds{500} && other->services.front().name == "s");
                CHECK(map->account_of_key("k1") != nullptr && map->account_of_key("k1")->priority == 3);
            }
}

TEST(unread_configuration, a_route_with_a_host_and_a_prefix_is_there)
{
    for (auto const& path : paths_below(complete, "/routes/1"_json_pointer)) {
        auto const text = path.to_string();
        if (text == "/routes/1" || text == "/routes/1/host" || text == "/routes/1/prefix") continue;
        for (auto const& document : variants_of(path)) {
            auto const map = loaded(document);
            auto const* found = map->route("a.example", "/split/x");
            CHECK_TEXT(found != nullptr, document.dump().c_str());
            CHECK(found->max_attempts >= 0 && found->max_attempts <= 1'000'000'000);
            CHECK(found->timeout >= milliseconds{0} && found->timeout <= max_duration);
        }
    }
}

// Guards against a call that is repeated, taken without a key, or sent to a region that is not allowed.
TEST(unread_configuration, a_route_is_handled_no_less_strictly)
{
    auto const route_with = [&](char const* name, json const& value) {
        auto document = complete;
        document["routes"][1][name] = value;
        return *loaded(document)->route("a.example", "/split/x");
    };
    complete["routes"][1]["kind"] = "streaming";
    for (auto const& value : odd_values()) {
        CHECK(route_with("kind", value).kind == call_kind::non_idempotent);
        CHECK_EQUAL(value == true, route_with("resumable", value).is_retryable());
        CHECK_EQUAL(value != true, route_with("public", value).requires_key);
        auto const means_all = value.is_null() || value == json::array();
        CHECK_EQUAL(means_all, route_with("allowedRegions", value).regions.empty());
    }
}

TEST(unread_configuration, accounts_that_cannot_be_read_still_need_a_key)
{
    for (auto const& value : odd_values()) {
        auto const means_none = value.is_null() || value == json::array();
        complete["tenants"] = value;
        auto const map = loaded(complete);
        CHECK_EQUAL(!means_none, map->has_accounts());
        POINTERS_EQUAL(nullptr, map->account_of_key("k1"));
    }
}

// Guards against a configuration that means something else on each kind of machine, since a number in it is
// beyond what its field can hold.
TEST(unread_configuration, a_number_out_of_range_has_the_nearest_bound)
{
    complete["routes"][1]["maxAttempts"] = 1e300;
    complete["routes"][1]["timeoutMs"] = 1e300;
    complete["services"][0]["coldStartS"] = -1e300;
    complete["services"][0]["maxConnections"] = 4294967297.0;
    complete["services"][0]["engine"]["models"][0]["warmupS"] = 1e9;
    complete["tenants"][0]["priority"] = -1e300;
    complete["limits"]["maxBodyBytes"] = 1e300;
    auto const decoded = platform::decode_configuration(complete.dump()).value();
    UNSIGNED_LONGS_EQUAL(7, decoded.unread.count);
    auto const& split = *decoded.map->route("a.example", "/split/x");
    LONGS_EQUAL(1'000'000'000, split.max_attempts);
    CHECK(split.timeout == max_duration);
    auto const& service = *decoded.map->service("s");
    LONGS_EQUAL(0, service.cold_duration.count());
    LONGS_EQUAL(1'000'000'000, service.max_connections);
    CHECK(service.engine->load_duration == max_duration);
    LONGS_EQUAL(-1'000'000'000, *decoded.map->account_of_key("k1")->priority);
    UNSIGNED_LONGS_EQUAL(1U << 30U, decoded.map->limits().body_bytes);
}

// Guards against a partially built map: calls to a missing route would get status 404.
TEST(unread_configuration, a_document_without_a_version_or_a_list_of_routes_is_rejected)
{
    for (auto const& value : odd_values()) {
        auto document = complete;
        document["version"] = value;
        CHECK_EQUAL(value == 0 || value == 4294967297.0,
                    platform::decode_configuration(document.dump()).has_value());
        document = complete;
        document["routes"] = value;
        auto const is_list = value.is_null() || value.is_structured();
        CHECK_EQUAL(is_list, platform::decode_configuration(document.dump()).has_value());
    }
    CHECK_FALSE(platform::decode_configuration("{").has_value());
    CHECK_FALSE(platform::decode_configuration("[]").has_value());
}

// ---- endpoints

TEST_GROUP(endpoint_records){};

TEST(endpoint_records, a_record_describes_an_endpoint)
{
    auto const record = platform::decode_endpoint("servers/i-1", record_text).value();
    STRCMP_EQUAL("i-1", record.id.c_str());
    STRCMP_EQUAL("10.0.0.1:80", record.where.text().c_str());
    CHECK_EQUAL(16, record.slots);
    CHECK_EQUAL(250, record.cold_remaining.count());
    CHECK_EQUAL(16, record.weights->end_layer);
    CHECK_EQUAL(3U, record.weights->version);
    CHECK_FALSE(record.draining);
}

// Guards against a record of another writer that is used as an endpoint.
TEST(endpoint_records, a_record_with_a_missing_or_invalid_field_is_rejected)
{
    for (auto const* field : {"service", "address", "zone", "slots", "state"}) {
        auto missing = json::parse(record_text);
        missing.erase(field);
        CHECK_FALSE(platform::decode_endpoint("servers/i-1", missing.dump()).has_value());
        auto wrong = json::parse(record_text);
        wrong[field] = json::array();
        CHECK_FALSE(platform::decode_endpoint("servers/i-1", wrong.dump()).has_value());
    }
    auto strange = json::parse(record_text);
    strange["state"] = "resting";
    CHECK_FALSE(platform::decode_endpoint("servers/i-1", strange.dump()).has_value());
    CHECK_FALSE(platform::decode_endpoint("servers/i-1", "\xff\xfe").has_value());
}

// Another writer may leave anything among the records. Guards against numbers that are cut to fit, times that
// overflow, and a process that ends because of one record.
TEST(endpoint_records, a_record_with_a_number_out_of_range_names_no_endpoint)
{
    auto const refuses = [](char const* field, char const* value) {
        auto record = json::parse(record_text);
        record[field] = "@";
        auto text = record.dump();
        text.replace(text.find("\"@\""), 3, value);
        return !platform::decode_endpoint("servers/i-1", text).has_value();
    };
    for (auto const* value : {"0", "-1", "4294967297", "1e12", "1e300", "18446744073709551616", "1.5",
                              "1e999", "true", "\"16\"", "null"})
        CHECK(refuses("slots", value));
    for (auto const* value : {"-1", "1e300", "1e12", "\"5\""})
        CHECK(refuses("coldRemainingMs", value));
    for (auto const* value : {"\"1700000000000\"", "-5", "1e300", "1.25", "18446744073709551615"})
        CHECK(refuses("born", value));
    for (auto const* value : {"\"10.0.0.1:0\"", "\"10.0.0.1:70000\"", "\"10.0.0.1:-1\"", "\"host:80\"",
                              "\"10.0.0.1\"", "\"10.0.0.1:99999999999999999999\""})
        CHECK(refuses("address", value));
    CHECK_FALSE(refuses("slots", "16.0"));
    CHECK_FALSE(refuses("coldRemainingMs", "250.75"));
}

TEST(endpoint_records, a_deeply_nested_or_huge_record_is_rejected_with_a_short_reason)
{
    auto nested = std::string(100'000, '[') + std::string(100'000, ']');
    auto const deep = "{\"service\":" + nested + "}";
    auto const refused = platform::decode_endpoint("servers/i-1", deep);
    CHECK_FALSE(refused.has_value());
    CHECK(refused.error().message.size() < 300);
    CHECK_FALSE(platform::decode_configuration(deep).has_value());
    CHECK_FALSE(platform::services_only(deep).has_value());
    CHECK_FALSE(platform::decode_report(deep).has_value());
    CHECK_FALSE(platform::decode_manifest(deep).has_value());
    CHECK_FALSE(platform::decode_weights_version(deep).has_value());
    auto const huge = "{\"service\":\"" + std::string(1'000'000, 'x') + "\xff\"}";
    CHECK(platform::decode_endpoint("servers/i-1", huge).error().message.size() < 300);
}

// A response without a length that is cut looks complete to the HTTP client, so the decoders must notice.
TEST(endpoint_records, every_proper_prefix_of_a_report_a_manifest_and_a_list_is_rejected)
{
    auto const report = std::string{R"({"busy":false,"sequence":2,"queued":1,"running":12,"kvUsed":41000,)"
                                    R"("kvTotal":90000,"models":[{"name":"m","version":1}]})"};
    auto const listed = std::string{R"({"held":[0,1,12]})"};
    auto const manifest =
        R"({"model":"m","version":2,"chunkBytes":8,"digests":[")" + std::string(64, 'a') + R"("]})";
    CHECK(platform::decode_report(report).has_value());
    CHECK(platform::decode_staged_list(listed, 64).has_value());
    CHECK(platform::decode_manifest(manifest).has_value());
    for (auto size = std::size_t{0}; size < report.size(); ++size)
        CHECK_FALSE(platform::decode_report(report.substr(0, size)).has_value());
    for (auto size = std::size_t{0}; size < listed.size(); ++size)
        CHECK_FALSE(platform::decode_staged_list(listed.substr(0, size), 64).has_value());
    for (auto size = std::size_t{0}; size < manifest.size(); ++size)
        CHECK_FALSE(platform::decode_manifest(manifest.substr(0, size)).has_value());
}

TEST(endpoint_records, changed_bytes_do_not_crash_the_decoders)
{
    auto random = random_source{5};
    for (auto round = 0; round < 3'000; ++round) {
        auto text = round % 2 == 0 ? record_text : configuration(1, {route("/a/", "s")});
        for (auto changes = random.below(5) + 1; changes > 0; --changes)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        std::ignore = platform::decode_endpoint("servers/i-1", text);
        std::ignore = platform::decode_configuration(text);
        std::ignore = platform::decode_report(text);
        std::ignore = platform::decode_manifest(text);
        std::ignore = platform::decode_staged_list(text, 64);
    }
}

TEST(endpoint_records, base64_is_decoded_or_rejected)
{
    for (auto const* text : {"", "a", "ab", "abc", "abcd"})
        STRCMP_EQUAL(text, decode_base64(encode_base64(text))->c_str());
    CHECK_FALSE(decode_base64("abc").has_value());
    CHECK_FALSE(decode_base64("ab*=").has_value());
}

// ---- declared state of a process

TEST_GROUP(declared_state)
{
    declared_state declared{{}};
    time_point now{seconds{1'000}};

    auto set(std::string key, std::string value, std::uint64_t revision)->void
    {
        declared.apply({std::move(key), std::move(value), revision}, now);
    }
};

// Guards against a process that returns to an older configuration when responses arrive out of order.
TEST(declared_state, never_returns_to_an_older_configuration)
{
    set("op/config", configuration(7, {route("/a/", "s")}), 20);
    set("op/config", configuration(4, {}), 10);
    CHECK_EQUAL(7U, declared.map()->version());
    declared.replace("op/", {{"op/config", configuration(4, {}), 10}}, 15, now);
    CHECK_EQUAL(7U, declared.map()->version());
    declared.apply({"op/config", std::nullopt, 30}, now); // the configuration accepted last stays in use
    CHECK_EQUAL(7U, declared.map()->version());
}

TEST(declared_state, an_invalid_configuration_leaves_the_previous_one_in_use)
{
    set("op/config", configuration(7, {}), 20);
    set("op/config", "{", 21);
    CHECK_EQUAL(7U, declared.map()->version());
}

TEST(declared_state, a_failure_domain_is_out_of_service_while_its_key_exists)
{
    set("op/evacuate/gor-a", "{}", 5);
    CHECK(declared.out_of_service().contains("gor-a"));
    declared.apply({"op/evacuate/gor-a", std::nullopt, 4}, now); // an older deletion
    CHECK(declared.out_of_service().contains("gor-a"));
    declared.apply({"op/evacuate/gor-a", std::nullopt, 6}, now);
    CHECK(declared.out_of_service().empty());
    set("op/evacuate/gor-a", "{}", 5); // the same evacuation, received late from a peer
    CHECK(declared.out_of_service().empty());
}

// A store that was restored names what it had before, under revisions of its new era. Guards against a route
// that is no longer served, and against a later configuration that is ignored.
TEST(declared_state, a_restored_store_brings_no_older_configuration_back)
{
    constexpr auto era = store_revision{1, 0}.ordered();
    set("op/config", configuration(7, {}), 20);
    declared.replace("op/", {{"op/config", configuration(4, {}), era + 10}}, era + 10, now, now,
                     absent_keys::kept);
    CHECK_EQUAL(7U, declared.map()->version());
    CHECK_EQUAL(20U, declared.items("op/config").front().revision); // peers are told of version 7
    set("op/config", configuration(8, {}), era + 11);
    CHECK_EQUAL(8U, declared.map()->version());
}

// Guards against an evacuated failure domain that gets calls because the store lost the operator's word.
TEST(declared_state, an_evacuation_that_the_store_lost_stays_until_its_absence_is_certain)
{
    constexpr auto era = store_revision{1, 0}.ordered();
    set("op/evacuate/gor-a", "{}", 5);
    declared.replace("op/", {{"op/config", configuration(4, {}), era + 3}}, era + 9, now, now,
                     absent_keys::kept);
    CHECK(declared.out_of_service().contains("gor-a"));
    declared.replace("op/", {{"op/config", configuration(4, {}), era + 3}}, era + 9, now);
    CHECK(declared.out_of_service().empty());
}

TEST(declared_state, min_version_rises_shortly_before_the_grace_period_of_the_old_version_ends)
{
    set("op/config", configuration(1, {}), 1);
    set("op/version/m", R"({"model":"m","version":2})", 2);
    CHECK_EQUAL(2U, declared.newest_version("m"));
    CHECK_EQUAL(0U, declared.min_version("m", now + milliseconds{7'000}));
    // A request that was sent 7.4 s after the declaration waited 770 ms in a full engine and began too late.
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{7'100}));
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{7'500}));
    CHECK_EQUAL(1U, declared.newest_version("other"));
}

// Guards against calls on an old version because so many versions were declared since that the one which
// excluded it was forgotten.
TEST(declared_state, an_excluded_version_stays_excluded_however_many_are_declared_at_once)
{
    auto const declare = [&](int version, time_point at) {
        auto const value = R"({"model":"m","version":)" + std::to_string(version) + "}";
        declared.apply({"op/version/m", value, static_cast<std::uint64_t>(version)}, at);
    };
    declare(2, now);
    declare(3, now + milliseconds{7'000});
    for (auto i = 0; i < 12; ++i)
        declare(4 + i, now + milliseconds{7'200 + 100 * i});
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{8'400}));
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{14'000}));
    CHECK_EQUAL(3U, declared.min_version("m", now + milliseconds{14'100}));
    CHECK_EQUAL(15U, declared.min_version("m", now + milliseconds{15'400}));

    // A version every 10 ms: none is allowed for longer than its time, none excluded much earlier, and
    // the memory that they take is bounded.
    auto const first = now + seconds{20};
    auto const at = [&](int i) { return first + milliseconds{10 * i}; };
    for (auto i = 0; i < 2'000; ++i) {
        declare(100 + i, at(i));
        auto const due = std::max(15, 100 + i - 705);
        auto const oldest = static_cast<int>(declared.min_version("m", at(i)));
        CHECK(oldest >= (i < 705 ? 15 : due));
        CHECK(oldest <= (i < 705 - 20 ? 15 : due + 20));
    }
    CHECK(declared.declared_versions("m").size() <= 64);
}

// Guards against a restarted process that starts the grace period of a declaration again.
TEST(declared_state, declarations_found_at_start_have_no_grace_period)
{
    declared.replace("op/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 9, now);
    CHECK_EQUAL(2U, declared.min_version("m", now));
}

// Two entries restart while the store is unavailable, and one asks the other, which has no state yet. Guards
// against taking the empty response for the content of the store, and then an old declaration for a new one.
TEST(declared_state, an_empty_response_at_revision_zero_does_not_start_a_grace_period)
{
    declared.replace("op/", {}, 0, now);
    declared.replace("op/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 9, now);
    CHECK_EQUAL(2U, declared.min_version("m", now));
}

// A declaration is received seconds after it was made, since this process stood still or its call to the
// store got no response. Guards against a grace period that begins with the receipt.
TEST(declared_state, a_declaration_received_late_has_what_remains_of_the_grace_period)
{
    auto const declared_at = now - milliseconds{5'000};
    declared.replace("op/", {}, 1, now);
    declared.apply({"op/version/m", R"({"model":"m","version":2})", 9}, now, declared_at);
    CHECK_EQUAL(0U, declared.min_version("m", declared_at + milliseconds{7'000}));
    CHECK_EQUAL(2U, declared.min_version("m", declared_at + milliseconds{7'100}));
    declared.replace("op/", {{"op/version/m", R"({"model":"m","version":3})", 12}}, 12, now + seconds{20},
                     now + seconds{14});
    CHECK_EQUAL(3U, declared.min_version("m", now + milliseconds{21'100}));
}

// Guards against an old version that is allowed too long by a process that received its successor late, when
// others have known it for longer.
TEST(declared_state, the_grace_period_begins_when_any_process_knew_the_declaration)
{
    declared.replace("op/", {}, 1, now);
    declared.apply({"op/version/m", R"({"model":"m","version":2})", 9}, now);
    declared.on_peer_knows({9, milliseconds{3'000}}, now);
    declared.on_peer_knows({9, milliseconds{1'000}}, now); // a peer that received it later
    declared.on_peer_knows({8, milliseconds{6'000}}, now); // of an older declaration
    CHECK_EQUAL(0U, declared.min_version("m", now + milliseconds{4'000}));
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{4'100}));
    CHECK_EQUAL(9U, declared.newest_weights(now).revision);
    CHECK_EQUAL(3'000, declared.newest_weights(now).age.count());
}

// The datagram comes before the declaration itself. Guards against an age that is forgotten meanwhile.
TEST(declared_state, an_age_that_a_peer_told_counts_for_a_declaration_received_later)
{
    declared.replace("op/", {}, 1, now);
    declared.on_peer_knows({9, milliseconds{3'000}}, now);
    declared.apply({"op/version/m", R"({"model":"m","version":2})", 9}, now + milliseconds{500});
    CHECK_EQUAL(0U, declared.min_version("m", now + milliseconds{4'000}));
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{4'100}));
}

// A declaration that was received after a pause comes again, from a peer and from another watch. Guards
// against a grace period that begins with the receipt after all.
TEST(declared_state, a_known_declaration_does_not_become_younger_when_it_comes_again)
{
    auto const item = store_item{"op/version/m", R"({"model":"m","version":2})", 9};
    declared.replace("op/", {}, 1, now);
    declared.apply({item.key, item.value, item.revision}, now, now - milliseconds{4'000});
    declared.replace("op/version/", {item}, 9, now + seconds{1});
    declared.apply_alone({item.key, item.value, item.revision}, now + seconds{2}, now + seconds{2});
    CHECK_EQUAL(0U, declared.min_version("m", now + milliseconds{3'000}));
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{3'100}));
}

// Guards against a newest version that is taken for as old as one before it, of which this process knows only
// that it exists: the version between them would be excluded too early.
TEST(declared_state, a_skipped_version_excludes_only_the_versions_before_it)
{
    auto const item = store_item{"op/version/m", R"({"model":"m","version":3})", 9};
    declared.replace("op/", {}, 1, now);
    declared.note_skipped_versions(item, now, now - milliseconds{7'100});
    declared.replace("op/", {item}, 9, now);
    CHECK_EQUAL(2U, declared.min_version("m", now));
    CHECK_EQUAL(2U, declared.min_version("m", now + milliseconds{7'000}));
    CHECK_EQUAL(3U, declared.min_version("m", now + milliseconds{7'100}));
}

// Guards against one process that has just started, and takes what it found for old, making all others
// exclude the old version at once.
TEST(declared_state, peers_are_told_the_time_of_the_receipt_not_a_supposed_one)
{
    declared.replace("op/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 9, now);
    CHECK_EQUAL(2U, declared.min_version("m", now));
    CHECK_EQUAL(0, declared.newest_weights(now).age.count());
}

// A declaration comes on a shorter way than the other keys. Guards against a process that takes itself for up
// to date with the configuration then, and asks no peer for it.
TEST(declared_state, a_declaration_received_alone_does_not_make_the_rest_known)
{
    declared.replace("op/", {{"op/config", configuration(3, {}), 10}}, 10, now);
    declared.apply_alone({"op/version/m", R"({"model":"m","version":2})", 12}, now, now);
    declared.replace("op/version/", {{"op/version/m", R"({"model":"m","version":3})", 13}}, 13, now, now);
    CHECK_EQUAL(3U, declared.newest_version("m"));
    CHECK_EQUAL(10U, declared.revision());
    CHECK_EQUAL(13U, declared.weights_revision());
    CHECK_EQUAL(0U, declared.min_version("m", now)); // the keys were read before, among all of them
    declared.apply({"op/config", configuration(4, {}), 11}, now);
    CHECK_EQUAL(11U, declared.revision());
}

// An agent watches only the weights declarations and reads the configuration once. Guards against a range of
// the operators' keys that is taken for all of them.
TEST(declared_state, replacing_one_key_range_leaves_the_others_unchanged)
{
    declared.replace("op/config", {{"op/config", configuration(3, {}), 20}}, 40, now);
    declared.replace("op/version/", {{"op/version/m", R"({"model":"m","version":2})", 9}}, 41, now);
    declared.replace("op/config", {{"op/config", configuration(4, {}), 50}}, 55, now);
    CHECK_EQUAL(4U, declared.map()->version());
    CHECK_EQUAL(2U, declared.newest_version("m"));
    CHECK_EQUAL(2U, declared.min_version("m", now)); // found at start, although not in the first range
    CHECK_EQUAL(9U, declared.weights_revision());
    CHECK_EQUAL(1U, declared.items("op/version/").size());
    CHECK_EQUAL(2U, declared.items("op/").size());
}

// ---- between peers

TEST_GROUP(operator_snapshot) { time_point now{seconds{1'000}}; };

// The store rejects this process for nine seconds while operators change the configuration, revoke a key, and
// take a failure domain out of service and back.
TEST(operator_snapshot, a_process_without_the_store_gets_all_changes_from_a_peer)
{
    auto behind = declared_state{{}};
    auto ahead = declared_state{{}};
    for (auto* each : {&behind, &ahead}) {
        each->apply({"op/config", configuration(3, {route("/a/", "s")}), 10}, now);
        each->apply({"op/evacuate/gor-a", "{}", 11}, now);
    }
    ahead.apply({"op/config", configuration(5, {}), 20}, now);
    ahead.apply({"op/evacuate/gor-a", std::nullopt, 21}, now);
    CHECK(ahead.revision() > behind.revision());

    auto const snapshot = decode_operator_snapshot(encode({ahead.revision(), ahead.items("op/")})).value();
    behind.replace("op/", snapshot.items, snapshot.revision, now);
    behind.agree(snapshot.revision);
    CHECK_EQUAL(5U, behind.map()->version());
    CHECK(behind.out_of_service().empty());
    CHECK_EQUAL(ahead.revision(), behind.revision());
}

// Guards against a process that learns of a declaration from a peer and begins its grace period again.
TEST(operator_snapshot, a_weights_declaration_comes_with_its_age)
{
    auto ahead = declared_state{{}};
    auto behind = declared_state{{}};
    behind.replace("op/", {}, 1, now);
    ahead.replace("op/", {}, 1, now);
    ahead.apply({"op/version/m", R"({"model":"m","version":2})", 9}, now);
    auto const later = now + milliseconds{3'000};
    auto const sent = operator_snapshot{ahead.revision(), ahead.items("op/"), ahead.ages("op/", later)};
    auto const snapshot = decode_operator_snapshot(encode(sent)).value();
    CHECK_EQUAL(3'000, snapshot.ages.at("op/version/m").count());

    behind.replace("op/", snapshot.items, snapshot.revision, later);
    behind.correct_declaration("op/version/m", 8, later - seconds{9}); // of an older declaration
    CHECK_EQUAL(0U, behind.min_version("m", now + milliseconds{7'100}));
    behind.correct_declaration("op/version/m", 9, later - snapshot.ages.at("op/version/m"));
    CHECK_EQUAL(2U, behind.min_version("m", now + milliseconds{7'100}));
    behind.correct_declaration("op/version/m", 9, later); // a later time tells nothing new
    CHECK_EQUAL(2U, behind.min_version("m", now + milliseconds{7'100}));
}

// Guards against two processes that keep requesting snapshots from each other because they read the store at
// different revisions.
TEST(operator_snapshot, store_changes_outside_the_operator_keys_do_not_raise_the_operator_revision)
{
    auto early = declared_state{{}};
    auto late = declared_state{{}};
    auto const items = std::vector<store_item>{{"op/config", configuration(3, {}), 10}};
    early.replace("op/", items, 12, now);
    late.replace("op/", items, 90, now);
    CHECK_EQUAL(early.revision(), late.revision());
}

// Ninety agents start at once with a configuration of 1,257 routes. Guards against each agent reading all of
// it, since agents need only the services.
TEST(operator_snapshot, agents_get_services_without_routes_and_accounts)
{
    auto routes = nlohmann::json::array();
    for (auto i = 0; i < 1'000; ++i)
        routes.push_back(route("/r" + std::to_string(i) + "/", "s"));
    auto const complete = configuration(9, routes);
    auto const reduced = platform::services_only(complete).value();
    CHECK(reduced.size() * 20 < complete.size());
    auto const map = decoded_map(reduced);
    CHECK_EQUAL(9U, map->version());
    CHECK_EQUAL(decoded_map(complete)->services().size(), map->services().size());
    CHECK_FALSE(platform::services_only("[]").has_value());
}

TEST(operator_snapshot, malformed_snapshots_are_rejected)
{
    CHECK_FALSE(decode_operator_snapshot("{").has_value());
    CHECK_FALSE(decode_operator_snapshot(R"({"revision":1,"items":[["k","*",1]]})").has_value());
}
