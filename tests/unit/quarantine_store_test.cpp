// Quarantined segments in the store: the format of the values, which entry writes when, and the loop against
// a stand-in store.
#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/fleet/quarantine_document.hpp"
#include "hibiscuswall/fleet/quarantine_store.hpp"

#include "support/fake_store.hpp"
#include "support/run_coroutine.hpp"
#include "support/test_process.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto quarantined_record(std::string const& segment, time_point at) -> segment_record
{
    return {"m", segment, {{17, 1, false, at}, {18, 2, false, at}, {19, 3, false, at}}};
}

} // namespace

// ---- values

TEST_GROUP(quarantine_document)
{
    time_point now{seconds{1'000}};

    auto is_decoded(std::string const& value)->bool
    {
        return decode_quarantine(quarantine_key("m", "s-1"), value, now).has_value();
    }
};

TEST(quarantine_document, a_value_is_decoded_as_it_was_encoded_and_counts_as_observed_now)
{
    auto record = quarantined_record("s-1", time_point{});
    record.marks[0].run = ~std::uint64_t{0};
    record.marks[0].cleared = true;
    auto const key = quarantine_key("m", "s-1");
    auto const decoded = decode_quarantine(key, *encode_quarantine(record), now);
    CHECK(decoded.has_value());
    STRCMP_EQUAL("m", decoded->model.c_str());
    STRCMP_EQUAL("s-1", decoded->segment.c_str());
    CHECK_EQUAL(3U, decoded->marks.size());
    CHECK(decoded->marks[0].run == ~std::uint64_t{0});
    CHECK(decoded->marks[0].cleared);
    CHECK(decoded->marks[2].observed_at == now);
    CHECK_EQUAL(3, highest_generation(*decoded));
}

TEST(quarantine_document, keys_are_distinct_and_short_whatever_the_names)
{
    auto const long_name = std::string(5'000, 'x');
    CHECK(quarantine_key(long_name, long_name).size() <= 200);
    CHECK(quarantine_key("a", "bc") != quarantine_key("ab", "c"));
    CHECK(quarantine_key("a", "b") != quarantine_key("b", "a"));
}

TEST(quarantine_document, names_that_are_not_utf8_cannot_be_stored)
{
    CHECK_FALSE(encode_quarantine(quarantined_record("s\xff", now)).has_value());
}

TEST(quarantine_document, malformed_values_are_not_decoded)
{
    auto const with_marks = [](std::string const& marks) {
        return R"({"model":"m","segment":"s-1","marks":)" + marks + "}";
    };
    CHECK(is_decoded(with_marks(R"([{"run":1,"generation":3,"cleared":false}])")));
    CHECK_FALSE(is_decoded(""));
    CHECK_FALSE(is_decoded("[]"));
    CHECK_FALSE(is_decoded(std::string(10'000, '[')));
    CHECK_FALSE(is_decoded(with_marks("[]")));
    CHECK_FALSE(is_decoded(with_marks(R"({"run":1,"generation":3,"cleared":false})")));
    CHECK_FALSE(is_decoded(with_marks("[7]")));
    CHECK_FALSE(is_decoded(with_marks(R"([{"run":-1,"generation":3,"cleared":false}])")));
    CHECK_FALSE(is_decoded(with_marks(R"([{"run":1,"generation":0,"cleared":false}])")));
    CHECK_FALSE(is_decoded(with_marks(R"([{"run":1,"generation":1e9,"cleared":false}])")));
    CHECK_FALSE(is_decoded(with_marks(R"([{"run":1,"generation":3,"cleared":"no"}])")));
    CHECK_FALSE(is_decoded(with_marks(R"([{"generation":3,"cleared":false}])")));
    auto marks = std::string{R"([{"run":1,"generation":3,"cleared":false})"};
    for (auto i = 0; i < 16; ++i)
        marks += R"(,{"run":1,"generation":3,"cleared":false})";
    CHECK_FALSE(is_decoded(with_marks(marks + "]")));
    // A value under the key of another segment.
    CHECK_FALSE(
        is_decoded(R"({"model":"m","segment":"s-2","marks":[{"run":1,"generation":3,"cleared":false}]})"));
}

// ---- which entry writes when

TEST_GROUP(quarantine_plan)
{
    time_point now{seconds{1'000}};
    std::string key = quarantine_key("m", "s-1");
    std::vector<std::string> names{"e1", "e2", "e3"};
    std::vector<std::string> ranked = rendezvous_rank(key, names);
    quarantine_plan first{ranked[0]};
    quarantine_plan third{ranked[2]};

    void setup() override
    {
        first.set_entries(names);
        third.set_entries(names);
    }

    auto step_of(quarantine_plan & plan, segment_state state, int generation = 3)->std::optional<store_step>
    {
        auto const status = segment_status{"m", "s-1", state, generation};
        return plan.next_step({&status, 1}, now);
    }
};

TEST(quarantine_plan, the_entry_of_rank_n_writes_n_seconds_after_the_verdict)
{
    auto const step = step_of(first, segment_state::quarantined);
    CHECK(step.has_value());
    auto const write = std::get<store_write>(*step);
    STRCMP_EQUAL(key.c_str(), write.key.c_str());
    CHECK_EQUAL(0U, write.expect);
    CHECK_FALSE(step_of(third, segment_state::quarantined).has_value());
    now += milliseconds{1'999};
    CHECK_FALSE(step_of(third, segment_state::quarantined).has_value());
    now += milliseconds{1};
    CHECK(step_of(third, segment_state::quarantined).has_value());
}

TEST(quarantine_plan, only_quarantined_segments_are_written)
{
    CHECK_FALSE(step_of(first, segment_state::suspected, 1).has_value());
    CHECK_FALSE(step_of(first, segment_state::on_trial).has_value());
    CHECK_FALSE(step_of(first, segment_state::explained).has_value());
    CHECK_FALSE(step_of(first, segment_state::cleared, 0).has_value());
    // A verdict that was withdrawn meanwhile starts the delay anew.
    CHECK_FALSE(step_of(third, segment_state::quarantined).has_value());
    now += seconds{1};
    CHECK_FALSE(step_of(third, segment_state::on_trial).has_value());
    now += seconds{1};
    CHECK_FALSE(step_of(third, segment_state::quarantined).has_value());
}

TEST(quarantine_plan, a_verdict_is_written_once)
{
    CHECK(step_of(first, segment_state::quarantined).has_value());
    CHECK(step_of(first, segment_state::quarantined).has_value()); // until the outcome is known
    first.on_written(key, 3, 41);
    CHECK_FALSE(step_of(first, segment_state::quarantined).has_value());
    // The store says less than a later verdict.
    auto const step = step_of(first, segment_state::quarantined, 4);
    CHECK_EQUAL(41U, std::get<store_write>(*step).expect);
}

TEST(quarantine_plan, a_verdict_that_was_read_from_the_store_is_not_written)
{
    first.on_read({{key, stored_quarantine{3, 41}}});
    CHECK_FALSE(step_of(first, segment_state::quarantined).has_value());
    CHECK_FALSE(step_of(first, segment_state::on_trial).has_value()); // nor removed
}

TEST(quarantine_plan, a_verdict_that_another_entry_wrote_first_counts_as_stored)
{
    first.on_conflict(std::get<store_write>(*step_of(first, segment_state::quarantined)));
    CHECK_FALSE(step_of(first, segment_state::quarantined).has_value());
    // To change it later, its revision has to be read.
    CHECK(std::holds_alternative<store_lookup>(*step_of(first, segment_state::quarantined, 4)));
    first.on_found(key, stored_quarantine{3, 50});
    CHECK_EQUAL(50U, std::get<store_write>(*step_of(first, segment_state::quarantined, 4)).expect);
    first.on_conflict(std::get<store_write>(*step_of(first, segment_state::quarantined, 4)));
    CHECK(std::holds_alternative<store_lookup>(*step_of(first, segment_state::quarantined, 4)));
    first.on_found(key, stored_quarantine{4, 51});
    CHECK_FALSE(step_of(first, segment_state::quarantined, 4).has_value());
}

TEST(quarantine_plan, a_cleared_segment_is_removed_by_rank)
{
    first.on_written(key, 3, 41);
    third.on_read({{key, stored_quarantine{3, 41}}});
    auto const step = step_of(first, segment_state::cleared, 0);
    CHECK_EQUAL(41U, std::get<store_removal>(*step).expect);
    CHECK_FALSE(step_of(third, segment_state::cleared, 0).has_value());
    now += seconds{2};
    auto const later = step_of(third, segment_state::cleared, 0);
    third.on_conflict(std::get<store_removal>(*later));
    CHECK(third.empty());
    first.on_removed(key);
    CHECK(first.empty());
    CHECK_FALSE(step_of(first, segment_state::cleared, 0).has_value());
}

TEST(quarantine_plan, a_segment_that_was_forgotten_is_removed_and_one_that_was_never_known_is_not)
{
    first.on_read({{key, stored_quarantine{3, 41}}});
    CHECK_FALSE(first.next_step({}, now).has_value()); // the quarantine had no room for it
    CHECK_FALSE(step_of(first, segment_state::on_trial).has_value());
    auto const step = first.next_step({}, now);
    CHECK(std::holds_alternative<store_removal>(*step));
    first.on_conflict(std::get<store_removal>(*step));
    CHECK_FALSE(first.next_step({}, now).has_value());
}

// ---- the loop

namespace {

auto fast_settings() -> quarantine_store_settings
{
    auto settings = quarantine_store_settings{};
    settings.check_interval = milliseconds{20};
    settings.retry_delay = milliseconds{100};
    settings.settled_time = milliseconds{200};
    settings.plan.rank_delay = milliseconds{100};
    return settings;
}

} // namespace

TEST_GROUP(quarantine_store)
{
    struct storing_entry {
        prompt_quarantine quarantine;
        int changes = 0;
        quarantine_store kept;

        storing_entry(key_value_client& store, random_source& random, std::string const& name)
            : quarantine{{}, name}, kept{store,          random, name, quarantine, [this] { ++changes; },
                                         fast_settings()}
        {
            kept.set_entries({"e1", "e2"});
        }
    };

    asio::io_context io;
    fake_store store{io};
    timeline events{"entry", 16};
    http_client client{io, &events};
    random_source random{3};
    key_value_client kv{client, {store.where}, milliseconds{300}};
    std::string key = quarantine_key("m", "s-1");
    storing_entry one{kv, random, "e1"};
    storing_entry two{kv, random, "e2"};

    auto start(storing_entry & entry)->void { asio::co_spawn(io, entry.kept.run(), asio::detached); }

    static auto is_quarantined(storing_entry const& entry)->bool
    {
        auto const statuses = entry.quarantine.status(clock::now());
        return statuses.size() == 1 && statuses[0].state == segment_state::quarantined;
    }

    static auto judge(storing_entry & entry)->void
    {
        auto const record = quarantined_record("s-1", clock::now());
        CHECK(entry.quarantine.merge({&record, 1}, clock::now()));
        CHECK(is_quarantined(entry));
    }

    auto put(segment_record const& record)->void
    {
        auto written = kv.put(quarantine_key(record.model, record.segment), *encode_quarantine(record), 0);
        CHECK(run_coroutine(io, std::move(written)).has_value());
    }

    auto run_until(milliseconds bound, std::function<bool()> const& condition)->bool
    {
        auto const end = clock::now() + bound;
        io.restart();
        while (!condition() && clock::now() < end)
            io.run_one_for(milliseconds{5});
        return condition();
    }

    auto run_for(milliseconds time)->void
    {
        std::ignore = run_until(time, [] { return false; });
    }

    auto is_stored()->bool { return store.entries.contains(key); }
};

TEST(quarantine_store, a_verdict_is_written_and_read_by_an_entry_that_starts)
{
    start(one);
    judge(one);
    CHECK(run_until(seconds{4}, [&] { return is_stored(); }));
    start(two);
    CHECK(run_until(seconds{2}, [&] { return is_quarantined(two); }));
    CHECK_EQUAL(1, two.changes);
    run_for(milliseconds{200});
    CHECK_EQUAL(1, store.writes[key]);
}

TEST(quarantine_store, a_verdict_that_every_entry_has_is_written_once)
{
    start(one);
    start(two);
    judge(one);
    judge(two);
    CHECK(run_until(seconds{2}, [&] { return is_stored(); }));
    run_for(milliseconds{300});
    CHECK_EQUAL(1, store.writes[key]);
}

TEST(quarantine_store, a_cleared_segment_is_removed)
{
    start(one);
    judge(one);
    CHECK(run_until(seconds{4}, [&] { return is_stored(); }));
    CHECK(one.quarantine.clear("m", "s-1", clock::now()));
    CHECK(run_until(seconds{4}, [&] { return !is_stored(); }));
    run_for(milliseconds{200});
    CHECK_FALSE(is_stored());
}

// The store is unavailable when the entry starts.
TEST(quarantine_store, the_first_read_is_retried)
{
    put(quarantined_record("s-1", clock::now()));
    store.down = true;
    start(one);
    run_for(milliseconds{200});
    CHECK_FALSE(is_quarantined(one));
    store.down = false;
    CHECK(run_until(seconds{3}, [&] { return is_quarantined(one); }));
}

// Guards against a verdict that is lost because the store was unavailable when it was due.
TEST(quarantine_store, a_verdict_during_an_outage_is_written_after_it)
{
    start(one);
    run_for(milliseconds{300});
    store.down = true;
    judge(one);
    run_for(milliseconds{400});
    CHECK_FALSE(is_stored());
    store.down = false;
    CHECK(run_until(seconds{3}, [&] { return is_stored(); }));
}

TEST(quarantine_store, after_an_outage_the_store_is_read_once_again)
{
    start(one);
    CHECK(run_until(seconds{2}, [&] { return store.calls["list"] == 1; }));
    store.down = true;
    std::ignore = run_coroutine(io, kv.find("op/config"));
    store.down = false;
    put(quarantined_record("s-1", clock::now()));
    CHECK(run_until(seconds{4}, [&] { return is_quarantined(one); }));
    run_for(milliseconds{400});
    CHECK_EQUAL(2U, store.calls["list"]);
}

TEST(quarantine_store, values_that_cannot_be_read_are_passed_over)
{
    CHECK(run_coroutine(io, kv.put("quarantine/x", "{", std::nullopt)).has_value());
    put(quarantined_record("s-1", clock::now()));
    start(one);
    CHECK(run_until(seconds{2}, [&] { return is_quarantined(one); }));
}
