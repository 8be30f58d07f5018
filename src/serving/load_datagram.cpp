#include "hibiscuswall/serving/load_datagram.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto subscription_tag = 1; // first element of the array
constexpr auto news_tag = 2;
constexpr auto holdings_tag = 3;

auto to_bytes(json const& message) -> std::string
{
    auto const bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

auto weights_json(std::optional<loaded_weights> const& weights) -> json
{
    if (!weights) return nullptr;
    return json::array({weights->model, weights->version, weights->first_layer, weights->end_layer});
}

auto weights_from(json const& value) -> std::optional<loaded_weights>
{
    if (value.is_null()) return std::nullopt;
    return loaded_weights{value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>(),
                          value.at(2).get<int>(), value.at(3).get<int>()};
}

// Inner array of a news datagram: what is the same for every reader.
auto news_from(json const& outer) -> std::optional<datagram>
{
    auto const& bytes = outer.at(1).get_binary();
    auto const message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    auto const where = parse_address(message.at(0).get<std::string>());
    if (!where) return std::nullopt;
    auto news = engine_news{};
    news.where = where.value();
    news.started_at_ms = message.at(1).get<std::uint64_t>();
    news.running = message.at(2).get<int>();
    news.queued = message.at(3).get<int>();
    news.pace = message.at(4).get<double>();
    news.weights = weights_from(message.at(5));
    news.paused = message.at(6).get<bool>();
    news.subscribers = message.at(7).get<int>();
    news.operator_revision = message.at(8).get<std::uint64_t>();
    news.echo_us = outer.at(2).get<std::int64_t>();
    news.held_us = outer.at(3).get<std::int64_t>();
    news.near_entries = message.at(9).get<std::vector<std::string>>();
    if (auto const informed = parse_address(message.at(10).get<std::string>()))
        news.best_informed = informed.value();
    news.shed_level = message.at(11).get<double>();
    return news;
}

} // namespace

auto encode(subscription const& message) -> std::string
{
    return to_bytes(
        json::array({subscription_tag, message.entry, message.operator_revision, message.sent_at_us,
                     message.region, message.weights_revision, message.shed_level}));
}

auto encode(engine_news const& message) -> std::string
{
    return to_bytes(json::array({message.where.text(), message.started_at_ms, message.running, message.queued,
                                 message.pace, weights_json(message.weights), message.paused,
                                 message.subscribers, message.operator_revision, message.near_entries,
                                 message.best_informed ? message.best_informed->text() : std::string{},
                                 message.shed_level}));
}

auto addressed(std::string_view encoded_news, std::int64_t echo_us, std::int64_t held_us) -> std::string
{
    auto common = json::binary_t::container_type{encoded_news.begin(), encoded_news.end()};
    return to_bytes(json::array({news_tag, json::binary(std::move(common)), echo_us, held_us}));
}

auto encode(chunk_holdings const& message) -> std::string
{
    return to_bytes(json::array({holdings_tag, message.agent, message.version, message.chunks}));
}

auto decode_datagram(std::string_view bytes) -> std::optional<datagram>
{
    // The library throws on sizes that no array can have, also where it is told not to.
    try {
        auto const message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!message.is_array() || message.empty() || !message[0].is_number_integer()) return std::nullopt;
        if (message[0] == subscription_tag)
            return subscription{message.at(1).get<std::string>(),   message.at(4).get<std::string>(),
                                message.at(2).get<std::uint64_t>(), message.at(5).get<std::uint64_t>(),
                                message.at(6).get<double>(),        message.at(3).get<std::int64_t>()};
        if (message[0] == news_tag) return news_from(message);
        if (message[0] == holdings_tag)
            return chunk_holdings{message.at(1).get<std::string>(), message.at(2).get<std::uint64_t>(),
                                  message.at(3).get<std::string>()};
    } catch (json::exception const&) {
        return std::nullopt; // a datagram of another version or from elsewhere
    }
    return std::nullopt;
}

} // namespace hibiscuswall
