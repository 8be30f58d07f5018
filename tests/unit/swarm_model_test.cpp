// The model of agents that fetch a version of the weights, and what it says about the chunk plan.
#include "models/swarm_model.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;
using namespace hibiscuswall::models;

namespace {

constexpr auto origin_returns = milliseconds{8'500};

// A fleet that is modelled within a fraction of a second.
auto small_fleet() -> swarm_settings
{
    auto settings = swarm_settings{};
    settings.regions = 3;
    settings.agents = 30;
    settings.chunks = 32;
    settings.plan = agent_plan_settings();
    return settings;
}

// The least time in which the origin's link carries one copy.
auto origin_time(swarm_settings const& settings) -> milliseconds
{
    auto const bytes = settings.chunk_bytes * static_cast<double>(settings.chunks);
    return milliseconds{static_cast<long long>(1'000 * bytes / settings.origin_rate)};
}

// The same for an agent's share of its peers' links: each of them has that rate, and each agent needs a copy.
auto peer_time(swarm_settings const& settings) -> milliseconds
{
    auto const bytes = settings.chunk_bytes * static_cast<double>(settings.chunks);
    return milliseconds{
        static_cast<long long>(1'000 * bytes / (settings.agent_rate * settings.upload_share))};
}

} // namespace

TEST_GROUP(swarm_model){};

// Guards against a model that carries bytes faster than its links, or loses agents.
TEST(swarm_model, an_undisturbed_fleet_is_whole_no_sooner_than_its_links_allow)
{
    auto const settings = small_fleet();
    auto const result = simulate(settings);
    CHECK_EQUAL(settings.agents, result.whole_at.size());
    CHECK_EQUAL(settings.chunks, result.known_at.size());
    CHECK(result.known_at.back() >= settings.start.from + origin_time(settings));
    CHECK(result.whole_share_at(1) >= settings.start.from + peer_time(settings));
    CHECK(result.origin_copies >= 1);

    // It isn't slow either: with all of these links in use all the time, the last agent would need this long.
    CHECK(result.whole_share_at(1) < settings.start.until + origin_time(settings) + 2 * peer_time(settings));
}

// Guards against runs that cannot be repeated.
TEST(swarm_model, the_same_settings_give_the_same_result)
{
    auto const first = simulate(small_fleet());
    auto const second = simulate(small_fleet());
    CHECK(first.whole_at == second.whole_at);
    DOUBLES_EQUAL(first.origin_copies, second.origin_copies, 0);
}

// Guards against agents that wait for an origin that is away although they hold all chunks together.
TEST(swarm_model, chunks_that_have_left_the_origin_spread_while_it_is_away)
{
    auto settings = small_fleet();
    settings.origin_away = {settings.start.until + 2 * origin_time(settings), milliseconds{60'000}};
    auto const result = simulate(settings);
    CHECK_EQUAL(settings.agents, result.whole_at.size());
    CHECK(result.known_at.back() < settings.origin_away.from);
}

// Guards against an origin that is asked for whole copies again after its return.
TEST(swarm_model, only_what_is_missing_is_fetched_after_the_origin_returns)
{
    auto settings = small_fleet();
    settings.origin_away = {settings.start.until + origin_time(settings) / 2, origin_returns};
    auto const result = simulate(settings);
    CHECK_EQUAL(settings.agents, result.whole_at.size());
    CHECK(result.whole_at.front() > origin_returns);
    CHECK(result.origin_copies < 2);
}

TEST(swarm_model, agents_that_were_cut_off_become_whole_after_the_others)
{
    auto settings = small_fleet();
    settings.cut = {milliseconds{500}, origin_returns};
    settings.cut_share = 0.3;
    auto const result = simulate(settings);
    CHECK_EQUAL(settings.agents, result.whole_at.size());
    CHECK(result.whole_share_at(0.5) < origin_returns);
    CHECK(result.whole_share_at(1) > origin_returns);
}

// A fleet that is not whole at the end says so.
TEST(swarm_model, agents_that_do_not_become_whole_are_not_counted)
{
    auto settings = small_fleet();
    settings.origin_away = {milliseconds{0}, milliseconds{60'000}};
    settings.end = milliseconds{2'000};
    auto const result = simulate(settings);
    CHECK(result.whole_at.empty());
    CHECK(result.whole_share_at(1) == milliseconds::max());
    DOUBLES_EQUAL(0, result.origin_copies, 0);
}
