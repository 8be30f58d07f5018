// Tests the parser and validation of operators' resources: every error is rejected with the path of its field
// before anything is stored.
#include "hibiscuswall/config/config_document.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto errors_of(char const* text) -> std::vector<std::string>
{
    auto errors = std::vector<std::string>{};
    static_cast<void>(parse_resource(nlohmann::json::parse(text), "resources[0]", errors));
    return errors;
}

auto declared(char const* text) -> declared_resource
{
    auto errors = std::vector<std::string>{};
    auto parsed = parse_resource(nlohmann::json::parse(text), "", errors);
    CHECK_TRUE_TEXT(parsed.has_value(), text);
    return parsed.value();
}

} // namespace

TEST_GROUP(resource_parser){};

TEST(resource_parser, reads_a_resource_into_its_struct)
{
    auto const item = declared(R"({"kind":"Service","name":"booking","spec":{"type":"plain","cold_limit":2,
        "max_limit":9,"routes":[{"method":"POST","path_prefix":"/book","class":"booking"}]}})");
    auto const& service = std::get<service_resource>(item.value);
    CHECK(service.type == service_type::plain);
    CHECK_EQUAL(9, service.max_limit);
    CHECK(service.routes.at(0).priority == request_class::booking);
    CHECK(!service.routes.at(0).idempotent);
}

// Guards against storing an invalid resource, and against an error message without the path of the field.
TEST(resource_parser, rejects_an_invalid_resource_with_the_path_of_the_field)
{
    struct example {
        char const* text;
        char const* expected_error;
    };
    for (auto const& [text, expected_error] : {
             example{R"([])", "resources[0]: must be an object"},
             example{R"({"kind":"Host","name":"h"})", "resources[0].spec: is required"},
             example{R"({"kind":"Hose","name":"h","spec":{}})", "resources[0].kind: unknown kind \"Hose\""},
             example{R"({"kind":"Host","name":"H h","spec":{"state":"in"}})",
                     "resources[0].name: must be 1 to 63 lower-case letters, digits, '-', '.' or '_'"},
             example{R"({"kind":"Host","name":"h","spec":{}})", "resources[0].spec.state: is required"},
             example{R"({"kind":"Host","name":"h","spec":{"state":"in"},"x":1})",
                     "resources[0].x: unknown field"},
             example{R"({"kind":"Host","name":"h","spec":{"state":"in","sate":"out"}})",
                     "resources[0].spec.sate: unknown field"},
             example{R"({"kind":"FailureDomain","name":"d","spec":{"state":"out"}})",
                     "resources[0].spec.region: is required"},
             example{R"({"kind":"Account","name":"a","spec":{"key":"k","weight":0}})",
                     "resources[0].spec.weight: must be between 0.001000 and 1000000.000000"},
             example{R"({"kind":"Service","name":"s","spec":{"type":"engine","cold_limit":0}})",
                     "resources[0].spec.cold_limit: 0 is below 1"},
             example{R"({"kind":"Service","name":"s","spec":{"type":"engine","cold_limit":5,"max_limit":4}})",
                     "resources[0].spec.cold_limit: is above max_limit"},
             example{R"({"kind":"Service","name":"s","spec":{"type":"plain","routes":[{"path_prefix":"x",
                     "class":"status"}]}})",
                     "resources[0].spec.routes[0].path_prefix: must begin with '/'"},
             example{R"({"kind":"ModelServing","name":"m","spec":{"model":"m","version":"v","service":"s",
                     "failure_domains":[]}})",
                     "resources[0].spec.failure_domains: must name at least one"},
             example{R"({"kind":"Policy","name":"other","spec":{}})",
                     "resources[0].name: the only Policy is named \"default\""},
         }) {
        auto const found = errors_of(text);
        CHECK_TRUE_TEXT(
            std::find(found.begin(), found.end(), expected_error) != found.end(),
            (std::string{expected_error} + " | " + (found.empty() ? "none" : found.front())).c_str());
    }
}

TEST_GROUP(config_document)
{
    config_document base = config_document{}.with(
        {declared(R"({"kind":"FailureDomain","name":"gor-a","spec":{"region":"gorenjska","state":"in"}})"),
         declared(R"({"kind":"Service","name":"drafting","spec":{"type":"engine"}})"),
         declared(R"({"kind":"ModelServing","name":"m","spec":{"model":"snow","version":"v1",
                  "service":"drafting","failure_domains":["gor-a"]}})"),
         declared(R"({"kind":"Policy","name":"default","spec":{"activation_batch":3}})")},
        {}, "first");

    void setup() override { base.revision = 5; }
};

TEST(config_document, is_restored_from_its_root_text)
{
    auto root = parse_root(base.root_text(), 5);
    CHECK(root.has_value());
    CHECK_EQUAL(4U, root.value().missing_objects().size());
    CHECK(root.value().resources == base.resources);
}

TEST(config_document, gives_the_policys_batch_to_servings_that_declare_none)
{
    auto skipped = std::vector<std::string>{};
    CHECK_EQUAL(3, base.view(skipped).servings.at("m").batch);
    CHECK(skipped.empty());
}

// Guards against deleting a resource that another resource references.
TEST(config_document, is_invalid_when_a_reference_has_no_target)
{
    auto const errors = base.with({}, {"Service/drafting", "FailureDomain/gor-a"}, "second").validate();
    CHECK_EQUAL(2U, errors.size());
    STRCMP_EQUAL("ModelServing/m.spec.service: no Service \"drafting\"", errors[0].c_str());
    STRCMP_EQUAL("ModelServing/m.spec.failure_domains[0]: no FailureDomain \"gor-a\"", errors[1].c_str());
}

TEST(config_document, is_invalid_when_two_accounts_share_a_key)
{
    auto const one = declared(R"({"kind":"Account","name":"one","spec":{"key":"k"}})");
    auto const two = declared(R"({"kind":"Account","name":"two","spec":{"key":"k"}})");
    CHECK_EQUAL(1U, base.with({one, two}, {}, "second").validate().size());
}

// Guards against a delta that does not rebuild the sender's document.
TEST(config_document, is_rebuilt_from_a_delta)
{
    auto next = base.with({declared(R"({"kind":"Host","name":"h","spec":{"state":"out"}})")},
                          {"ModelServing/m"}, "second");
    next.revision = 9;
    auto sent = delta_from_json(nlohmann::json::parse(to_json(make_delta(base, next)).dump()));
    CHECK(sent.has_value());
    CHECK_EQUAL(1U, sent.value().objects.size());
    auto rebuilt = apply_delta(base, sent.value());
    CHECK(rebuilt.has_value());
    CHECK(rebuilt.value().resources == next.resources);
    CHECK(rebuilt.value().objects == next.objects);
    CHECK(rebuilt.value().revision_of("first") == 5U);
}

// Guards against an object that was altered in transit.
TEST(config_document, rejects_a_delta_with_an_altered_or_missing_object)
{
    auto delta = make_delta(config_document{}, base);
    auto altered = delta;
    altered.objects.begin()->second += " ";
    CHECK(!apply_delta(config_document{}, altered).has_value());
    delta.objects.erase(delta.objects.begin());
    CHECK(!apply_delta(config_document{}, delta).has_value());
}

// Guards against pushes that contain all 64 write ids, which makes each over 4 KB, and against a receiver
// that loses write ids.
TEST(config_document, delta_contains_only_the_write_ids_that_the_receiver_lacks)
{
    auto document = config_document{};
    auto before = document;
    for (auto i = std::uint64_t{1}; i <= 100; ++i) {
        before = document;
        document = before.with({}, {}, "write-" + std::to_string(i));
        document.revision = i;
    }
    CHECK_EQUAL(64U, document.recent.size());
    auto const delta = make_delta(before, document);
    CHECK_EQUAL(1U, delta.recent.size());
    auto const merged = apply_delta(before, delta);
    CHECK(merged.has_value());
    CHECK_EQUAL(64U, merged.value().recent.size());
    STRCMP_EQUAL(document.root_text().c_str(), merged.value().root_text().c_str());
    auto const complete = apply_delta(config_document{}, make_delta(config_document{}, document));
    STRCMP_EQUAL(document.root_text().c_str(), complete.value().root_text().c_str());
}
