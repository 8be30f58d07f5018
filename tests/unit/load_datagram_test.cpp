// Datagrams between daemons: encoding and decoding preserve every field, and other bytes are rejected.
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

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
    report.weights_revision = 52;
    report.weights_age = milliseconds{1'700};
    report.newest_configuration = configuration_holder{31, {"10.0.0.8", 7700}};
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
    CHECK_EQUAL(52U, report.weights_revision);
    CHECK_EQUAL(1'700, report.weights_age.count());
    CHECK_EQUAL(2U, report.same_region_entries.size());
    CHECK_EQUAL(-5, report.echoed_sent_at_us);
    CHECK_EQUAL(40, report.subscription_age_us);
    DOUBLES_EQUAL(0.5, report.shed_level, 1e-9);
    STRCMP_EQUAL("10.0.0.9:7700", report.most_current_peer->text().c_str());
    CHECK_EQUAL(31U, report.newest_configuration->version);
    STRCMP_EQUAL("10.0.0.8:7700", report.newest_configuration->peer.text().c_str());

    auto const subscribed =
        decode_datagram(encode(subscription{"e1", "north", 7, 5, 0.25, 123, 31, milliseconds{40}, 12, 77}));
    STRCMP_EQUAL("north", std::get<subscription>(*subscribed).region.c_str());
    CHECK_EQUAL(7U, std::get<subscription>(*subscribed).operator_revision);
    CHECK_EQUAL(5U, std::get<subscription>(*subscribed).weights_revision);
    CHECK_EQUAL(123, std::get<subscription>(*subscribed).sent_at_us);
    CHECK_EQUAL(31U, std::get<subscription>(*subscribed).records_revision);
    CHECK_EQUAL(40, std::get<subscription>(*subscribed).weights_age.count());
    CHECK_EQUAL(12U, std::get<subscription>(*subscribed).configuration_version);
    CHECK_EQUAL(77U, std::get<subscription>(*subscribed).draining_run_ms);
    DOUBLES_EQUAL(0.25, std::get<subscription>(*subscribed).shed_level, 1e-9);

    auto const holdings = decode_datagram(encode(chunk_holdings{"10.0.0.2", 2, "ff"}));
    STRCMP_EQUAL("ff", std::get<chunk_holdings>(*holdings).chunks.c_str());
}

// Times become ages on the way, since two processes share no steady clock.
TEST(load_datagram, quarantine_records_arrive_with_the_age_that_they_were_sent_with)
{
    auto const sent_at = time_point{seconds{1'000}};
    auto const received_at = time_point{seconds{50}};
    auto record = segment_record{"m", "s-1", {{17, 3, false, sent_at - seconds{7}}, {18, 1, true, sent_at}}};
    auto const datagrams = encode_all({"e1", with_ages(std::vector{record}, sent_at)});
    CHECK_EQUAL(1U, datagrams.size());
    auto const message = std::get<quarantine_records>(*decode_datagram(datagrams.front()));
    STRCMP_EQUAL("e1", message.entry.c_str());
    auto const received = with_times(message.segments, received_at);
    CHECK_EQUAL(1U, received.size());
    STRCMP_EQUAL("m", received[0].model.c_str());
    STRCMP_EQUAL("s-1", received[0].segment.c_str());
    CHECK_EQUAL(2U, received[0].marks.size());
    auto const& mark = received[0].marks[0];
    CHECK(mark.run == 17 && mark.generation == 3 && !mark.cleared);
    CHECK(mark.observed_at == received_at - seconds{7});
    CHECK(received[0].marks[1].cleared);
    CHECK(received[0].marks[1].observed_at == received_at);
}

TEST(load_datagram, many_quarantine_records_are_divided_among_datagrams_that_no_link_divides)
{
    auto message = quarantine_records{"e1", {}};
    for (auto i = 0; i < 200; ++i)
        message.segments.push_back({"m", std::string(static_cast<std::size_t>(i) + 1, 's'),
                                    std::vector<aged_mark>(static_cast<std::size_t>(i) % 16 + 1,
                                                           {~std::uint64_t{0}, 3, false, {}})});
    auto received = std::size_t{0};
    for (auto const& bytes : encode_all(message)) {
        CHECK(bytes.size() < max_quarantine_bytes);
        auto const decoded = decode_datagram(bytes);
        CHECK(decoded.has_value());
        for (auto const& segment : std::get<quarantine_records>(*decoded).segments) {
            STRCMP_EQUAL(message.segments[received].segment.c_str(), segment.segment.c_str());
            CHECK_EQUAL(message.segments[received].marks.size(), segment.marks.size());
            ++received;
        }
    }
    CHECK_EQUAL(200U, received);
}

// The longest names and most marks that a receiver accepts.
TEST(load_datagram, the_largest_quarantine_record_fits_into_one_datagram)
{
    auto const name = std::string(256, 'n');
    auto const marks =
        std::vector<aged_mark>(16, {~std::uint64_t{0}, 1'000, false, milliseconds{86'400'000}});
    auto const datagrams = encode_all({name, {{name, name, marks}}});
    CHECK_EQUAL(1U, datagrams.size());
    CHECK(datagrams.front().size() < max_quarantine_bytes);
    CHECK(decode_datagram(datagrams.front()).has_value());
}

TEST(load_datagram, quarantine_records_that_a_receiver_would_refuse_are_not_sent)
{
    auto const mark = aged_mark{};
    auto const message = quarantine_records{"e1",
                                            {{"", "s", {mark}},
                                             {"m", "", {mark}},
                                             {"m", std::string(257, 's'), {mark}},
                                             {"m", "s", {}},
                                             {"m", "s", std::vector<aged_mark>(17, mark)}}};
    CHECK(encode_all(message).empty());
    CHECK(encode_all({"", {{"m", "s", {mark}}}}).empty());
}

TEST(load_datagram, quarantine_records_with_a_value_out_of_range_are_not_decoded)
{
    using nlohmann::json;
    auto const is_decoded = [](json const& entry, json const& segments) {
        auto const bytes = json::to_cbor(json::array({4, entry, segments}));
        return decode_datagram({reinterpret_cast<char const*>(bytes.data()), bytes.size()}).has_value();
    };
    auto const with_mark = [](json const& mark) {
        return json::array({json::array({"m", "s", json::array({mark})})});
    };
    auto const is_mark = [&](json const& mark) { return is_decoded("e1", with_mark(mark)); };
    CHECK(is_mark(json::array({17, 1, false, 0})));
    CHECK(is_decoded("e1", json::array()));
    CHECK_FALSE(is_mark(json::array({-1, 1, false, 0})));
    CHECK_FALSE(is_mark(json::array({17, 0, false, 0})));
    CHECK_FALSE(is_mark(json::array({17, -1, false, 0})));
    CHECK_FALSE(is_mark(json::array({17, 1'001, false, 0})));
    CHECK_FALSE(is_mark(json::array({17, 4'294'967'297, false, 0})));
    CHECK_FALSE(is_mark(json::array({17, 1.5, false, 0})));
    CHECK_FALSE(is_mark(json::array({17, 1, 0, 0})));
    CHECK_FALSE(is_mark(json::array({17, 1, false, -1})));
    CHECK_FALSE(is_mark(json::array({17, 1, false, 86'400'001})));
    CHECK_FALSE(is_mark(json::array({17, 1, false})));
    CHECK_FALSE(is_mark("mark"));
    CHECK_FALSE(is_decoded("", with_mark(json::array({17, 1, false, 0}))));
    CHECK_FALSE(is_decoded(std::string(257, 'e'), json::array()));
    CHECK_FALSE(is_decoded(7, json::array()));
    CHECK_FALSE(is_decoded("e1", json::array({"segment"})));
    CHECK_FALSE(is_decoded("e1", json::array({json::array({"m", "s", json::array()})})));
    CHECK_FALSE(is_decoded("e1", json::array({json::array({"m", "s", json::object({{"a", 1}})})})));
    auto const many = json(17, json::array({17, 1, false, 0}));
    CHECK_FALSE(is_decoded("e1", json::array({json::array({"m", "s", many})})));
    CHECK_FALSE(is_decoded("e1", json::object({{"a", json::array()}})));
}

// Guards against a datagram that exhausts the stack.
// Guards against a number of another process that no field holds: cut to fit, or converted differently on
// each kind of machine, it would count as one that was sent.
TEST(load_datagram, a_datagram_with_a_number_that_its_field_cannot_hold_is_not_decoded)
{
    auto const odd = {nlohmann::json(1e300),   nlohmann::json(-1e300), nlohmann::json(0.5),
                      nlohmann::json("17"),    nlohmann::json(-1),     nlohmann::json(std::nan("")),
                      nlohmann::json(INFINITY)};
    auto const encoded = [](nlohmann::json const& message) {
        auto text = std::string{};
        nlohmann::json::to_cbor(message, text);
        return text;
    };
    auto const subscribed =
        nlohmann::json::from_cbor(encode(subscription{"e1", "north", 7, 5, 0.25, 123, 31, {}}));
    auto const outer = nlohmann::json::from_cbor(encode_for_subscriber(encode(sample()), 5, 40));
    auto const inner = nlohmann::json::from_cbor(outer.at(1).get_binary());
    CHECK(decode_datagram(encoded(subscribed)).has_value());
    CHECK(decode_datagram(encoded(outer)).has_value());
    for (auto const& value : odd) {
        for (auto const field : {2U, 5U, 7U}) { // revisions
            auto changed = subscribed;
            changed[field] = value;
            CHECK(!decode_datagram(encoded(changed)));
        }
        for (auto const field : {1U, 2U, 3U, 7U, 8U, 13U, 14U}) { // the start, counts, revisions
            auto changed = inner;
            changed[field] = value;
            auto message = outer;
            message[1] = nlohmann::json::binary(nlohmann::json::to_cbor(changed));
            CHECK(!decode_datagram(encoded(message)));
        }
    }
    for (auto const& value : {nlohmann::json(std::nan("")), nlohmann::json(1.5), nlohmann::json(-0.5)}) {
        auto changed = subscribed;
        changed[6] = value; // the fraction of callers that are rejected
        CHECK(!decode_datagram(encoded(changed)));
    }
}

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
