// Identity of processes. Guards against two processes, or two lives of one, that give different calls the
// same id: an agent then takes the second call for a repeat and answers it with the first one's answer.
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/daemon/held_signals.hpp"

#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto process_named(std::string const& name, std::uint64_t incarnation) -> member
{
    auto self = member{};
    self.name = name;
    self.incarnation = incarnation;
    return self;
}

} // namespace

TEST_GROUP(process_identity){};

TEST(process_identity, equal_seeds_give_equal_choices_but_different_ids)
{
    auto first = daemon_base{process_named("entry-1", 1), 7};
    auto second = daemon_base{process_named("entry-2", 1), 7};
    auto restarted = daemon_base{process_named("entry-1", 2), 7};
    CHECK_EQUAL(first.context().random.below(1000000), second.context().random.below(1000000));
    auto const id = first.context().random.id();
    CHECK(id != second.context().random.id());
    CHECK(id != restarted.context().random.id());
}

TEST_GROUP(early_signals){void teardown() override{release_signals();
}
}
;

// Guards against a process that a reload ends because it comes before the handlers are installed. Found by
// tools/soak --layout direct, seeds 5 and 8.
TEST(early_signals, those_that_come_during_the_start_are_acted_on_afterwards)
{
    hold_signals();
    raise(SIGHUP);
    raise(SIGTERM);
    auto daemon = daemon_base{process_named("entry-1", 1), 7};
    auto reloads = 0;
    daemon.on_reload([&] { ++reloads; });
    CHECK_EQUAL(0, daemon.run());
    CHECK_EQUAL(1, reloads);
}
