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
struct answer_whole {};
struct answer_lost {};

// ---- states, in the order of call_phase: MSM numbers them as they first appear in the table
struct accepted : msm::front::state<> {};
struct claimed : msm::front::state<> {};
struct sent : msm::front::state<> {};
struct responded : msm::front::state<> {};
struct unknown : msm::front::state<> {};

// A second attempt after an unknown outcome could run a non-idempotent call twice.
struct may_run_twice {
    template<class Event, class Machine, class Source, class Target>
    auto operator()(Event const& /*event*/, Machine& machine, Source& /*from*/, Target& /*to*/) -> bool
    {
        return machine.idempotent;
    }
};

// From here on no refusal of a later attempt makes the whole call "not run".
struct remember_unknown {
    template<class Event, class Machine, class Source, class Target>
    auto operator()(Event const& /*event*/, Machine& machine, Source& /*from*/, Target& /*to*/) -> void
    {
        machine.may_have_run = true;
    }
};

struct definition : msm::front::state_machine_def<definition> {
    bool idempotent = false;
    bool may_have_run = false; // an earlier attempt's answer was lost
    bool allowed = true;       // whether the last event had a transition

    using initial_state = accepted;

    struct transition_table
        : boost::mpl::vector<
              Row<accepted, claim_stored, claimed, none, none>, Row<accepted, attempt_sent, sent, none, none>,
              Row<claimed, attempt_sent, sent, none, none>,
              Row<claimed, attempt_not_run, accepted, none, none>,
              Row<sent, attempt_not_run, accepted, none, none>,
              Row<sent, answer_whole, responded, none, none>, Row<sent, answer_lost, unknown, none, none>,
              Row<unknown, answer_whole, responded, none, none>,
              Row<unknown, attempt_not_run, accepted, none, none>,
              Row<unknown, attempt_sent, sent, remember_unknown, may_run_twice>> {};

    template<class Event, class Machine>
    auto no_transition(Event const& /*event*/, Machine& /*machine*/, int /*phase*/) -> void
    {
        allowed = false;
    }
};

using machine_type = msm::back::state_machine<definition>;

template<class State>
auto is_in(machine_type const& machine) -> bool
{
    return machine.current_state()[0] == msm::back::get_state_id<machine_type::stt, State>::value;
}

} // namespace

struct call_machine::state {
    machine_type machine;
};

call_machine::call_machine(bool idempotent) : state_{std::make_unique<state>()}
{
    state_->machine.idempotent = idempotent;
    state_->machine.start();
}

call_machine::~call_machine() = default;

auto call_machine::process(call_event event) -> bool
{
    auto& machine = state_->machine;
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
        handled = machine.process_event(answer_whole{});
        break;
    case call_event::response_lost:
        handled = machine.process_event(answer_lost{});
        break;
    }
    return machine.allowed && handled == msm::back::HANDLED_TRUE;
}

auto call_machine::phase() const -> call_phase
{
    auto const& machine = state_->machine;
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
        return state_->machine.may_have_run ? ran::unknown : ran::no;
    case call_phase::responded:
        return ran::yes;
    case call_phase::sent:
    case call_phase::unknown:
        return ran::unknown;
    }
    return ran::unknown;
}

} // namespace hibiscuswall
