// Exchanges between processes: wire format, size, byte budget, and the schedule for reading the host list.
#include "hibiscuswall/membership/exchange_budget.hpp"
#include "hibiscuswall/membership/exchange_message.hpp"
#include "hibiscuswall/membership/host_list_schedule.hpp"

#include "support/mutation.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto sample_member(int number) -> member
{
    auto made = member{};
    made.name = "host-" + std::to_string(number);
    made.control_address = address{"10.1.2.3", static_cast<unsigned short>(1000 + number)};
    made.region = "gorenjska";
    made.failure_domain = "gor-a";
    made.service = "drafting";
    made.incarnation = 1'796'377'000'000 + static_cast<std::uint64_t>(number);
    made.state = member_state::leaving;
    made.config_revision = 3500;
    return made;
}

auto sample_message(int members) -> exchange_message
{
    auto message = exchange_message{};
    message.from = sample_member(1);
    message.to = recipient_view{"host-2", 17, member_state::suspect};
    message.config_revision = 3501;
    message.confirmed_age = milliseconds{250};
    message.digest = 0xfedcba9876543210U;
    for (auto i = 0; i < members; ++i)
        message.members.push_back(sample_member(i));
    return message;
}

} // namespace

TEST_GROUP(exchange_message){};

TEST(exchange_message, decodes_to_the_encoded_values)
{
    auto const read = decode_exchange(encode(sample_message(3)));
    CHECK(read.has_value());
    STRCMP_EQUAL("10.1.2.3:1001", read->from->control_address.text().c_str());
    STRCMP_EQUAL("gorenjska", read->from->region.c_str());
    STRCMP_EQUAL("gor-a", read->from->failure_domain.c_str());
    STRCMP_EQUAL("drafting", read->from->service.c_str());
    CHECK(read->from->role == member_role::agent);
    CHECK(read->from->state == member_state::leaving);
    CHECK_EQUAL(1'796'377'000'001U, read->from->incarnation);
    CHECK_EQUAL(3500U, read->from->config_revision);
    STRCMP_EQUAL("host-2", read->to->name.c_str());
    CHECK_EQUAL(17U, read->to->incarnation);
    CHECK(read->to->state == member_state::suspect);
    CHECK_EQUAL(3501U, read->config_revision);
    CHECK_EQUAL(250, read->confirmed_age->count());
    CHECK(read->digest == 0xfedcba9876543210U);
    CHECK_EQUAL(3U, read->members.size());
}

TEST(exchange_message, decodes_message_without_sender_recipient_and_age)
{
    auto const read = decode_exchange(encode(exchange_message{}));
    CHECK(read.has_value());
    CHECK(!read->from && !read->to && !read->confirmed_age && read->members.empty());
}

// Guards against growing exchanges: all control traffic of a process is limited to 4 KB per second.
TEST(exchange_message, stays_within_size_limits)
{
    CHECK(encode(sample_message(0)).size() <= 128);
    CHECK(encode(sample_message(8)).size() <= 768);
    CHECK(encode(sample_message(1000)).size() <= max_exchange_bytes);
}

// Guards against a stack overflow: the CBOR parser recurses into each level of nesting.
TEST(exchange_message, rejects_deep_nesting_and_large_bodies)
{
    CHECK(!decode_exchange(std::string(max_exchange_bytes, '\x81')));
    CHECK(!decode_exchange(std::string(max_exchange_bytes, '\x9f')));
    CHECK(!decode_exchange(std::string(max_exchange_bytes, '\x7f')));
    CHECK(!decode_exchange(std::string("\x9b\x00\x00\x00\xff\xff\xff\xff\xff", 9)));
    auto padded = encode(sample_message(0));
    padded.resize(max_exchange_bytes + 1);
    CHECK(!decode_exchange(padded));
}

TEST(exchange_message, rejects_unknown_states_and_versions_and_ignores_invalid_age)
{
    auto array = nlohmann::json::from_cbor(encode(sample_message(1)));
    auto const is_rejected = [&](auto change) {
        auto changed = array;
        change(changed);
        auto text = std::string{};
        nlohmann::json::to_cbor(changed, text);
        return !decode_exchange(text);
    };
    CHECK(!is_rejected([](auto&) {}));
    CHECK(is_rejected([](auto& body) { body[0] = 2; }));
    CHECK(is_rejected([](auto& body) { body[1][7] = 4; }));
    CHECK(is_rejected([](auto& body) { body[1][2] = "nowhere"; }));
    CHECK(is_rejected([](auto& body) { body[3] = "x"; }));
    CHECK(is_rejected([](auto& body) { body[3] = 1e300; }));
    CHECK(is_rejected([](auto& body) { body[3] = -1; }));
    CHECK(is_rejected([](auto& body) { body[1][6] = 1e300; }));
    CHECK(is_rejected([](auto& body) { body.push_back(1); }));
    array[4] = -5;
    auto text = std::string{};
    nlohmann::json::to_cbor(array, text);
    CHECK(!decode_exchange(text)->confirmed_age);
}

// Guards against malformed input that makes the process crash, hang or end with an exception.
TEST(exchange_message, does_not_crash_on_mutated_input)
{
    auto const seeds = std::vector<std::string>{encode(sample_message(0)), encode(sample_message(3)),
                                                encode(exchange_message{})};
    for_each_mutation(seeds, 3000, 20261204UL, [](std::string const& text) {
        if (auto const read = decode_exchange(text)) static_cast<void>(encode(*read));
    });
}

TEST_GROUP(exchange_budget)
{
    time_point now{seconds{100}};
    exchange_budget budget{1'000};
};

// Guards against a burst of changes that raises traffic above its limit.
TEST(exchange_budget, limits_early_exchanges_to_its_rate)
{
    auto sent = 0;
    for (auto i = 0; i < 600; ++i, now += milliseconds{100})
        if (budget.allows(now)) {
            budget.spend(700, now);
            sent += 700;
        }
    CHECK(sent <= 60 * 1'000 + 4'000 + 700);
    CHECK(sent >= 60 * 1'000);
}

TEST(exchange_budget, allows_exchanges_again_soon_after_large_debt)
{
    budget.spend(1'000'000, now);
    CHECK(!budget.allows(now));
    CHECK(budget.allows(now + milliseconds{4'100}));
}

TEST_GROUP(host_list_schedule){};

// Guards against quadratic load on the host list: its size and the number of its readers both grow with the
// number of hosts.
TEST(host_list_schedule, reads_less_often_with_more_hosts)
{
    auto const mean_ms = [](std::size_t live, std::size_t in_failure_domain) {
        return host_list_delay(milliseconds{2'000}, {live, live, 0, in_failure_domain}, 0.5).count();
    };
    CHECK_EQUAL(2'000, mean_ms(0, 0));
    CHECK_EQUAL(6'000, mean_ms(7, 2));
    CHECK_EQUAL(1'780'000, mean_ms(7119, 889));
    CHECK_EQUAL(1'780'000, mean_ms(7119, 3)); // a small failure domain in a large deployment
}

// Guards against processes with the same seed that all read the list at the same time: a leaving host was
// noticed only after 7 s.
TEST(host_list_schedule, spreads_reads_of_processes_with_same_seed)
{
    auto fractions = std::vector<double>{};
    for (auto i = 0; i < 100; ++i)
        fractions.push_back(host_list_fraction(0.7, "host-" + std::to_string(i)));
    std::sort(fractions.begin(), fractions.end());
    CHECK(fractions.front() >= 0.0 && fractions.back() < 1.0);
    for (auto i = std::size_t{1}; i < fractions.size(); ++i)
        CHECK(fractions[i] - fractions[i - 1] < 0.15);
}
