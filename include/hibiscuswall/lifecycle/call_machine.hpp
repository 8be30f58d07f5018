#pragma once
// State machine of one call at an entry (Boost.MSM). It decides what the caller may be told about the call:
// "not run" is reported only when no attempt can have run.
//
//   auto machine = call_machine{idempotent};
//   if (!machine.process(call_event::sent)) reject();     // not allowed in this phase: nothing changes
//   machine.outcome();                                    // ran::no, ran::yes, ran::unknown
//
//   accepted --claimed--> claimed --sent--> sent --response_received--> responded
//   accepted --sent--> sent             (idempotent calls, and calls without an idempotency key)
//   claimed, sent --not_run--> accepted (the agent rejected the attempt, or no byte was sent)
//   sent --response_lost--> unknown
//   unknown --response_received--> responded, --not_run--> accepted   (the agent reports the outcome later)
//   unknown --sent--> sent              (idempotent calls only)

#include "hibiscuswall/core/result_code.hpp"

#include <memory>

namespace hibiscuswall {

enum class call_phase {
    accepted,  // no attempt was sent, or the latest one did not run; see outcome()
    claimed,   // the claim for the idempotency key is stored
    sent,      // bytes may have reached an agent
    responded, // a complete response arrived
    unknown,   // the response of the latest attempt is lost
};

enum class call_event {
    claimed,
    sent,
    not_run,
    response_received,
    response_lost,
};

class call_machine {
public:
    explicit call_machine(bool idempotent);
    ~call_machine();
    call_machine(call_machine const&) = delete;
    auto operator=(call_machine const&) -> call_machine& = delete;

    // False, and no change, when the event is not allowed in this phase.
    auto process(call_event event) -> bool;

    [[nodiscard]] auto phase() const -> call_phase;
    [[nodiscard]] auto outcome() const -> ran;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscuswall
