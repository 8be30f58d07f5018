// How entries tell each other of an endpoint's rate limit and divide it: several entries' tables with
// datagrams between them, encoded and decoded. No network, made-up time.
#include "hibiscuswall/fleet/rate_coordination.hpp"
#include "hibiscuswall/serving/placement.hpp"

#include <deque>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto address_of(int entry) -> address { return {"10.1.0." + std::to_string(entry + 1), 7'000}; }

auto record_of_endpoint() -> endpoint_record
{
    auto made = endpoint_record{};
    made.id = "i-1";
    made.service = "s";
    made.where = {"10.0.0.1", 80};
    made.failure_domain = "north-a";
    made.slots = 16;
    made.started_at_ms = 17;
    return made;
}

struct simulated_entry {
    random_source random;
    endpoint_table table;
    rate_coordination coordination;

    simulated_entry(int number, rate_coordination::send_function send)
        : random{static_cast<std::uint64_t>(number) + 1}, table{{},
                                                                {{"north-a", "north"}},
                                                                "e" + std::to_string(number),
                                                                random},
          coordination{"e" + std::to_string(number), table, random, std::move(send)}
    {
    }

    [[nodiscard]] auto endpoint() const -> tracked_endpoint& { return *table.all().at("i-1"); }
};

} // namespace

TEST_GROUP(rate_coordination)
{
    struct sent_datagram {
        int from = 0;
        address to;
        std::string bytes;
    };

    static constexpr auto entries = 4;
    time_point now{seconds{1'000}};
    std::vector<std::unique_ptr<simulated_entry>> fleet;
    std::deque<sent_datagram> under_way;

    void setup() override
    {
        auto listed = std::vector<listed_entry>{};
        for (auto i = 0; i < entries; ++i)
            listed.push_back({"e" + std::to_string(i), "north", address_of(i)});
        for (auto i = 0; i < entries; ++i) {
            fleet.push_back(
                std::make_unique<simulated_entry>(i, [this, i](std::string const& bytes, address const& to) {
                    under_way.push_back({i, to, bytes});
                }));
            auto& entry = *fleet.back();
            entry.table.on_rate_change([&entry, this](tracked_endpoint& endpoint, std::optional<double>,
                                                      endpoint_table::rate_source source) {
                if (source == endpoint_table::rate_source::response)
                    entry.coordination.tell_all(endpoint, now);
            });
            entry.table.set_entries(listed, 0);
            entry.table.add_or_update(record_of_endpoint(), now);
            entry.table.update_assignment(now);
            entry.coordination.set_entries(listed);
        }
    }

    // Delivers what is under way, but what comes from these entries or goes to them.
    auto deliver(std::vector<int> const& cut = {})->void
    {
        auto const is_cut = [&](int entry) { return std::find(cut.begin(), cut.end(), entry) != cut.end(); };
        for (; !under_way.empty(); under_way.pop_front()) {
            auto const sent = under_way.front();
            for (auto i = 0; i < entries; ++i) {
                if (!(address_of(i) == sent.to) || is_cut(i) || is_cut(sent.from)) continue;
                auto const message = decode_datagram(sent.bytes);
                CHECK(message.has_value());
                auto& coordination = fleet[static_cast<std::size_t>(i)]->coordination;
                if (auto const* report = std::get_if<rate_report>(&*message))
                    coordination.on_report(*report, address_of(sent.from), now);
                if (auto const* notice = std::get_if<rate_notice>(&*message))
                    std::ignore = coordination.on_notice(*notice, now);
            }
        }
    }

    // Time passes. Every entry that is not cut off sends what it may.
    auto run(int ms, std::vector<int> const& cut = {})->std::vector<int>
    {
        auto sent = std::vector<int>(entries);
        for (auto passed = 0; passed < ms; passed += 50) {
            now += milliseconds{50};
            for (auto i = 0; i < entries; ++i) {
                auto& entry = *fleet[static_cast<std::size_t>(i)];
                entry.endpoint().share.record_demand(now);
                entry.coordination.run_round(now);
                while (entry.endpoint().share.is_limited() && entry.endpoint().share.take(now))
                    ++sent[static_cast<std::size_t>(i)];
            }
            deliver(cut);
        }
        return sent;
    }

    static auto sum(std::vector<int> const& counts)->int
    {
        auto total = 0;
        for (auto const each : counts)
            total += each;
        return total;
    }

    auto hear(int entry, rate_statement const& stated)->void
    {
        auto& each = *fleet[static_cast<std::size_t>(entry)];
        each.table.record_rate(each.endpoint(), stated, now, now);
    }

    auto divider()->int { return std::atoi(fleet[0]->endpoint().rate_divider.substr(1).c_str()); }
};

// Guards against a limit that only the entry which heard it keeps to.
TEST(rate_coordination, all_senders_know_a_limit_as_soon_as_one_has_heard_it_and_share_it)
{
    hear(2, rate_limit{4.0});
    deliver();
    for (auto const& entry : fleet) {
        CHECK(entry->endpoint().rate.limit() == 4.0);
        STRCMP_EQUAL(fleet[0]->endpoint().rate_divider.c_str(), entry->endpoint().rate_divider.c_str());
    }
    std::ignore = run(2'000);
    auto const sent = run(10'000);
    CHECK(sum(sent) >= 36);
    CHECK(sum(sent) <= 44);
    for (auto const each : sent)
        CHECK(each >= 5); // equal demand
}

TEST(rate_coordination, the_end_of_a_limit_reaches_all_senders)
{
    hear(2, rate_limit{4.0});
    std::ignore = run(1'000);
    now += milliseconds{10};
    hear(1, no_rate_limit{});
    now += milliseconds{400};
    hear(1, no_rate_limit{});
    std::ignore = run(400);
    hear(1, no_rate_limit{}); // a request that was sent later than any datagram can have been on its way
    std::ignore = run(500);
    for (auto const& entry : fleet)
        CHECK(!entry->endpoint().share.is_limited());
}

// Guards against an endpoint that nobody calls any more, or all call as they like, once the divider is away.
TEST(rate_coordination, while_the_divider_is_cut_off_each_sender_keeps_to_its_part)
{
    hear(0, rate_limit{10.0});
    std::ignore = run(3'000);
    auto const away = divider();
    auto const first = run(4'000, {away});
    CHECK(sum(first) <= 45);
    auto const later = run(10'000, {away});
    CHECK(sum(later) >= 30);
    CHECK(sum(later) <= 100);
    for (auto i = 0; i < entries; ++i)
        CHECK(later[static_cast<std::size_t>(i)] > 0);
    std::ignore = run(2'000);
    auto const again = run(10'000);
    CHECK(sum(again) >= 90);
    CHECK(sum(again) <= 112);
}

// Guards against a message that a faulty or foreign sender makes up.
TEST(rate_coordination, malformed_messages_are_refused)
{
    auto const good = rate_report{
        {{"10.0.0.1", 80}, 17}, {2.0, milliseconds{5}, milliseconds{-1}}, {"e1", 3.0, 2, 9, 4, 3, 0}, 55};
    auto const decoded = decode_datagram(encode(good));
    CHECK(decoded.has_value());
    auto const& report = std::get<rate_report>(*decoded);
    STRCMP_EQUAL("e1", report.sender.sender.c_str());
    CHECK_EQUAL(4, report.sender.ended);
    CHECK_EQUAL(55, report.sent_at_us);
    DOUBLES_EQUAL(2.0, report.known.calls_per_second, 0);

    auto bad = good;
    bad.sender.demand = -1;
    CHECK(!decode_datagram(encode(bad)));
    bad = good;
    bad.sender.demand = 1e30;
    CHECK(!decode_datagram(encode(bad)));
    bad = good;
    bad.sender.used = 5; // more than ended
    CHECK(!decode_datagram(encode(bad)));
    bad = good;
    bad.sender.sender = "";
    CHECK(!decode_datagram(encode(bad)));
    bad = good;
    bad.known.calls_per_second = -2;
    CHECK(!decode_datagram(encode(bad)));

    for (auto const age : {std::numeric_limits<std::int64_t>::min(), std::int64_t{-2},
                           std::numeric_limits<std::int64_t>::max()}) {
        bad = good;
        bad.known.named_age = milliseconds{age};
        CHECK(!decode_datagram(encode(bad)));
        bad = good;
        bad.sent_at_us = age;
        CHECK(decode_datagram(encode(bad)).has_value() == (age == -2));
    }

    auto notice = rate_notice{good.endpoint, good.known, "e2", rate_grant{1, 5, 2, 1.0}, 10, 20};
    auto const taken = decode_datagram(encode(notice));
    CHECK(taken.has_value());
    CHECK_EQUAL(5, std::get<rate_notice>(*taken).grant->granted);
    notice.grant->recalled = 6;
    CHECK(!decode_datagram(encode(notice)));
}

// Guards against a grant that another process than the divider makes up, or that answers another report.
TEST(rate_coordination, grants_count_only_from_the_divider_and_for_a_report_of_this_process)
{
    hear(0, rate_limit{4.0});
    deliver();
    auto const sender = (divider() + 1) % entries;
    auto& entry = *fleet[static_cast<std::size_t>(sender)];
    auto notice = rate_notice{{{"10.0.0.1", 80}, 17},
                              {4.0, milliseconds{0}, milliseconds{-1}},
                              "e9",
                              rate_grant{1, 50, 0, 1.0},
                              0,
                              0};
    notice.echoed_sent_at_us = std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
    CHECK(!entry.coordination.on_notice(notice, now));
    notice.entry = "e" + std::to_string(divider());
    notice.echoed_sent_at_us += 5'000'000;
    CHECK(!entry.coordination.on_notice(notice, now));
    CHECK_EQUAL(0, entry.endpoint().share.available(now));
}
