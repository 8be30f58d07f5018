// Tests a process's copy of the configuration: it never goes back to an older revision, and it is unconfirmed
// after a pause of the process.
#include "hibiscuswall/config/config_state.hpp"
#include "hibiscuswall/config/push_tree.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto document(std::uint64_t revision) -> config_document
{
    auto new_document = config_document{};
    new_document.revision = revision;
    return new_document;
}

} // namespace

TEST_GROUP(config_state)
{
    time_point begin{seconds{1'000}};
    config_state state{milliseconds{1'000}};

    void setup() override { CHECK(state.adopt(document(7), begin)); }
};

// Guards against a restarted or lagging source that reverts the configuration.
TEST(config_state, ignores_an_older_revision)
{
    CHECK(!state.adopt(document(6), begin + seconds{5}));
    CHECK_EQUAL(7U, state.revision());
    CHECK(state.confirmed_age(begin + seconds{5}) == seconds{5});
}

TEST(config_state, keeps_recent_documents_for_deltas)
{
    state.adopt(document(9), begin);
    CHECK(state.recent(7) != nullptr);
    CHECK(state.recent(8) == nullptr);
    CHECK(state.recent(9) == state.document());
}

TEST(config_state, is_confirmed_only_by_its_own_revision)
{
    state.confirm(6, begin + seconds{9});
    CHECK(state.confirmed_age(begin + seconds{9}) == seconds{9});
    state.confirm(7, begin + seconds{9});
    CHECK(state.confirmed_age(begin + seconds{9}) == seconds{0});
}

// Guards against a process that admits work after a pause on the basis of its state from before the pause.
TEST(config_state, is_unconfirmed_after_a_gap_between_ticks)
{
    state.tick(begin);
    CHECK(state.confirmed(begin + milliseconds{900}));
    CHECK(!state.confirmed(begin + milliseconds{1'100})); // before the first tick after the gap
    auto const resumed = begin + seconds{30};
    CHECK(state.tick(resumed));
    CHECK(!state.tick(resumed + milliseconds{100}));
    CHECK(!state.confirmed(resumed + milliseconds{100}));

    state.end_pause(resumed - milliseconds{1}); // response to a request sent before the pause
    CHECK(!state.confirmed(resumed + milliseconds{100}));
    state.end_pause(resumed + milliseconds{50});
    CHECK(state.confirmed(resumed + milliseconds{100}));
}

TEST(config_state, is_unconfirmed_after_max_unconfirmed)
{
    auto errors = std::vector<std::string>{};
    auto const policy = parse_resource(
        nlohmann::json::parse(R"({"kind":"Policy","name":"default","spec":{"max_unconfirmed_ms":2000}})"), "",
        errors);
    auto limited = document(8).with({*policy}, {}, "w");
    CHECK(state.confirmed(begin + seconds{3'600})); // without a limit, the process keeps serving
    limited.revision = 8;
    state.adopt(limited, begin);
    CHECK(state.confirmed(begin + seconds{2}));
    CHECK(!state.confirmed(begin + milliseconds{2'001}));
}

TEST_GROUP(push_tree)
{
    std::vector<member> members;
    member self;

    void setup() override
    {
        for (auto i = 0; i < 100; ++i) {
            auto peer = member{};
            peer.name = "host-" + std::to_string(i);
            peer.failure_domain = i % 4 == 0 ? "other" : "here";
            members.push_back(peer);
        }
        self = members[1];
        members.erase(members.begin() + 1);
    }
};

// Guards against a process that receives no push or pushes from two parents.
TEST(push_tree, reaches_every_process_of_the_failure_domain_exactly_once)
{
    auto const order = push_order(self, members, "here");
    CHECK_EQUAL(75U, order.size());
    auto reached = std::multiset<std::string>{order.front()};
    for (auto const& name : order)
        for (auto const& child : push_children(order, name, 8))
            reached.insert(child);
    CHECK_EQUAL(75U, reached.size());
    CHECK(std::set<std::string>(reached.begin(), reached.end()).size() == 75U);
}

TEST(push_tree, replaces_a_dead_watcher_by_the_next_process)
{
    auto const before = push_order(self, members, "here");
    for (auto& peer : members)
        if (peer.name == before[0]) peer.state = member_state::dead;
    if (self.name == before[0]) return;
    auto const after = push_order(self, members, "here");
    CHECK(!is_watcher(after, before[0]));
    CHECK(is_watcher(after, before[1]));
    CHECK(is_watcher(after, before[2]));
    CHECK(!is_watcher(after, before[3]));
}
