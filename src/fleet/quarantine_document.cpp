#include "hibiscuswall/fleet/quarantine_document.hpp"

#include "hibiscuswall/core/checked_json.hpp"
#include "hibiscuswall/core/sha256.hpp"

#include <algorithm>
#include <limits>

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto max_name_bytes = std::size_t{256};
constexpr auto max_marks = std::size_t{16};
constexpr auto max_generation = 1'000;

auto mark_from(json const& value, time_point now) -> crash_mark
{
    auto mark = crash_mark{};
    mark.run = integer_field<std::uint64_t>(value, "run", 0, std::numeric_limits<std::uint64_t>::max());
    mark.generation = integer_field<int>(value, "generation", 1, max_generation);
    mark.cleared = value.at("cleared").get<bool>();
    mark.observed_at = now;
    return mark;
}

auto name_field(json const& value, char const* name) -> std::string
{
    auto text = value.at(name).get<std::string>();
    if (text.empty() || text.size() > max_name_bytes)
        throw bad_field{std::string{name} + " is empty or too long"};
    return text;
}

} // namespace

auto quarantine_key(std::string_view model, std::string_view segment) -> std::string
{
    auto names = std::string{model};
    names += '\0';
    names += segment;
    return std::string{quarantine_prefix} + sha256(names);
}

auto encode_quarantine(segment_record const& record) -> std::optional<std::string>
{
    auto marks = json::array();
    for (auto const& mark : record.marks)
        marks.push_back({{"run", mark.run}, {"generation", mark.generation}, {"cleared", mark.cleared}});
    try {
        return json{{"model", record.model}, {"segment", record.segment}, {"marks", marks}}.dump();
    } catch (json::exception const&) {
        return std::nullopt;
    }
}

auto decode_quarantine(std::string_view key, std::string_view value, time_point now)
    -> std::optional<segment_record>
{
    try {
        auto const document = parse_bounded(value);
        auto record = segment_record{name_field(document, "model"), name_field(document, "segment"), {}};
        auto const& marks = document.at("marks");
        if (!marks.is_array() || marks.empty() || marks.size() > max_marks) return std::nullopt;
        for (auto const& mark : marks)
            record.marks.push_back(mark_from(mark, now));
        if (key != quarantine_key(record.model, record.segment)) return std::nullopt;
        return record;
    } catch (json::exception const&) {
        return std::nullopt;
    } catch (bad_field const&) {
        return std::nullopt;
    }
}

auto highest_generation(segment_record const& record) -> int
{
    auto highest = 0;
    for (auto const& mark : record.marks)
        if (!mark.cleared) highest = std::max(highest, mark.generation);
    return highest;
}

} // namespace hibiscuswall
