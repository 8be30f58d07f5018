#include "hibiscuswall/lifecycle/call_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

namespace hibiscuswall {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// ---- events
struct claim_stored {};
struct attempt_sent {};
struct attempt_not_run {};
struct response_complete {};
struct attempt_response_lost {};

// ---- states, one for each call_phase
struct accepted : msm::front::state<> {};
struct claimed : msm::front::state<> {};
struct sent : msm::front::state<> {};
struct responded : msm::front::state<> {};
struct unknown : msm::front::state<> {};

// Guard: after an unknown outcome, another attempt could run a non-idempotent call twice.
struct is_idempotent {
    template<class Event, class Machine, class Source, class Target>
    auto operator()(Event const& /*event*/, Machine& machine, Source& /*from*/, Target& /*to*/) -> bool
    {
        return machine.idempotent;
    }
};

// Action: from now on the call is no longer reported as "not run", even when a later attempt is rejected.
struct record_possible_run {
    template<class Event, class Machine, class Source, class Target>
    auto operator()(Event const& /*event*/, Machine& machine, Source& /*from*/, Target& /*to*/) -> void
    {
        machine.may_have_run = true;
    }
};

struct call_front : msm::front::state_machine_def<call_front> {
    bool idempotent = false;
    bool may_have_run = false; // the response of an earlier attempt was lost
    bool allowed = true;       // whether the latest event had a transition

    using initial_state = accepted;

    struct transition_table
        : boost::mpl::vector<Row<accepted, claim_stored, claimed, none, none>,
                             Row<accepted, attempt_sent, sent, none, none>,
                             Row<claimed, attempt_sent, sent, none, none>,
                             Row<claimed, attempt_not_run, accepted, none, none>,
                             Row<sent, attempt_not_run, accepted, none, none>,
                             Row<sent, response_complete, responded, none, none>,
                             Row<sent, attempt_response_lost, unknown, none, none>,
                             Row<unknown, response_complete, responded, none, none>,
                             Row<unknown, attempt_not_run, accepted, none, none>,
                             Row<unknown, attempt_sent, sent, record_possible_run, is_idempotent>> {};

    template<class Event, class Machine>
    auto no_transition(Event const& /*event*/, Machine& /*machine*/, int /*phase*/) -> void
    {
        allowed = false;
    }
};

using backend = msm::back::state_machine<call_front>;

template<class State>
auto is_in(backend const& machine) -> bool
{
    return machine.current_state()[0] == msm::back::get_state_id<backend::stt, State>::value;
}

} // namespace

struct call_machine::implementation {
    backend machine;
};

call_machine::call_machine(bool idempotent) : implementation_{std::make_unique<implementation>()}
{
    implementation_->machine.idempotent = idempotent;
    implementation_->machine.start();
}

call_machine::~call_machine() = default;

auto call_machine::process(call_event event) -> bool
{
    auto& machine = implementation_->machine;
    machine.allowed = true;
    auto handled = msm::back::HANDLED_FALSE;
    switch (event) {
    case call_event::claimed:
        handled = machine.process_event(claim_stored{});
        break;
    case call_event::sent:
        handled = machine.process_event(attempt_sent{});
        break;
    case call_event::not_run:
        handled = machine.process_event(attempt_not_run{});
        break;
    case call_event::response_received:
        handled = machine.process_event(response_complete{});
        break;
    case call_event::response_lost:
        handled = machine.process_event(attempt_response_lost{});
        break;
    }
    return machine.allowed && handled == msm::back::HANDLED_TRUE;
}

auto call_machine::phase() const -> call_phase
{
    auto const& machine = implementation_->machine;
    if (is_in<accepted>(machine)) return call_phase::accepted;
    if (is_in<claimed>(machine)) return call_phase::claimed;
    if (is_in<sent>(machine)) return call_phase::sent;
    if (is_in<responded>(machine)) return call_phase::responded;
    return call_phase::unknown;
}

auto call_machine::outcome() const -> ran
{
    switch (phase()) {
    case call_phase::accepted:
    case call_phase::claimed:
        return implementation_->machine.may_have_run ? ran::unknown : ran::no;
    case call_phase::responded:
        return ran::yes;
    case call_phase::sent:
    case call_phase::unknown:
        return ran::unknown;
    }
    return ran::unknown;
}

} // namespace hibiscuswall
