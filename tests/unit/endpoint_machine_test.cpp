// The endpoint's life: only the transitions of the design exist.
#include "hibiscuswall/lifecycle/endpoint_machine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(endpoint_machine) { endpoint_machine machine; };

TEST(endpoint_machine, warms_up_turns_cold_and_comes_back)
{
    CHECK(machine.state() == endpoint_state::cold);
    CHECK(machine.apply(endpoint_event::serving_started));
    CHECK(machine.state() == endpoint_state::warming);
    CHECK(machine.apply(endpoint_event::warm_up_finished));
    CHECK(machine.state() == endpoint_state::ready);
    CHECK(machine.apply(endpoint_event::became_cold));
    CHECK(machine.state() == endpoint_state::cold);
    CHECK(machine.apply(endpoint_event::drain_started));
    CHECK(machine.state() == endpoint_state::draining);
    CHECK(machine.apply(endpoint_event::serving_started));
    CHECK(machine.state() == endpoint_state::warming);
}

// Guards against a cold endpoint that counts as warm because of an answer from before.
TEST(endpoint_machine, a_cold_endpoint_is_not_warmed)
{
    CHECK_FALSE(machine.apply(endpoint_event::warm_up_finished));
    CHECK(machine.state() == endpoint_state::cold);
}

// Guards against an activation that opens an endpoint again which is about to stop.
TEST(endpoint_machine, nothing_leads_back_from_leaving)
{
    machine.apply(endpoint_event::stop_requested);
    for (auto const event :
         {endpoint_event::serving_started, endpoint_event::warm_up_finished, endpoint_event::became_cold,
          endpoint_event::drain_started, endpoint_event::stop_requested})
        CHECK_FALSE(machine.apply(event));
    CHECK(machine.state() == endpoint_state::leaving);
    CHECK(machine.apply(endpoint_event::requests_finished));
    CHECK(machine.state() == endpoint_state::gone);
}
