// Chunk plan with made-up times: who draws, who follows, who is avoided.
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/weights/chunk_plan.hpp"

#include <set>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto make_chunks(std::size_t count) -> std::vector<chunk_entry>
{
    auto list = std::vector<chunk_entry>{};
    for (auto i = std::size_t{0}; i < count; ++i)
        list.push_back({sha256("chunk " + std::to_string(i)), 1000});
    return list;
}

auto make_names(std::size_t count) -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto i = std::size_t{0}; i < count; ++i)
        names.push_back("host-" + std::to_string(i));
    return names;
}

} // namespace

TEST_GROUP(chunk_plan)
{
    time_point now{seconds{100}};
    chunk_plan_settings settings;
    random_source random{7};
    std::vector<chunk_entry> chunks = make_chunks(1);
    std::vector<std::string> names = make_names(4);

    auto plan_of(std::string const& self)->chunk_plan
    {
        auto plan = chunk_plan{chunks, self, settings, now};
        plan.set_hosts(names, now);
        return plan;
    }

    // The name at this position of the first chunk's rank order.
    auto ranked(std::size_t position)->std::string
    {
        for (auto const& name : names)
            if (plan_of(name).rank(0) == position) return name;
        return {};
    }
};

// Guards against an origin that is asked for more than one copy, or for less.
TEST(chunk_plan, of_96_hosts_exactly_one_draws_each_chunk)
{
    names = make_names(96);
    chunks = make_chunks(256);
    auto drawn = std::multiset<std::size_t>{};
    for (auto const& name : names) {
        auto plan = plan_of(name);
        while (auto fetch = plan.next(now, random)) {
            CHECK(fetch->from_source());
            drawn.insert(fetch->chunk);
            plan.ended(*fetch);
            plan.held(fetch->chunk);
        }
    }
    CHECK_EQUAL(chunks.size(), drawn.size());
    CHECK_EQUAL(chunks.size(), (std::set<std::size_t>{drawn.begin(), drawn.end()}.size()));
}

// Guards against a chunk that nobody draws because its owner died.
TEST(chunk_plan, the_first_follower_takes_over_from_a_dead_owner_and_the_second_does_not)
{
    auto first = plan_of(ranked(1));
    auto second = plan_of(ranked(2));
    CHECK(!first.next(now, random).has_value());
    first.peer_unreachable(ranked(0), now);
    second.peer_unreachable(ranked(0), now);
    CHECK(first.next(now, random)->from_source());
    CHECK(!second.next(now, random).has_value());
}

// Guards against an owner whose link stalls: it is alive, but gets nothing.
TEST(chunk_plan, a_follower_takes_over_when_the_owner_makes_no_progress)
{
    auto follower = plan_of(ranked(1));
    auto const owner = ranked(0);
    follower.peer_has(owner, {false}, now);
    now += settings.progress_deadline;
    follower.peer_has(owner, {false}, now);
    CHECK(!follower.next(now, random).has_value());
    now += milliseconds{1};
    follower.peer_has(owner, {false}, now);
    CHECK(follower.next(now, random)->from_source());
}

// Guards against a duplicate draw by a host that has not heard from the owner for its own reasons.
TEST(chunk_plan, silence_alone_does_not_make_an_owner_late)
{
    auto follower = plan_of(ranked(1));
    now += 10 * settings.progress_deadline;
    CHECK(!follower.next(now, random).has_value());
}

// Guards against a restarted host that draws what its region holds already.
TEST(chunk_plan, an_owner_that_restarted_with_nothing_asks_a_peer_that_holds_the_chunk)
{
    auto owner = plan_of(ranked(0));
    owner.peer_has(ranked(3), {true}, now);
    auto const fetch = owner.next(now, random);
    STRCMP_EQUAL(ranked(3).c_str(), fetch->peer.c_str());
}

// Guards against fetching a second time from the sender of a bad chunk.
TEST(chunk_plan, the_sender_of_a_corrupt_or_stalled_chunk_is_avoided_for_a_while)
{
    for (auto const why : {fetch_failure::corrupt, fetch_failure::stalled}) {
        auto plan = plan_of(ranked(3));
        plan.peer_has(ranked(0), {true}, now);
        plan.peer_has(ranked(1), {true}, now);
        auto const fetch = plan.next(now, random);
        plan.ended(*fetch);
        plan.failed(*fetch, why, now);
        auto const again = plan.next(now, random);
        CHECK(again.has_value() && again->peer != fetch->peer);
        plan.ended(*again);
        plan.failed(*again, why, now);
        CHECK(!plan.next(now, random).has_value());
        CHECK(plan.next(now + settings.avoid_duration, random).has_value());
    }
}

// Guards against a transfer that never ends because the only known holder of a chunk is avoided or cannot be
// reached: the chunk counted as held, so that no follower drew it.
TEST(chunk_plan, a_chunk_that_only_an_avoided_or_unreachable_peer_holds_is_drawn_again)
{
    auto plan = plan_of(ranked(1));
    plan.peer_has(ranked(0), {true}, now);
    auto const fetch = plan.next(now, random);
    STRCMP_EQUAL(ranked(0).c_str(), fetch->peer.c_str());
    plan.ended(*fetch);
    plan.failed(*fetch, fetch_failure::corrupt, now);
    CHECK(plan.next(now, random)->from_source());

    auto other = plan_of(ranked(1));
    other.peer_has(ranked(0), {true}, now);
    other.peer_unreachable(ranked(0), now);
    CHECK(other.next(now, random)->from_source());
}

// Guards against a peer that stays forgotten after its time of avoidance.
TEST(chunk_plan, the_chunks_of_an_avoided_peer_count_again_after_its_time)
{
    auto plan = plan_of(ranked(3));
    plan.peer_has(ranked(0), {true}, now);
    auto const fetch = plan.next(now, random);
    plan.ended(*fetch);
    plan.failed(*fetch, fetch_failure::stalled, now);
    CHECK(!plan.next(now, random).has_value());
    now += settings.avoid_duration;
    STRCMP_EQUAL(ranked(0).c_str(), plan.next(now, random)->peer.c_str());
}

TEST(chunk_plan, a_busy_peer_is_asked_again_after_a_pause)
{
    auto plan = plan_of(ranked(3));
    plan.peer_has(ranked(0), {true}, now);
    auto const fetch = plan.next(now, random);
    plan.ended(*fetch);
    plan.failed(*fetch, fetch_failure::busy, now);
    CHECK(!plan.next(now, random).has_value());
    CHECK(plan.next(now + settings.busy_pause, random).has_value());
}

// Guards against hosts of one region that overrun the link to another region together.
TEST(chunk_plan, the_hosts_that_still_draw_share_the_rate_of_their_region)
{
    chunks = make_chunks(64);
    auto plan = plan_of("host-0");
    CHECK_EQUAL(4U, plan.drawing_hosts(now)); // each of 4 hosts draws some of 64 chunks
    CHECK_EQUAL(250U, draw_share(1'000, 4));

    // host-1 has drawn all of its own chunks, host-2 cannot be reached: its followers draw for it.
    auto owned = std::vector<bool>(chunks.size());
    for (auto i = std::size_t{0}; i < chunks.size(); ++i)
        owned[i] = plan_of("host-1").rank(i) == 0U;
    plan.peer_has("host-1", owned, now);
    CHECK_EQUAL(3U, plan.drawing_hosts(now));
    plan.peer_unreachable("host-3", now);
    plan.peer_unreachable("host-2", now);
    CHECK_EQUAL(2U, plan.drawing_hosts(now));

    CHECK_EQUAL(0U, draw_share(0, 4)); // no limit
    CHECK_EQUAL(1U, draw_share(3, 4)); // never "no limit" by division
}

// Guards against a source that is asked although it said to wait.
TEST(chunk_plan, a_limited_source_is_left_alone_until_its_time)
{
    auto plan = plan_of(ranked(0));
    plan.pause_source(now + seconds{1});
    CHECK(!plan.next(now, random).has_value());
    CHECK(plan.next(now + seconds{1}, random).has_value());
}

TEST(chunk_plan, the_rarest_chunk_comes_first)
{
    chunks = make_chunks(3);
    auto plan = plan_of("host-0");
    plan.pause_source(now + seconds{9});
    plan.peer_has("host-1", {true, true, true}, now);
    plan.peer_has("host-2", {true, false, true}, now);
    CHECK_EQUAL(1U, plan.next(now, random)->chunk);
}

// ---- hosts of several regions

TEST_GROUP(chunk_plan_regions)
{
    time_point now{seconds{1'000}};
    random_source random{5};
    std::vector<chunk_entry> chunks;

    void setup() override
    {
        for (auto i = 0; i < 64; ++i)
            chunks.push_back({std::string(64, static_cast<char>('a' + i % 26)) + std::to_string(i), 1'000});
    }

    // North hosts n1..n3 stand near the source, s1..s3 in another region.
    auto plan_of(std::string const& self)->chunk_plan
    {
        auto plan = chunk_plan{chunks, self, {}, now};
        auto hosts = std::vector<plan_host>{};
        for (auto const* name : {"n1", "n2", "n3", "s1", "s2", "s3"})
            hosts.push_back({name, name[0] == self[0], name[0] == 'n'});
        plan.set_hosts(std::move(hosts), now);
        return plan;
    }
};

// Guards against each region drawing a copy of its own from a source that carries one.
TEST(chunk_plan_regions, only_hosts_near_the_source_draw)
{
    auto far = plan_of("s1");
    CHECK_FALSE(far.next(now, random).has_value());
    auto near = plan_of("n1");
    CHECK(near.next(now, random)->from_source());
}

// Pattern: 39 hosts near a source whose link carries five chunks a second begin to draw at the same moment;
// each draw then takes longer than its timeout and none succeeds. A few draw, and others take over when all
// of those are lost.
TEST(chunk_plan_regions, only_a_few_hosts_draw_and_others_follow_when_they_are_lost)
{
    auto hosts = std::vector<plan_host>{};
    for (auto i = 0; i < 39; ++i)
        hosts.push_back({"near-" + std::to_string(100 + i), true, true});
    hosts.push_back({"far", false, false});
    auto const few = limit_drawers("m/2", hosts, 6);
    auto const draws = [](plan_host const& host) { return host.draws; };
    CHECK_EQUAL(6, std::count_if(few.begin(), few.end(), draws));
    CHECK_FALSE(few.back().draws);
    CHECK_EQUAL(39, std::count_if(hosts.begin(), hosts.end(), draws));
    auto const all = limit_drawers("m/2", hosts, 0);
    CHECK_EQUAL(39, std::count_if(all.begin(), all.end(), draws));

    auto begun = 0;
    auto after_loss = 0;
    for (auto const& host : few) {
        auto plan = chunk_plan{chunks, host.name, chunk_plan_settings{}, now};
        plan.set_hosts(few, now);
        if (plan.next(now, random)) ++begun;
        for (auto const& other : few)
            if (other.draws) plan.peer_unreachable(other.name, now);
        if (!host.draws && plan.next(now, random)) ++after_loss;
    }
    CHECK_EQUAL(6, begun);
    CHECK(after_loss > 0);
}

// Pattern: one of the hosts that draw gets its chunks at a tenth of the others' rate, and the source fails
// soon after. Guards against a version that lacks only that host's chunks for as long as the source is away.
TEST(chunk_plan_regions, a_drawing_host_that_is_done_helps_a_slow_one_from_the_other_end)
{
    auto hosts = std::vector<plan_host>{{"n1", true, true}, {"n2", true, true}, {"s1", false, false}};
    auto with_help = chunk_plan_settings{};
    with_help.helps_source_fetchers = true;
    auto quick = chunk_plan{chunks, "n1", with_help, now};
    auto slow = chunk_plan{chunks, "n2", with_help, now};
    quick.set_hosts(hosts, now);
    slow.set_hosts(hosts, now);
    auto const first_of_slow = slow.next(now, random);
    auto drawn = std::set<std::size_t>{};
    while (auto const fetch = quick.next(now, random)) {
        CHECK(fetch->from_source());
        drawn.insert(fetch->chunk);
        quick.ended(*fetch);
        quick.held(fetch->chunk);
        if (quick.held_count() == chunks.size() - 1) break;
    }
    CHECK_EQUAL(chunks.size() - 1, drawn.size());
    CHECK_FALSE(drawn.contains(first_of_slow->chunk)); // what the slow one has begun comes last
    auto far = chunk_plan{chunks, "s1", with_help, now};
    far.set_hosts(hosts, now);
    CHECK_FALSE(far.next(now, random).has_value());
}

TEST(chunk_plan_regions, one_host_of_a_region_brings_a_chunk_from_another_region)
{
    auto importers = 0;
    auto const all = std::vector<bool>(chunks.size(), true);
    for (auto const* name : {"s1", "s2", "s3"}) {
        auto plan = plan_of(name);
        plan.peer_has("n1", all, now);
        plan.peer_has("n2", all, now);
        plan.peer_has("n3", all, now);
        auto fetched = 0;
        while (auto const fetch = plan.next(now, random)) {
            plan.ended(*fetch);
            plan.held(fetch->chunk);
            ++fetched;
        }
        importers += fetched;
        CHECK(fetched > 0);
        CHECK(fetched < 64);
    }
    CHECK_EQUAL(64, importers);
}

TEST(chunk_plan_regions, a_chunk_that_the_region_holds_comes_from_there)
{
    auto plan = plan_of("s1");
    auto const all = std::vector<bool>(chunks.size(), true);
    plan.peer_has("n1", all, now);
    plan.peer_has("s2", all, now);
    while (auto const fetch = plan.next(now, random)) {
        STRCMP_EQUAL("s2", fetch->peer.c_str());
        plan.ended(*fetch);
        plan.held(fetch->chunk);
    }
    CHECK(plan.complete());
}
