#include "hibiscuswall/serving/load_datagram.hpp"

#include "hibiscuswall/core/checked_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto subscription_tag = 1; // message type, the first element of the array
constexpr auto load_report_tag = 2;
constexpr auto holdings_tag = 3;
constexpr auto quarantine_tag = 4; // 5 and 6: rate_datagram.hpp
// Absent in datagrams of earlier builds.
constexpr auto leaving_field = std::size_t{12};       // of a load report
constexpr auto records_field = std::size_t{13};       // of a load report
constexpr auto weights_field = std::size_t{14};       // of a load report: revision, then age
constexpr auto rate_field = std::size_t{16};          // of a load report
constexpr auto configuration_field = std::size_t{17}; // of a load report: version, then peer; if it has one
constexpr auto subscription_records_field = std::size_t{7};
constexpr auto subscription_weights_age_field = std::size_t{8};
constexpr auto subscription_configuration_field = std::size_t{9};
constexpr auto subscription_draining_field = std::size_t{10};
// Ranges of quarantine records. One segment with the longest names and most marks fits into a datagram.
constexpr auto max_name_bytes = std::size_t{256}; // of an entry, a model or a segment
constexpr auto max_marks = std::size_t{16};       // of one segment
constexpr auto max_generation = 1'000;
constexpr auto max_age = milliseconds{24 * 3'600 * 1'000};
constexpr auto max_calls = 1'000'000; // of an endpoint, or of an agent's subscribers
constexpr auto max_layers = 1'000'000;
constexpr auto max_slowdown = 1e6;
constexpr auto max_time_us = std::int64_t{1} << 53U;    // since a machine started, 285 years
constexpr auto max_array_header_bytes = std::size_t{3}; // of an array with less than 65,536 elements

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
    return loaded_weights{value.at(0).get<std::string>(), integer_from<std::uint64_t>(value.at(1)),
                          integer_from(value.at(2), 0, max_layers), integer_from(value.at(3), 0, max_layers)};
}

auto age_from(json const& value) -> milliseconds
{
    return std::clamp(milliseconds{integer_from<std::int64_t>(value)}, milliseconds{0}, max_age);
}

auto revision_from(json const& value) -> std::uint64_t { return integer_from<std::uint64_t>(value); }

auto calls_from(json const& value) -> int { return integer_from(value, 0, max_calls); }

auto time_us_from(json const& value) -> std::int64_t
{
    return integer_from(value, -max_time_us, max_time_us);
}

auto fraction_from(json const& value) -> double { return number_from(value, 0.0, 1.0); }

auto subscription_from(json const& message) -> subscription
{
    auto decoded = subscription{};
    decoded.entry = message.at(1).get<std::string>();
    decoded.operator_revision = revision_from(message.at(2));
    decoded.sent_at_us = time_us_from(message.at(3));
    decoded.region = message.at(4).get<std::string>();
    decoded.weights_revision = revision_from(message.at(5));
    decoded.shed_level = fraction_from(message.at(6));
    if (message.size() > subscription_records_field)
        decoded.records_revision = revision_from(message[subscription_records_field]);
    if (message.size() > subscription_weights_age_field)
        decoded.weights_age = age_from(message[subscription_weights_age_field]);
    if (message.size() > subscription_configuration_field)
        decoded.configuration_version = revision_from(message[subscription_configuration_field]);
    if (message.size() > subscription_draining_field)
        decoded.draining_run_ms = integer_from<std::uint64_t>(message[subscription_draining_field]);
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
    report.started_at_ms = integer_from<std::uint64_t>(message.at(1));
    report.running = calls_from(message.at(2));
    report.queued = calls_from(message.at(3));
    report.slowdown = number_from(message.at(4), 0.0, max_slowdown);
    report.weights = weights_from(message.at(5));
    report.paused = message.at(6).get<bool>();
    report.subscriber_count = calls_from(message.at(7));
    report.operator_revision = revision_from(message.at(8));
    report.echoed_sent_at_us = time_us_from(outer.at(2));
    report.subscription_age_us = time_us_from(outer.at(3));
    report.same_region_entries = message.at(9).get<std::vector<std::string>>();
    if (auto const peer = parse_address(message.at(10).get<std::string>()))
        report.most_current_peer = peer.value();
    report.shed_level = fraction_from(message.at(11));
    if (message.size() > records_field) report.records_revision = revision_from(message[records_field]);
    report.leaving = message.size() > leaving_field && message[leaving_field].get<bool>();
    if (message.size() > weights_field + 1) {
        report.weights_revision = revision_from(message[weights_field]);
        report.weights_age = age_from(message[weights_field + 1]);
    }
    if (message.size() > rate_field) {
        auto const known = knowledge_from(message[rate_field]);
        if (!known) return std::nullopt;
        report.rate = *known;
    }
    if (message.size() > configuration_field + 1) {
        auto const peer = parse_address(message[configuration_field + 1].get<std::string>());
        if (!peer) return std::nullopt;
        report.newest_configuration = {revision_from(message[configuration_field]), peer.value()};
    }
    return report;
}

auto is_name(std::string_view text) -> bool { return !text.empty() && text.size() <= max_name_bytes; }

auto is_encodable(aged_segment const& segment) -> bool
{
    return is_name(segment.model) && is_name(segment.segment) && !segment.marks.empty() &&
           segment.marks.size() <= max_marks;
}

auto segment_json(aged_segment const& segment) -> json
{
    auto marks = json::array();
    for (auto const& mark : segment.marks) {
        auto const age = std::clamp(mark.age, milliseconds{0}, max_age);
        marks.push_back(json::array(
            {mark.run, std::clamp(mark.generation, 1, max_generation), mark.cleared, age.count()}));
    }
    return json::array({segment.model, segment.segment, std::move(marks)});
}

// A whole number from 0 to max, or nullopt.
auto bounded_integer(json const& value, std::uint64_t max) -> std::optional<std::uint64_t>
{
    if (!value.is_number_unsigned()) return std::nullopt;
    auto const number = value.get<std::uint64_t>();
    return number <= max ? std::optional{number} : std::nullopt;
}

auto mark_from(json const& value) -> std::optional<aged_mark>
{
    auto const run = bounded_integer(value.at(0), std::numeric_limits<std::uint64_t>::max());
    auto const generation = bounded_integer(value.at(1), max_generation);
    auto const age = bounded_integer(value.at(3), static_cast<std::uint64_t>(max_age.count()));
    if (!run || !generation || *generation == 0 || !age) return std::nullopt;
    return aged_mark{*run, static_cast<int>(*generation), value.at(2).get<bool>(),
                     milliseconds{static_cast<long long>(*age)}};
}

auto segment_from(json const& value) -> std::optional<aged_segment>
{
    auto segment = aged_segment{};
    segment.model = value.at(0).get<std::string>();
    segment.segment = value.at(1).get<std::string>();
    auto const& marks = value.at(2);
    if (!marks.is_array() || marks.size() > max_marks) return std::nullopt;
    for (auto const& each : marks) {
        auto const mark = mark_from(each);
        if (!mark) return std::nullopt;
        segment.marks.push_back(*mark);
    }
    return is_encodable(segment) ? std::optional{std::move(segment)} : std::nullopt;
}

template<typename message_type>
auto as_datagram(std::optional<message_type> decoded) -> std::optional<datagram>
{
    return decoded ? std::optional<datagram>{std::move(*decoded)} : std::nullopt;
}

auto quarantine_records_from(json const& message) -> std::optional<datagram>
{
    auto decoded = quarantine_records{};
    decoded.entry = message.at(1).get<std::string>();
    auto const& segments = message.at(2);
    if (!is_name(decoded.entry) || !segments.is_array()) return std::nullopt;
    for (auto const& each : segments) {
        auto segment = segment_from(each);
        if (!segment) return std::nullopt;
        decoded.segments.push_back(std::move(*segment));
    }
    return decoded;
}

} // namespace

auto encode(subscription const& message) -> std::string
{
    return to_bytes(
        json::array({subscription_tag, message.entry, message.operator_revision, message.sent_at_us,
                     message.region, message.weights_revision, message.shed_level, message.records_revision,
                     message.weights_age.count(), message.configuration_version, message.draining_run_ms}));
}

auto encode(load_report const& message) -> std::string
{
    auto fields =
        json::array({message.where.text(), message.started_at_ms, message.running, message.queued,
                     message.slowdown, weights_json(message.weights), message.paused,
                     message.subscriber_count, message.operator_revision, message.same_region_entries,
                     message.most_current_peer ? message.most_current_peer->text() : std::string{},
                     message.shed_level, message.leaving, message.records_revision, message.weights_revision,
                     message.weights_age.count(), knowledge_json(message.rate)});
    if (message.newest_configuration) {
        fields.push_back(message.newest_configuration->version);
        fields.push_back(message.newest_configuration->peer.text());
    }
    return to_bytes(fields);
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

auto with_ages(std::span<segment_record const> records, time_point now) -> std::vector<aged_segment>
{
    auto segments = std::vector<aged_segment>{};
    for (auto const& record : records) {
        auto& segment = segments.emplace_back(aged_segment{record.model, record.segment, {}});
        for (auto const& mark : record.marks)
            segment.marks.push_back(
                {mark.run, mark.generation, mark.cleared,
                 std::chrono::duration_cast<milliseconds>(now - std::min(now, mark.observed_at))});
    }
    return segments;
}

auto with_times(std::span<aged_segment const> segments, time_point now) -> std::vector<segment_record>
{
    auto records = std::vector<segment_record>{};
    for (auto const& segment : segments) {
        auto& record = records.emplace_back(segment_record{segment.model, segment.segment, {}});
        for (auto const& mark : segment.marks)
            record.marks.push_back({mark.run, mark.generation, mark.cleared, now - mark.age});
    }
    return records;
}

auto encode_all(quarantine_records const& message) -> std::vector<std::string>
{
    if (!is_name(message.entry)) return {};
    auto const empty_bytes = to_bytes(json::array({quarantine_tag, message.entry})).size();
    auto const base_bytes = empty_bytes + max_array_header_bytes;
    auto datagrams = std::vector<std::string>{};
    auto segments = json::array();
    auto bytes = base_bytes;
    auto const finish = [&] {
        if (segments.empty()) return;
        datagrams.push_back(to_bytes(json::array({quarantine_tag, message.entry, std::move(segments)})));
        segments = json::array();
        bytes = base_bytes;
    };
    for (auto const& segment : message.segments) {
        if (!is_encodable(segment)) continue;
        auto encoded = segment_json(segment);
        auto const more_bytes = json::to_cbor(encoded).size();
        if (bytes + more_bytes >= max_quarantine_bytes) finish();
        bytes += more_bytes;
        segments.push_back(std::move(encoded));
    }
    finish();
    return datagrams;
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
            return chunk_holdings{message.at(1).get<std::string>(),
                                  integer_from<std::uint64_t>(message.at(2)),
                                  message.at(3).get<std::string>()};
        if (message[0] == quarantine_tag) return quarantine_records_from(message);
        if (message[0] == rate_report_tag) return as_datagram(decode_rate_report(message));
        if (message[0] == rate_notice_tag) return as_datagram(decode_rate_notice(message));
    } catch (std::exception const&) {
        return std::nullopt; // another protocol version, or not one of our datagrams
    }
    return std::nullopt;
}

} // namespace hibiscuswall
