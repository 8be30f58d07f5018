// Datagrams between daemons: encoding and decoding preserve every field, and other bytes are rejected.
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto sample() -> load_report
{
    auto report = load_report{};
    report.where = {"10.0.0.1", 80};
    report.started_at_ms = 17;
    report.running = 12;
    report.queued = 3;
    report.slowdown = 1.5;
    report.weights = loaded_weights{"m", 4, 0, 16};
    report.paused = true;
    report.subscriber_count = 6;
    report.same_region_entries = {"e1", "e2"};
    report.operator_revision = 99;
    report.most_current_peer = address{"10.0.0.9", 7700};
    report.shed_level = 0.5;
    report.leaving = true;
    report.records_revision = 41;
    return report;
}

} // namespace

TEST_GROUP(load_datagram){};

TEST(load_datagram, each_kind_is_decoded_as_it_was_encoded)
{
    auto const message = decode_datagram(encode_for_subscriber(encode(sample()), -5, 40));
    auto const& report = std::get<load_report>(*message);
    STRCMP_EQUAL("10.0.0.1:80", report.where.text().c_str());
    CHECK_EQUAL(12, report.running);
    CHECK_EQUAL(16, report.weights->end_layer);
    CHECK(report.paused);
    CHECK(report.leaving);
    CHECK_EQUAL(41U, report.records_revision);
    CHECK_EQUAL(2U, report.same_region_entries.size());
    CHECK_EQUAL(-5, report.echoed_sent_at_us);
    CHECK_EQUAL(40, report.subscription_age_us);
    DOUBLES_EQUAL(0.5, report.shed_level, 1e-9);
    STRCMP_EQUAL("10.0.0.9:7700", report.most_current_peer->text().c_str());

    auto const subscribed = decode_datagram(encode(subscription{"e1", "north", 7, 5, 0.25, 123, 31}));
    STRCMP_EQUAL("north", std::get<subscription>(*subscribed).region.c_str());
    CHECK_EQUAL(7U, std::get<subscription>(*subscribed).operator_revision);
    CHECK_EQUAL(5U, std::get<subscription>(*subscribed).weights_revision);
    CHECK_EQUAL(123, std::get<subscription>(*subscribed).sent_at_us);
    CHECK_EQUAL(31U, std::get<subscription>(*subscribed).records_revision);
    DOUBLES_EQUAL(0.25, std::get<subscription>(*subscribed).shed_level, 1e-9);

    auto const holdings = decode_datagram(encode(chunk_holdings{"10.0.0.2", 2, "ff"}));
    STRCMP_EQUAL("ff", std::get<chunk_holdings>(*holdings).chunks.c_str());
}

// Guards against a datagram that exhausts the stack.
TEST(load_datagram, a_datagram_nested_as_deeply_as_it_is_long_is_not_decoded)
{
    CHECK_FALSE(decode_datagram(std::string(2'048, '\x81')).has_value()); // arrays of one element
    CHECK_FALSE(decode_datagram("\x82\x02" + std::string(2'000, '\x81')).has_value()); // within a load report
}

TEST(load_datagram, other_bytes_are_not_decoded)
{
    CHECK_FALSE(decode_datagram("").has_value());
    CHECK_FALSE(decode_datagram("hello").has_value());
    auto random = random_source{3};
    auto const good = encode_for_subscriber(encode(sample()), -5, 40);
    for (auto round = 0; round < 3'000; ++round) {
        auto bytes = good;
        for (auto changes = random.below(4) + 1; changes > 0; --changes)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        std::ignore = decode_datagram(bytes);
        std::ignore = decode_datagram(std::string_view{bytes}.substr(0, random.below(bytes.size())));
    }
}
