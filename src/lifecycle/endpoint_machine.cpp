#include "hibiscuswall/lifecycle/endpoint_machine.hpp"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace hibiscuswall {
namespace {

namespace msm = boost::msm;
template<class Source, class Event, class Target>
using transition = msm::front::Row<Source, Event, Target, msm::front::none, msm::front::none>;

// ---- events
struct serving_started {};
struct warm_up_finished {};
struct became_cold {};
struct drain_started {};
struct stop_requested {};
struct requests_finished {};

struct endpoint_front : msm::front::state_machine_def<endpoint_front> {
    // ---- states
    struct cold : msm::front::state<> {};
    struct warming : msm::front::state<> {};
    struct ready : msm::front::state<> {};
    struct draining : msm::front::state<> {};
    struct leaving : msm::front::state<> {};
    struct gone : msm::front::state<> {};
    using initial_state = cold;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        transition<cold,     serving_started,     warming>,
        transition<cold,     drain_started,       draining>,
        transition<cold,     stop_requested,      leaving>,
        transition<warming,  serving_started,     warming>,
        transition<warming,  warm_up_finished,    ready>,
        transition<warming,  became_cold,         cold>,
        transition<warming,  drain_started,       draining>,
        transition<warming,  stop_requested,      leaving>,
        transition<ready,    serving_started,     warming>,
        transition<ready,    became_cold,         cold>,
        transition<ready,    drain_started,       draining>,
        transition<ready,    stop_requested,      leaving>,
        transition<draining, serving_started,     warming>,
        transition<draining, became_cold,         cold>,
        transition<draining, stop_requested,      leaving>,
        transition<leaving,  requests_finished,   gone>
    > {};
    // clang-format on

    template<class Machine, class Event>
    auto no_transition(Event const& /*event*/, Machine& /*machine*/, int /*state*/) -> void
    {
    }
};

using backend = msm::back::state_machine<endpoint_front>;

template<class State>
constexpr auto id_of = msm::back::get_state_id<backend::stt, State>::value;

} // namespace

struct endpoint_machine::implementation {
    backend machine;

    template<class Event>
    auto process(Event const& event) -> bool
    {
        return machine.process_event(event) == msm::back::HANDLED_TRUE;
    }
};

endpoint_machine::endpoint_machine() : implementation_{std::make_unique<implementation>()}
{
    implementation_->machine.start();
}

endpoint_machine::~endpoint_machine() = default;

auto endpoint_machine::apply(endpoint_event event) -> bool
{
    switch (event) {
    case endpoint_event::serving_started:
        return implementation_->process(serving_started{});
    case endpoint_event::warm_up_finished:
        return implementation_->process(warm_up_finished{});
    case endpoint_event::became_cold:
        return implementation_->process(became_cold{});
    case endpoint_event::drain_started:
        return implementation_->process(drain_started{});
    case endpoint_event::stop_requested:
        return implementation_->process(stop_requested{});
    case endpoint_event::requests_finished:
        return implementation_->process(requests_finished{});
    }
    return false;
}

auto endpoint_machine::state() const -> endpoint_state
{
    auto const id = implementation_->machine.current_state()[0];
    if (id == id_of<endpoint_front::warming>) return endpoint_state::warming;
    if (id == id_of<endpoint_front::ready>) return endpoint_state::ready;
    if (id == id_of<endpoint_front::draining>) return endpoint_state::draining;
    if (id == id_of<endpoint_front::leaving>) return endpoint_state::leaving;
    if (id == id_of<endpoint_front::gone>) return endpoint_state::gone;
    return endpoint_state::cold;
}

auto endpoint_state_text(endpoint_state state) -> std::string_view
{
    switch (state) {
    case endpoint_state::cold:
        return "cold";
    case endpoint_state::warming:
        return "warming";
    case endpoint_state::ready:
        return "ready";
    case endpoint_state::draining:
        return "draining";
    case endpoint_state::leaving:
        return "leaving";
    case endpoint_state::gone:
        return "gone";
    }
    return "cold";
}

} // namespace hibiscuswall
