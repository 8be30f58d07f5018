// Manifest, chunk store, link budget, progress watch, rollout decision and version machine.
#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/lifecycle/version_machine.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"
#include "hibiscuswall/weights/chunk_store.hpp"
#include "hibiscuswall/weights/link_budget.hpp"
#include "hibiscuswall/weights/progress_watch.hpp"
#include "hibiscuswall/weights/rollout.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto manifest_json(std::string const& version, std::vector<std::string> const& contents) -> nlohmann::json
{
    auto content = std::string{};
    auto list = nlohmann::json::array();
    for (auto const& bytes : contents) {
        content += bytes;
        list.push_back({{"sha256", sha256(bytes)}, {"size", bytes.size()}});
    }
    return {{"model", "m"},
            {"version", version},
            {"size", content.size()},
            {"sha256", sha256(content)},
            {"chunks", list}};
}

auto make_version(std::string const& version, std::vector<std::string> const& contents) -> manifest_ptr
{
    return std::make_shared<manifest const>(parse_manifest(manifest_json(version, contents).dump()).value());
}

} // namespace

TEST_GROUP(weights_manifest){};

TEST(weights_manifest, digest_is_the_sha256_of_the_text)
{
    auto const text = manifest_json("v1", {"aa", "b"}).dump();
    auto const parsed = parse_manifest(text);
    CHECK(parsed.has_value());
    STRCMP_EQUAL(sha256(text).c_str(), parsed.value().digest.c_str());
    CHECK_EQUAL(2U, parsed.value().chunks.size());
}

// Guards against a damaged manifest that is accepted as a smaller or different version.
TEST(weights_manifest, malformed_manifest_is_rejected_as_manifest_invalid)
{
    auto const good = manifest_json("v1", {"aa", "b"});
    auto refused = [](nlohmann::json const& body) {
        auto const parsed = parse_manifest(body.dump());
        return !parsed && parsed.error().code == result_code::manifest_invalid;
    };
    auto body = good;
    body["size"] = 4;
    CHECK(refused(body));
    body = good;
    body["extra"] = 1;
    CHECK(refused(body));
    body = good;
    body["chunks"][1]["sha256"] = "AB";
    CHECK(refused(body));
    body = good;
    body["chunks"][1]["size"] = -1;
    CHECK(refused(body));
    body = good;
    body["chunks"] = nlohmann::json::array();
    CHECK(refused(body));
    CHECK(!parse_manifest("{").has_value());
}

TEST_GROUP(weights_store)
{
    chunk_store store{10};

    auto add(std::string const& bytes)->void
    {
        store.add(sha256(bytes), std::make_shared<std::string const>(bytes));
    }
};

// Guards against fetching again chunks that an earlier version already fetched.
TEST(weights_store, releasing_a_version_keeps_the_chunks_shared_with_another)
{
    auto const first = make_version("v1", {"aaaa", "bb"});
    auto const second = make_version("v2", {"aaaa", "cc"});
    CHECK(store.reserve(first).has_value());
    add("aaaa");
    add("bb");
    CHECK(store.reserve(second).has_value());
    store.release(first->id());
    CHECK(store.held(*second) == (std::vector<bool>{true, false}));
    CHECK(store.find(sha256("bb")) == nullptr);
    CHECK_EQUAL(6U, store.reserved_bytes());
    CHECK(store.all_chunks(*second).empty());
}

// Guards against memory use beyond the limit.
TEST(weights_store, version_beyond_the_limit_is_rejected_and_the_store_is_unchanged)
{
    CHECK(store.reserve(make_version("v1", {"aaaa", "bb"})).has_value());
    auto const refused = store.reserve(make_version("v2", {"ccccc"}));
    CHECK(!refused && refused.error().code == result_code::weights_too_large);
    CHECK_EQUAL(6U, store.reserved_bytes());
    add("ccccc");
    CHECK(store.find(sha256("ccccc")) == nullptr);
}

TEST(weights_store, chunk_bitmap_round_trips_through_hex)
{
    auto const chunks = std::vector<bool>{true, false, false, false, true, true};
    STRCMP_EQUAL("8c", chunks_to_hex(chunks).c_str());
    CHECK(chunks_from_hex("8c", 6) == chunks);
    CHECK(chunks_from_hex("x", 6) == std::vector<bool>(6));
}

TEST_GROUP(weights_link) { time_point now{seconds{5}}; };

// Guards against transfers that do not wait for the bytes taken before.
TEST(weights_link, transfer_waits_until_the_debt_is_repaid)
{
    auto bucket = token_bucket{1000, 100, now};
    bucket.take(100, now);
    CHECK(bucket.wait(now) == clock::duration::zero());
    bucket.take(500, now);
    CHECK(bucket.wait(now) == milliseconds{500});
    CHECK(bucket.wait(now + milliseconds{500}) == clock::duration::zero());
}

// Guards against transfers that never finish because client calls keep the link full.
TEST(weights_link, request_bytes_count_double_but_leave_transfers_a_quarter_of_the_link)
{
    auto link = token_bucket{1'000, 0, now};
    link.take_request_bytes(100, now);
    CHECK(link.wait(now) == milliseconds{200});
    link.take_request_bytes(1'000'000, now);
    CHECK(link.wait(now) == seconds{1});
    CHECK(link.max_transfer_wait(100) == milliseconds{400});
}

// Guards against a source fetch that continues at the old rate after more hosts began to fetch.
TEST(weights_link, new_rate_applies_to_the_existing_debt)
{
    auto link = token_bucket{1'000, 0, now};
    link.take(1'000, now);
    CHECK(link.wait(now) == seconds{1});
    link.set_rate(250, now);
    CHECK(link.wait(now) == seconds{4});
}

// Guards against a sender that delivers single bytes, so that no read of it times out.
TEST(weights_link, trickle_is_stalled_but_waiting_for_the_own_link_is_not)
{
    auto const deadline = milliseconds{2'000};
    auto trickle = progress_watch{1'000, deadline, now};
    trickle.on_bytes_received(1, now + milliseconds{1'900});
    CHECK(!trickle.is_stalled());
    trickle.on_bytes_received(1, now + milliseconds{3'800});
    CHECK(trickle.is_stalled());

    auto slow = progress_watch{1'000, deadline, now};
    slow.on_bytes_received(1, now + milliseconds{100});
    slow.exclude_wait(seconds{60});
    slow.on_bytes_received(200, now + seconds{61});
    slow.on_bytes_received(200, now + seconds{62} + milliseconds{100});
    CHECK(!slow.is_stalled());
}

TEST_GROUP(weights_rollout)
{
    std::string first = "a";
    std::string second = "b";

    void setup() override
    {
        if (rendezvous_weight("m/v", first) < rendezvous_weight("m/v", second)) std::swap(first, second);
    }
    auto one(std::string const& name, version_state state, bool known = true)->std::vector<rollout_peer>
    {
        auto peer = rollout_peer{};
        peer.name = name;
        peer.known = known;
        peer.state = state;
        return {peer};
    }
};

// Guards against two hosts of a failure domain that are out of service for a load at the same time.
TEST(weights_rollout, later_ranked_host_waits_and_gives_its_slot_back)
{
    using state = version_state;
    CHECK(decide_rollout("m/v", first, one(second, state::verified), 1) == rollout_decision::proceed);
    CHECK(decide_rollout("m/v", second, one(first, state::verified), 1) == rollout_decision::wait);
    CHECK(decide_rollout("m/v", first, one(second, state::loading), 1) == rollout_decision::wait);
    CHECK(keeps_slot("m/v", first, one(second, state::loading), 1));
    CHECK(!keeps_slot("m/v", second, one(first, state::loading), 1));
    CHECK(decide_rollout("m/v", second, one(first, state::loading), 2) == rollout_decision::proceed);
}

// Guards against a rollout that waits for a host that is not ready to load, or ignores an unreachable one.
TEST(weights_rollout, transferring_host_takes_no_slot_but_unreachable_host_does)
{
    using state = version_state;
    CHECK(decide_rollout("m/v", second, one(first, state::transferring), 1) == rollout_decision::proceed);
    CHECK(decide_rollout("m/v", second, one(first, state::active), 1) == rollout_decision::proceed);
    CHECK(decide_rollout("m/v", second, one(first, state::declared, false), 1) == rollout_decision::wait);
}

// Guards against a bad version that takes one host after another out of service.
TEST(weights_rollout, failed_load_on_another_host_stops_the_rollout)
{
    auto peers = one(second, version_state::failed);
    peers.front().load_failed = true;
    CHECK(decide_rollout("m/v", first, peers, 4) == rollout_decision::stop);
}

TEST_GROUP(weights_version) { version_machine machine; };

TEST(weights_version, goes_from_declared_to_active_and_back_to_verified_when_weights_are_lost)
{
    using event = version_event;
    CHECK(machine.state() == version_state::declared);
    CHECK(machine.on(event::transfer_begun));
    CHECK(machine.on(event::transfer_verified));
    CHECK(machine.on(event::load_begun));
    CHECK(machine.on(event::load_deferred));
    CHECK(machine.on(event::load_begun));
    CHECK(machine.on(event::load_confirmed));
    CHECK(machine.state() == version_state::active);
    CHECK(machine.on(event::weights_lost));
    CHECK(machine.state() == version_state::verified);
}

// Guards against an order to load weights that are not completely verified.
TEST(weights_version, cannot_load_before_the_version_is_verified)
{
    CHECK(!machine.on(version_event::load_begun));
    CHECK(machine.on(version_event::transfer_begun));
    CHECK(!machine.on(version_event::load_begun));
    CHECK(machine.on(version_event::given_up));
    CHECK(machine.state() == version_state::failed);
    CHECK(!machine.on(version_event::load_begun));
    CHECK(machine.on(version_event::retried));
    CHECK(machine.state() == version_state::declared);
}
