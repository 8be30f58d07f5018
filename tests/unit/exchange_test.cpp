// Exchanges between processes: wire form, bytes, and when the host list is read.
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
    message.to = addressee{"host-2", 17, member_state::suspect};
    message.config_revision = 3501;
    message.confirmed_age = milliseconds{250};
    message.digest = 0xfedcba9876543210U;
    for (auto i = 0; i < members; ++i)
        message.members.push_back(sample_member(i));
    return message;
}

} // namespace

TEST_GROUP(exchange_message){};

TEST(exchange_message, is_read_as_it_was_written)
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

TEST(exchange_message, may_leave_out_sender_addressee_and_age)
{
    auto const read = decode_exchange(encode(exchange_message{}));
    CHECK(read.has_value());
    CHECK(!read->from && !read->to && !read->confirmed_age && read->members.empty());
}

// Guards against exchanges whose bytes grow: 4 KB a second hold for all control traffic of a process.
TEST(exchange_message, stays_small)
{
    CHECK(encode(sample_message(0)).size() <= 128);
    CHECK(encode(sample_message(8)).size() <= 768);
    CHECK(encode(sample_message(1000)).size() <= exchange_bytes_limit);
}

// Guards against a stack overflow: the CBOR parser follows nesting by recursion.
TEST(exchange_message, refuses_deep_nesting_and_large_bodies)
{
    CHECK(!decode_exchange(std::string(exchange_bytes_limit, '\x81')));
    CHECK(!decode_exchange(std::string(exchange_bytes_limit, '\x9f')));
    CHECK(!decode_exchange(std::string(exchange_bytes_limit, '\x7f')));
    CHECK(!decode_exchange(std::string("\x9b\x00\x00\x00\xff\xff\xff\xff\xff", 9)));
    auto padded = encode(sample_message(0));
    padded.resize(exchange_bytes_limit + 1);
    CHECK(!decode_exchange(padded));
}

TEST(exchange_message, refuses_unknown_states_versions_and_ages)
{
    auto array = nlohmann::json::from_cbor(encode(sample_message(1)));
    auto const refused = [&](auto change) {
        auto changed = array;
        change(changed);
        auto text = std::string{};
        nlohmann::json::to_cbor(changed, text);
        return !decode_exchange(text);
    };
    CHECK(!refused([](auto&) {}));
    CHECK(refused([](auto& body) { body[0] = 2; }));
    CHECK(refused([](auto& body) { body[1][7] = 4; }));
    CHECK(refused([](auto& body) { body[1][2] = "nowhere"; }));
    CHECK(refused([](auto& body) { body[3] = "x"; }));
    CHECK(refused([](auto& body) { body.push_back(1); }));
    array[4] = -5;
    auto text = std::string{};
    nlohmann::json::to_cbor(array, text);
    CHECK(!decode_exchange(text)->confirmed_age);
}

// Guards against a crash, a hang or an exception that would end the process on malformed input.
TEST(exchange_message, survives_mutations)
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

// Guards against a storm of changes that drives traffic over its bound.
TEST(exchange_budget, holds_early_exchanges_to_its_rate)
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

TEST(exchange_budget, is_back_soon_after_regular_exchanges_overdrew_it)
{
    budget.spend(1'000'000, now);
    CHECK(!budget.allows(now));
    CHECK(budget.allows(now + milliseconds{4'100}));
}

TEST_GROUP(host_list_schedule){};

// Guards against reads of a list that grows with the fleet by processes that grow with the fleet.
TEST(host_list_schedule, reads_less_often_in_a_larger_fleet)
{
    auto const mean_ms = [](std::size_t live, std::size_t in_failure_domain) {
        return host_list_delay(milliseconds{2'000}, {live, live, 0, in_failure_domain}, 0.5).count();
    };
    CHECK_EQUAL(2'000, mean_ms(0, 0));
    CHECK_EQUAL(6'000, mean_ms(7, 2));
    CHECK_EQUAL(1'780'000, mean_ms(7119, 889));
    CHECK_EQUAL(1'780'000, mean_ms(7119, 3)); // a small failure domain in a large fleet
}

// Guards against processes of one seed that all read the list at the same time: a leaving host was noticed
// after 7 s.
TEST(host_list_schedule, spreads_processes_of_one_seed)
{
    auto parts = std::vector<double>{};
    for (auto i = 0; i < 100; ++i)
        parts.push_back(host_list_part(0.7, "host-" + std::to_string(i)));
    std::sort(parts.begin(), parts.end());
    CHECK(parts.front() >= 0.0 && parts.back() < 1.0);
    for (auto i = std::size_t{1}; i < parts.size(); ++i)
        CHECK(parts[i] - parts[i - 1] < 0.15);
}
