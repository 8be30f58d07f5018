#pragma once
// Life of one call at an entry (Boost.MSM inside call_machine.cpp). It decides what may be told about a call:
// "not run" only where no attempt can have run.
//
//   auto machine = call_machine{idempotent};
//   if (!machine.process(call_event::sent)) refuse();     // not allowed now: nothing changes
//   machine.outcome();                                    // ran::no, ran::yes, ran::unknown
//
//   accepted --claimed--> claimed --sent--> sent --response_received--> responded
//   accepted --sent--> sent            (idempotent calls, and calls without a key)
//   sent --not_run--> accepted         (a true refusal, or no byte left)
//   sent --response_lost--> unknown
//   unknown --response_received--> responded, --not_run--> accepted   (told by the agent afterwards)
//   unknown --sent--> sent             (idempotent calls only)

#include "hibiscuswall/core/result_code.hpp"

#include <memory>

namespace hibiscuswall {

enum class call_phase {
    accepted,  // nothing sent, or every attempt did not run
    claimed,   // the claim for its idempotency key is stored
    sent,      // bytes may have reached an agent
    responded, // a whole answer arrived
    unknown,   // the last attempt's answer is lost
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

    // False when the event is not allowed in this phase.
    auto process(call_event event) -> bool;

    [[nodiscard]] auto phase() const -> call_phase;
    [[nodiscard]] auto outcome() const -> ran;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace hibiscuswall
