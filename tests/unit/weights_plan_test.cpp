// Chunk plan with a simulated clock: which host fetches from the source, which takes over, and which is
// avoided.
#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/weights/chunk_plan.hpp"

#include <map>
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

    // Whether the chunk is among those that the host may fetch from the source now.
    auto fetches_from_source(chunk_plan plan, std::size_t chunk)->bool
    {
        while (auto const fetch = plan.next(now, random)) {
            if (fetch->chunk == chunk) return fetch->from_source();
            plan.on_fetch_ended(*fetch);
            plan.on_chunk_verified(fetch->chunk);
        }
        return false;
    }

    // The host at this position of the first chunk's ranking.
    auto ranked(std::size_t position)->std::string
    {
        for (auto const& name : names)
            if (plan_of(name).rank(0) == position) return name;
        return {};
    }
};

// Guards against an origin that is asked for more than one copy, or for less than one.
TEST(chunk_plan, of_96_hosts_exactly_one_fetches_each_chunk_from_the_source)
{
    names = make_names(96);
    chunks = make_chunks(256);
    auto fetched_chunks = std::multiset<std::size_t>{};
    for (auto const& name : names) {
        auto plan = plan_of(name);
        while (auto fetch = plan.next(now, random)) {
            CHECK(fetch->from_source());
            fetched_chunks.insert(fetch->chunk);
            plan.on_fetch_ended(*fetch);
            plan.on_chunk_verified(fetch->chunk);
        }
    }
    CHECK_EQUAL(chunks.size(), fetched_chunks.size());
    CHECK_EQUAL(chunks.size(), (std::set<std::size_t>{fetched_chunks.begin(), fetched_chunks.end()}.size()));
}

// Guards against a chunk that no host fetches because its first-ranked host died.
TEST(chunk_plan, only_the_second_ranked_host_takes_over_from_an_unreachable_first)
{
    auto second_ranked = plan_of(ranked(1));
    auto third_ranked = plan_of(ranked(2));
    CHECK(!second_ranked.next(now, random).has_value());
    second_ranked.on_peer_unreachable(ranked(0), now);
    third_ranked.on_peer_unreachable(ranked(0), now);
    CHECK(second_ranked.next(now, random)->from_source());
    CHECK(!third_ranked.next(now, random).has_value());
}

// Guards against a first-ranked host that is alive but whose link is stalled.
TEST(chunk_plan, second_ranked_host_takes_over_when_the_first_makes_no_progress)
{
    auto second_ranked = plan_of(ranked(1));
    auto const first_ranked = ranked(0);
    second_ranked.on_peer_holdings(first_ranked, {false}, now);
    now += settings.progress_deadline;
    second_ranked.on_peer_holdings(first_ranked, {false}, now);
    CHECK(!second_ranked.next(now, random).has_value());
    now += milliseconds{1};
    second_ranked.on_peer_holdings(first_ranked, {false}, now);
    CHECK(second_ranked.next(now, random)->from_source());
}

// Guards against a duplicate source fetch by a host that receives no reports because of its own fault.
TEST(chunk_plan, missing_reports_alone_do_not_make_a_host_inactive)
{
    auto second_ranked = plan_of(ranked(1));
    now += 10 * settings.progress_deadline;
    CHECK(!second_ranked.next(now, random).has_value());
}

// Guards against a chunk that no host fetches because its first-ranked host was cut off, before it reported
// anything or later.
TEST(chunk_plan, a_host_that_is_silent_while_the_others_report_is_inactive)
{
    chunks = make_chunks(40);
    for (auto const has_reported : {false, true}) {
        auto second_ranked = plan_of(ranked(1));
        auto third_ranked = plan_of(ranked(2));
        auto held = std::vector<bool>(chunks.size()); // of the hosts that report; all but the first chunk
        auto const report = [&](chunk_plan& plan, std::size_t position) {
            plan.on_peer_holdings(ranked(position), held, now);
        };
        if (has_reported) report(second_ranked, 0);
        if (has_reported) report(third_ranked, 0);
        auto const silent_since = now;
        for (auto i = std::size_t{1}; now - silent_since <= 2 * settings.progress_deadline; ++i) {
            CHECK_FALSE(fetches_from_source(second_ranked, 0));
            now += settings.progress_deadline / 4;
            held[i] = true;
            report(second_ranked, 2);
            report(second_ranked, 3);
            report(third_ranked, 1);
            report(third_ranked, 3);
        }
        CHECK(fetches_from_source(second_ranked, 0));
        CHECK_FALSE(fetches_from_source(third_ranked, 0));
    }
}

// Guards against a restarted host that fetches from the source what its region already holds.
TEST(chunk_plan, restarted_first_ranked_host_fetches_from_a_peer_that_holds_the_chunk)
{
    auto first_ranked = plan_of(ranked(0));
    first_ranked.on_peer_holdings(ranked(3), {true}, now);
    auto const fetch = first_ranked.next(now, random);
    STRCMP_EQUAL(ranked(3).c_str(), fetch->peer.c_str());
}

// Guards against fetching again from the sender of a bad chunk.
TEST(chunk_plan, sender_of_a_corrupt_or_stalled_chunk_is_avoided_for_the_avoid_duration)
{
    for (auto const failure : {fetch_failure::corrupt, fetch_failure::stalled}) {
        auto plan = plan_of(ranked(3));
        plan.on_peer_holdings(ranked(0), {true}, now);
        plan.on_peer_holdings(ranked(1), {true}, now);
        auto const fetch = plan.next(now, random);
        plan.on_fetch_ended(*fetch);
        plan.on_fetch_failed(*fetch, failure, now);
        auto const again = plan.next(now, random);
        CHECK(again.has_value() && again->peer != fetch->peer);
        plan.on_fetch_ended(*again);
        plan.on_fetch_failed(*again, failure, now);
        CHECK(!plan.next(now, random).has_value());
        CHECK(plan.next(now + settings.avoid_duration, random).has_value());
    }
}

// Guards against a transfer that never ends because the only known holder of a chunk is avoided or
// unreachable: the chunk counted as held, so no other host fetched it.
TEST(chunk_plan, chunk_held_only_by_an_avoided_or_unreachable_peer_is_fetched_from_the_source)
{
    auto plan = plan_of(ranked(1));
    plan.on_peer_holdings(ranked(0), {true}, now);
    auto const fetch = plan.next(now, random);
    STRCMP_EQUAL(ranked(0).c_str(), fetch->peer.c_str());
    plan.on_fetch_ended(*fetch);
    plan.on_fetch_failed(*fetch, fetch_failure::corrupt, now);
    CHECK(plan.next(now, random)->from_source());

    auto other = plan_of(ranked(1));
    other.on_peer_holdings(ranked(0), {true}, now);
    other.on_peer_unreachable(ranked(0), now);
    CHECK(other.next(now, random)->from_source());
}

// Guards against a peer whose chunks stay uncounted after the avoid duration.
TEST(chunk_plan, chunks_of_an_avoided_peer_count_again_after_the_avoid_duration)
{
    auto plan = plan_of(ranked(3));
    plan.on_peer_holdings(ranked(0), {true}, now);
    auto const fetch = plan.next(now, random);
    plan.on_fetch_ended(*fetch);
    plan.on_fetch_failed(*fetch, fetch_failure::stalled, now);
    CHECK(!plan.next(now, random).has_value());
    now += settings.avoid_duration;
    STRCMP_EQUAL(ranked(0).c_str(), plan.next(now, random)->peer.c_str());
}

TEST(chunk_plan, busy_peer_is_asked_again_after_the_busy_pause)
{
    auto plan = plan_of(ranked(3));
    plan.on_peer_holdings(ranked(0), {true}, now);
    auto const fetch = plan.next(now, random);
    plan.on_fetch_ended(*fetch);
    plan.on_fetch_failed(*fetch, fetch_failure::busy, now);
    CHECK(!plan.next(now, random).has_value());
    CHECK(plan.next(now + settings.busy_pause, random).has_value());
}

// Guards against hosts of one region that together overload the link to another region.
TEST(chunk_plan, source_fetchers_share_the_rate_of_their_region)
{
    chunks = make_chunks(64);
    auto plan = plan_of("host-0");
    CHECK_EQUAL(4U, plan.source_fetcher_count(now)); // each of 4 hosts fetches some of 64 chunks
    CHECK_EQUAL(250U, source_rate_share(1'000, 4));

    // host-1 has fetched all of its chunks; host-2 is unreachable, so the hosts ranked after it fetch its
    // chunks.
    auto host_1_chunks = std::vector<bool>(chunks.size());
    for (auto i = std::size_t{0}; i < chunks.size(); ++i)
        host_1_chunks[i] = plan_of("host-1").rank(i) == 0U;
    plan.on_peer_holdings("host-1", host_1_chunks, now);
    CHECK_EQUAL(3U, plan.source_fetcher_count(now));
    plan.on_peer_unreachable("host-3", now);
    plan.on_peer_unreachable("host-2", now);
    CHECK_EQUAL(2U, plan.source_fetcher_count(now));

    CHECK_EQUAL(0U, source_rate_share(0, 4)); // no limit
    CHECK_EQUAL(1U, source_rate_share(3, 4)); // division must not give 0, which means no limit
}

// Guards against requests to a source that asked to wait.
TEST(chunk_plan, paused_source_is_not_asked_before_the_pause_ends)
{
    auto plan = plan_of(ranked(0));
    plan.pause_source(now + seconds{1});
    CHECK(!plan.next(now, random).has_value());
    CHECK(plan.next(now + seconds{1}, random).has_value());
}

TEST(chunk_plan, chunk_with_the_fewest_holders_is_fetched_first)
{
    chunks = make_chunks(3);
    auto plan = plan_of("host-0");
    plan.pause_source(now + seconds{9});
    plan.on_peer_holdings("host-1", {true, true, true}, now);
    plan.on_peer_holdings("host-2", {true, false, true}, now);
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

    // Hosts n1..n3 are in the region of the source, s1..s3 in another region.
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

// Guards against one source copy per region, since the source can carry only one.
TEST(chunk_plan_regions, only_hosts_in_the_region_of_the_source_fetch_from_it)
{
    auto remote = plan_of("s1");
    CHECK_FALSE(remote.next(now, random).has_value());
    auto same_region = plan_of("n1");
    CHECK(same_region.next(now, random)->from_source());
}

// 39 hosts in the region of a source whose link carries five chunks per second start source fetches at the
// same moment: each fetch takes longer than its timeout and none succeeds. So only a few hosts fetch, and
// others take over when all of those are lost.
TEST(chunk_plan_regions, only_six_of_39_hosts_fetch_and_others_take_over_when_all_six_are_unreachable)
{
    auto hosts = std::vector<plan_host>{};
    for (auto i = 0; i < 39; ++i)
        hosts.push_back({"near-" + std::to_string(100 + i), true, true});
    hosts.push_back({"far", false, false});
    auto const limited = limit_source_fetchers("m/2", hosts, 6);
    auto const is_fetcher = [](plan_host const& host) { return host.is_source_fetcher; };
    CHECK_EQUAL(6, std::count_if(limited.begin(), limited.end(), is_fetcher));
    CHECK_FALSE(limited.back().is_source_fetcher);
    CHECK_EQUAL(39, std::count_if(hosts.begin(), hosts.end(), is_fetcher));
    auto const all = limit_source_fetchers("m/2", hosts, 0);
    CHECK_EQUAL(39, std::count_if(all.begin(), all.end(), is_fetcher));

    auto begun = 0;
    auto after_loss = 0;
    for (auto const& host : limited) {
        auto plan = chunk_plan{chunks, host.name, chunk_plan_settings{}, now};
        plan.set_hosts(limited, now);
        if (plan.next(now, random)) ++begun;
        for (auto const& other : limited)
            if (other.is_source_fetcher) plan.on_peer_unreachable(other.name, now);
        if (!host.is_source_fetcher && plan.next(now, random)) ++after_loss;
    }
    CHECK_EQUAL(6, begun);
    CHECK(after_loss > 0);
}

// One source fetcher gets its chunks at a tenth of the others' rate, and the source fails soon after. Guards
// against a version that lacks that host's chunks for as long as the source is unavailable.
TEST(chunk_plan_regions, finished_source_fetcher_fetches_chunks_of_a_slow_one_in_descending_order)
{
    auto hosts = std::vector<plan_host>{{"n1", true, true}, {"n2", true, true}, {"s1", false, false}};
    auto with_help = chunk_plan_settings{};
    with_help.helps_source_fetchers = true;
    auto fast = chunk_plan{chunks, "n1", with_help, now};
    auto slow = chunk_plan{chunks, "n2", with_help, now};
    fast.set_hosts(hosts, now);
    slow.set_hosts(hosts, now);
    auto const slow_fetch = slow.next(now, random);
    auto fetched_chunks = std::set<std::size_t>{};
    while (auto const fetch = fast.next(now, random)) {
        CHECK(fetch->from_source());
        fetched_chunks.insert(fetch->chunk);
        fast.on_fetch_ended(*fetch);
        fast.on_chunk_verified(fetch->chunk);
        if (fast.held_count() == chunks.size() - 1) break;
    }
    CHECK_EQUAL(chunks.size() - 1, fetched_chunks.size());
    CHECK_FALSE(
        fetched_chunks.contains(slow_fetch->chunk)); // the chunk that the slow host is fetching comes last
    auto remote = chunk_plan{chunks, "s1", with_help, now};
    remote.set_hosts(hosts, now);
    CHECK_FALSE(remote.next(now, random).has_value());
}

TEST(chunk_plan_regions, each_chunk_crosses_regions_to_one_host_only)
{
    auto cross_region_fetches = 0;
    auto const all = std::vector<bool>(chunks.size(), true);
    for (auto const* name : {"s1", "s2", "s3"}) {
        auto plan = plan_of(name);
        plan.on_peer_holdings("n1", all, now);
        plan.on_peer_holdings("n2", all, now);
        plan.on_peer_holdings("n3", all, now);
        auto fetched = 0;
        while (auto const fetch = plan.next(now, random)) {
            plan.on_fetch_ended(*fetch);
            plan.on_chunk_verified(fetch->chunk);
            ++fetched;
        }
        cross_region_fetches += fetched;
        CHECK(fetched > 0);
        CHECK(fetched < 64);
    }
    CHECK_EQUAL(64, cross_region_fetches);
}

// Three of sixty hosts of a region are cut off. Guards against chunks that never reach the region because all
// others wait for these three to fetch them from another region.
TEST(chunk_plan_regions, a_region_does_not_wait_for_silent_hosts)
{
    auto names = std::vector<std::string>{};
    for (auto i = 0; i < 60; ++i)
        names.push_back("s" + std::to_string(100 + i));
    auto const cut_off = std::set<std::string>{names[7], names[20], names[41]};
    auto hosts = std::vector<plan_host>{{"n1", false, true}};
    for (auto const& name : names)
        hosts.push_back({name, true, false});
    auto plans = std::map<std::string, chunk_plan>{};
    for (auto const& name : names) {
        if (cut_off.contains(name)) continue;
        auto& plan = plans.try_emplace(name, chunks, name, chunk_plan_settings{}, now).first->second;
        plan.set_hosts(hosts, now);
        plan.on_peer_holdings("n1", std::vector<bool>(chunks.size(), true), now);
    }
    auto crossed = std::multiset<std::size_t>{}; // chunks that a host fetched from another region
    auto const fetch_what_is_due = [&] {
        for (auto& [name, plan] : plans)
            while (auto const fetch = plan.next(now, random)) {
                plan.on_fetch_ended(*fetch);
                plan.on_chunk_verified(fetch->chunk);
                if (fetch->peer == "n1") crossed.insert(fetch->chunk);
            }
    };
    fetch_what_is_due();
    auto const at_once = std::vector<std::size_t>{crossed.begin(), crossed.end()};
    CHECK(at_once.size() < chunks.size());
    auto held = std::vector<bool>(chunks.size()); // of each host, a little more each time
    for (auto round = std::size_t{0}; round < 10; ++round) {
        now += milliseconds{800};
        held[at_once[round]] = true;
        for (auto& [name, plan] : plans)
            for (auto const& [other, unused] : plans)
                if (other != name) plan.on_peer_holdings(other, held, now);
        fetch_what_is_due();
    }
    UNSIGNED_LONGS_EQUAL(chunks.size(), crossed.size()); // each once
    UNSIGNED_LONGS_EQUAL(chunks.size(), (std::set<std::size_t>{crossed.begin(), crossed.end()}.size()));
}

// Source fetchers tell these hosts what they hold. Guards against telling others than those that wait for it.
TEST(chunk_plan_regions, the_host_that_fetches_a_chunk_into_its_region_is_known_to_all)
{
    auto const names = std::vector<std::string>{"s1", "s2", "s3"};
    auto const fetchers = region_fetchers(chunks, names);
    CHECK_EQUAL(chunks.size(), fetchers.size());
    for (auto i = std::size_t{0}; i < chunks.size(); ++i)
        CHECK(rendezvous_rank(chunks[i].sha256, names).front() == fetchers[i]);
    CHECK(region_fetchers(chunks, {}).empty());
}

TEST(chunk_plan_regions, chunk_held_in_the_region_is_fetched_within_the_region)
{
    auto plan = plan_of("s1");
    auto const all = std::vector<bool>(chunks.size(), true);
    plan.on_peer_holdings("n1", all, now);
    plan.on_peer_holdings("s2", all, now);
    while (auto const fetch = plan.next(now, random)) {
        STRCMP_EQUAL("s2", fetch->peer.c_str());
        plan.on_fetch_ended(*fetch);
        plan.on_chunk_verified(fetch->chunk);
    }
    CHECK(plan.complete());
}
