// Datagrams between daemons: what is sent arrives, and nothing else is understood.
#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"

#include <CppUTest/TestHarness.h>

using namespace hibiscuswall;

namespace {

auto sample() -> engine_news
{
    auto news = engine_news{};
    news.where = {"10.0.0.1", 80};
    news.started_at_ms = 17;
    news.running = 12;
    news.queued = 3;
    news.pace = 1.5;
    news.weights = loaded_weights{"m", 4, 0, 16};
    news.paused = true;
    news.subscribers = 6;
    news.near_entries = {"e1", "e2"};
    news.operator_revision = 99;
    news.best_informed = address{"10.0.0.9", 7700};
    news.shed_level = 0.5;
    return news;
}

} // namespace

TEST_GROUP(load_news){};

TEST(load_news, each_kind_comes_back_as_it_was_sent)
{
    auto const message = decode_datagram(addressed(encode(sample()), -5, 40));
    auto const& news = std::get<engine_news>(*message);
    STRCMP_EQUAL("10.0.0.1:80", news.where.text().c_str());
    CHECK_EQUAL(12, news.running);
    CHECK_EQUAL(16, news.weights->end_layer);
    CHECK(news.paused);
    CHECK_EQUAL(2U, news.near_entries.size());
    CHECK_EQUAL(-5, news.echo_us);
    CHECK_EQUAL(40, news.held_us);
    DOUBLES_EQUAL(0.5, news.shed_level, 1e-9);
    STRCMP_EQUAL("10.0.0.9:7700", news.best_informed->text().c_str());

    auto const asked = decode_datagram(encode(subscription{"e1", "north", 7, 5, 0.25, 123}));
    STRCMP_EQUAL("north", std::get<subscription>(*asked).region.c_str());
    CHECK_EQUAL(7U, std::get<subscription>(*asked).operator_revision);
    CHECK_EQUAL(5U, std::get<subscription>(*asked).weights_revision);
    CHECK_EQUAL(123, std::get<subscription>(*asked).sent_at_us);
    DOUBLES_EQUAL(0.25, std::get<subscription>(*asked).shed_level, 1e-9);

    auto const told = decode_datagram(encode(chunk_holdings{"10.0.0.2", 2, "ff"}));
    STRCMP_EQUAL("ff", std::get<chunk_holdings>(*told).chunks.c_str());
}

TEST(load_news, other_bytes_are_no_datagram)
{
    CHECK_FALSE(decode_datagram("").has_value());
    CHECK_FALSE(decode_datagram("hello").has_value());
    auto random = random_source{3};
    auto const good = addressed(encode(sample()), -5, 40);
    for (auto round = 0; round < 3'000; ++round) {
        auto bytes = good;
        for (auto changes = random.below(4) + 1; changes > 0; --changes)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        std::ignore = decode_datagram(bytes);
        std::ignore = decode_datagram(std::string_view{bytes}.substr(0, random.below(bytes.size())));
    }
}
