#include "hibiscuswall/serving/load_datagram.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto subscription_tag = 1; // message type, the first element of the array
constexpr auto load_report_tag = 2;
constexpr auto holdings_tag = 3;
// Absent in datagrams of earlier builds.
constexpr auto leaving_field = std::size_t{12}; // of a load report
constexpr auto records_field = std::size_t{13}; // of a load report
constexpr auto subscription_records_field = std::size_t{7};

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

auto subscription_from(json const& message) -> subscription
{
    auto decoded = subscription{};
    decoded.entry = message.at(1).get<std::string>();
    decoded.operator_revision = message.at(2).get<std::uint64_t>();
    decoded.sent_at_us = message.at(3).get<std::int64_t>();
    decoded.region = message.at(4).get<std::string>();
    decoded.weights_revision = message.at(5).get<std::uint64_t>();
    decoded.shed_level = message.at(6).get<double>();
    if (message.size() > subscription_records_field)
        decoded.records_revision = message[subscription_records_field].get<std::uint64_t>();
    return decoded;
}

// Decodes a load report. Its inner array is the part that is the same for every subscriber.
auto load_report_from(json const& outer) -> std::optional<datagram>
{
    auto const& bytes = outer.at(1).get_binary();
    auto const message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    auto const where = parse_address(message.at(0).get<std::string>());
    if (!where) return std::nullopt;
    auto report = load_report{};
    report.where = where.value();
    report.started_at_ms = message.at(1).get<std::uint64_t>();
    report.running = message.at(2).get<int>();
    report.queued = message.at(3).get<int>();
    report.slowdown = message.at(4).get<double>();
    report.weights = weights_from(message.at(5));
    report.paused = message.at(6).get<bool>();
    report.subscriber_count = message.at(7).get<int>();
    report.operator_revision = message.at(8).get<std::uint64_t>();
    report.echoed_sent_at_us = outer.at(2).get<std::int64_t>();
    report.subscription_age_us = outer.at(3).get<std::int64_t>();
    report.same_region_entries = message.at(9).get<std::vector<std::string>>();
    if (auto const peer = parse_address(message.at(10).get<std::string>()))
        report.most_current_peer = peer.value();
    report.shed_level = message.at(11).get<double>();
    if (message.size() > records_field) report.records_revision = message[records_field].get<std::uint64_t>();
    report.leaving = message.size() > leaving_field && message[leaving_field].get<bool>();
    return report;
}

} // namespace

auto encode(subscription const& message) -> std::string
{
    return to_bytes(json::array({subscription_tag, message.entry, message.operator_revision,
                                 message.sent_at_us, message.region, message.weights_revision,
                                 message.shed_level, message.records_revision}));
}

auto encode(load_report const& message) -> std::string
{
    return to_bytes(
        json::array({message.where.text(), message.started_at_ms, message.running, message.queued,
                     message.slowdown, weights_json(message.weights), message.paused,
                     message.subscriber_count, message.operator_revision, message.same_region_entries,
                     message.most_current_peer ? message.most_current_peer->text() : std::string{},
                     message.shed_level, message.leaving, message.records_revision}));
}

auto encode_for_subscriber(std::string_view encoded_report, std::int64_t echoed_sent_at_us,
                           std::int64_t subscription_age_us) -> std::string
{
    auto common = json::binary_t::container_type{encoded_report.begin(), encoded_report.end()};
    return to_bytes(json::array(
        {load_report_tag, json::binary(std::move(common)), echoed_sent_at_us, subscription_age_us}));
}

auto encode(chunk_holdings const& message) -> std::string
{
    return to_bytes(json::array({holdings_tag, message.agent, message.version, message.chunks}));
}

auto decode_datagram(std::string_view bytes) -> std::optional<datagram>
{
    // The library throws on impossible array sizes even with exceptions disabled.
    try {
        auto const message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        if (!message.is_array() || message.empty() || !message[0].is_number_integer()) return std::nullopt;
        if (message[0] == subscription_tag) return subscription_from(message);
        if (message[0] == load_report_tag) return load_report_from(message);
        if (message[0] == holdings_tag)
            return chunk_holdings{message.at(1).get<std::string>(), message.at(2).get<std::uint64_t>(),
                                  message.at(3).get<std::string>()};
    } catch (json::exception const&) {
        return std::nullopt; // another protocol version, or not one of our datagrams
    }
    return std::nullopt;
}

} // namespace hibiscuswall
