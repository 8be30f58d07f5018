// State machine of an endpoint: only the documented transitions exist.
#include "hibiscuswall/lifecycle/endpoint_machine.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

TEST_GROUP(endpoint_machine) { endpoint_machine machine; };

TEST(endpoint_machine, warms_up_again_after_becoming_cold_and_draining)
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

// Guards against a cold endpoint that becomes ready because of a response from before it became cold.
TEST(endpoint_machine, rejects_warm_up_finished_while_cold)
{
    CHECK_FALSE(machine.apply(endpoint_event::warm_up_finished));
    CHECK(machine.state() == endpoint_state::cold);
}

// Guards against an activation that reopens an endpoint that is about to stop.
TEST(endpoint_machine, stays_leaving_until_requests_finished)
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
