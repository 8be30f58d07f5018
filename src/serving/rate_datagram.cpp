#include "hibiscuswall/serving/rate_datagram.hpp"

#include "hibiscuswall/core/checked_json.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto max_name_bytes = std::size_t{256};
constexpr auto max_rate = 1e6; // calls per second, of a limit and of a demand
constexpr auto max_recent_sends = 10'000'000;
constexpr auto max_age = milliseconds{24 * 3'600 * 1'000};
constexpr auto max_time_us = std::int64_t{1} << 53U; // since a machine started, 285 years

auto to_bytes(json const& message) -> std::string
{
    auto const bytes = json::to_cbor(message);
    return {bytes.begin(), bytes.end()};
}

auto rate_from(json const& value) -> double { return number_from(value, 0.0, max_rate); }

auto count_from(json const& value) -> std::int64_t { return integer_from<std::int64_t>(value, 0); }

auto time_us_from(json const& value) -> std::int64_t
{
    return integer_from(value, -max_time_us, max_time_us);
}

// -1: there is none
auto age_from(json const& value) -> milliseconds
{
    return milliseconds{integer_from<std::int64_t>(value, -1, max_age.count())};
}

auto is_name(std::string const& text) -> bool { return !text.empty() && text.size() <= max_name_bytes; }

auto run_from(json const& where, json const& started_at_ms) -> std::optional<endpoint_run>
{
    auto const parsed = parse_address(where.get<std::string>());
    if (!parsed) return std::nullopt;
    return endpoint_run{parsed.value(), integer_from<std::uint64_t>(started_at_ms)};
}

} // namespace

auto knowledge_json(aged_rate_knowledge const& known) -> json
{
    return json::array({known.calls_per_second, known.named_age.count(), known.absent_age.count()});
}

auto knowledge_from(json const& value) -> std::optional<aged_rate_knowledge>
{
    return aged_rate_knowledge{rate_from(value.at(0)), age_from(value.at(1)), age_from(value.at(2))};
}

auto encode(rate_report const& message) -> std::string
{
    auto const& sender = message.sender;
    return to_bytes(
        json::array({rate_report_tag, message.endpoint.where.text(), message.endpoint.started_at_ms,
                     knowledge_json(message.known), sender.sender, sender.demand, sender.recent_sends,
                     sender.divider_run, sender.ended, sender.used, sender.own_used, message.sent_at_us}));
}

auto decode_rate_report(json const& message) -> std::optional<rate_report>
{
    auto const endpoint = run_from(message.at(1), message.at(2));
    auto const known = knowledge_from(message.at(3));
    if (!endpoint || !known) return std::nullopt;
    auto decoded = rate_report{*endpoint, *known, {}, time_us_from(message.at(11))};
    auto& sender = decoded.sender;
    sender.sender = message.at(4).get<std::string>();
    sender.demand = rate_from(message.at(5));
    sender.recent_sends = integer_from(message.at(6), 0, max_recent_sends);
    sender.divider_run = integer_from<std::uint64_t>(message.at(7));
    sender.ended = count_from(message.at(8));
    sender.used = count_from(message.at(9));
    sender.own_used = count_from(message.at(10));
    if (!is_name(sender.sender) || sender.used > sender.ended) return std::nullopt;
    return decoded;
}

auto encode(rate_notice const& message) -> std::string
{
    auto grant = json{};
    if (message.grant)
        grant =
            json::array({message.grant->divider_run, message.grant->granted, message.grant->recalled,
                         message.grant->calls_per_second, message.echoed_sent_at_us, message.report_age_us});
    return to_bytes(
        json::array({rate_notice_tag, message.endpoint.where.text(), message.endpoint.started_at_ms,
                     knowledge_json(message.known), message.entry, std::move(grant)}));
}

auto decode_rate_notice(json const& message) -> std::optional<rate_notice>
{
    auto const endpoint = run_from(message.at(1), message.at(2));
    auto const known = knowledge_from(message.at(3));
    if (!endpoint || !known) return std::nullopt;
    auto decoded = rate_notice{};
    decoded.endpoint = *endpoint;
    decoded.known = *known;
    decoded.entry = message.at(4).get<std::string>();
    if (!is_name(decoded.entry)) return std::nullopt;
    auto const& grant = message.at(5);
    if (grant.is_null()) return decoded;
    decoded.grant = rate_grant{integer_from<std::uint64_t>(grant.at(0)), count_from(grant.at(1)),
                               count_from(grant.at(2)), rate_from(grant.at(3))};
    decoded.echoed_sent_at_us = time_us_from(grant.at(4));
    decoded.report_age_us = integer_from<std::int64_t>(grant.at(5), 0, max_time_us);
    if (decoded.grant->recalled > decoded.grant->granted) return std::nullopt;
    return decoded;
}

} // namespace hibiscuswall
