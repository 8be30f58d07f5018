#include "hibiscuswall/lifecycle/version_machine.hpp"

// Raises the limit of Boost.MPL lists and vectors from 20 to 30 elements.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace hibiscuswall {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct transfer_begun {};
struct transfer_verified {};
struct load_begun {};
struct load_deferred {};
struct load_confirmed {};
struct weights_lost {};
struct given_up {};
struct retried {};

struct version_front : front::state_machine_def<version_front> {
    struct declared : front::state<> {};
    struct transferring : front::state<> {};
    struct verified : front::state<> {};
    struct loading : front::state<> {};
    struct active : front::state<> {};
    struct failed : front::state<> {};
    using initial_state = declared;

    template<class Source, class Event, class Target>
    using transition = front::Row<Source, Event, Target, front::none, front::none>;

    struct transition_table
        : boost::mpl::vector<
              transition<declared, transfer_begun, transferring>, transition<declared, given_up, failed>,
              transition<transferring, transfer_verified, verified>,
              transition<transferring, given_up, failed>, transition<verified, load_begun, loading>,
              transition<verified, load_confirmed, active>, transition<verified, given_up, failed>,
              transition<loading, load_deferred, verified>, transition<loading, load_confirmed, active>,
              transition<loading, given_up, failed>, transition<active, weights_lost, verified>,
              transition<failed, retried, declared>> {};

    bool rejected = false;

    template<class Machine, class Event>
    void no_transition(Event const& /*event*/, Machine& /*machine*/, int /*state*/)
    {
        rejected = true;
    }
};

// MSM numbers the states in the order in which they first appear as sources in the transition table.
constexpr auto states =
    std::array{version_state::declared, version_state::transferring, version_state::verified,
               version_state::loading,  version_state::active,       version_state::failed};

} // namespace

struct version_machine::implementation {
    msm::back::state_machine<version_front> machine;

    template<class Event>
    auto process(Event const& event) -> bool
    {
        machine.rejected = false;
        machine.process_event(event);
        return !machine.rejected;
    }
};

version_machine::version_machine() : implementation_{std::make_unique<implementation>()}
{
    implementation_->machine.start();
}

version_machine::~version_machine() = default;
version_machine::version_machine(version_machine&&) noexcept = default;
auto version_machine::operator=(version_machine&&) noexcept -> version_machine& = default;

auto version_machine::on(version_event event) -> bool
{
    switch (event) {
    case version_event::transfer_begun:
        return implementation_->process(transfer_begun{});
    case version_event::transfer_verified:
        return implementation_->process(transfer_verified{});
    case version_event::load_begun:
        return implementation_->process(load_begun{});
    case version_event::load_deferred:
        return implementation_->process(load_deferred{});
    case version_event::load_confirmed:
        return implementation_->process(load_confirmed{});
    case version_event::weights_lost:
        return implementation_->process(weights_lost{});
    case version_event::given_up:
        return implementation_->process(given_up{});
    case version_event::retried:
        return implementation_->process(retried{});
    }
    return false;
}

auto version_machine::state() const -> version_state
{
    return states.at(static_cast<std::size_t>(*implementation_->machine.current_state()));
}

auto version_state_text(version_state state) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 6>{"declared", "transferring", "verified",
                                                           "loading",  "active",       "failed"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace hibiscuswall
