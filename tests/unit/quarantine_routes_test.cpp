// What operators see of the quarantine, and the paths by which they name a segment.
#include "hibiscuswall/fleet/quarantine_routes.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(quarantine_routes){
    static auto names(std::string const& path)->std::string{auto const name = segment_name_from(path);
return name ? name->model + " " + name->segment : std::string{"none"};
}
}
;

TEST(quarantine_routes, a_path_names_model_and_segment_percent_encoded)
{
    STRCMP_EQUAL("m s-1", names("/fleet/quarantine/m/s-1").c_str());
    STRCMP_EQUAL("m s/1", names("/fleet/quarantine/m/s%2F1").c_str());
    STRCMP_EQUAL("family/m s-1", names("/fleet/quarantine/family/m/s-1").c_str());
    STRCMP_EQUAL("none", names("/fleet/quarantine/m").c_str());
    STRCMP_EQUAL("none", names("/fleet/quarantine/m/").c_str());
    STRCMP_EQUAL("none", names("/fleet/quarantine//s-1").c_str());
    STRCMP_EQUAL("none", names("/fleet/quarantine").c_str());
}

TEST(quarantine_routes, the_list_states_each_segment_with_its_state)
{
    auto const listed = std::vector<segment_status>{
        {"m", "s-1", segment_state::quarantined, 3, 2, milliseconds{70}, milliseconds{500}},
        {"m", "s\xff", segment_state::suspected, 1, 1, {}, {}}};
    auto const document = nlohmann::json::parse(status_json(listed));
    CHECK_EQUAL(2U, document.size());
    auto const& first = document[0];
    CHECK(first["model"] == "m" && first["segment"] == "s-1" && first["state"] == "quarantined");
    CHECK(first["generation"] == 3 && first["crashes"] == 2);
    CHECK(first["age_ms"] == 70 && first["trial_in_ms"] == 500);
    CHECK(document[1]["state"] == "suspected");
    STRCMP_EQUAL("[]", status_json({}).c_str());
}
