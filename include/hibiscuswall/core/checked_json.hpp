#pragma once
// Reads JSON or CBOR that another process wrote. Conversions of nlohmann::json cut numbers that do not fit, a
// fraction beyond the range differently on each kind of machine, and its recursive functions exhaust the
// stack on deeply nested documents; these functions reject both.
//
//   auto const object = parse_bounded(text);
//   record.slots = integer_field<int>(object, "slots", 1, max_slots);
//   record.cold = duration_field(object, "coldMs", milliseconds{0});    // absent: the last argument
//   report.running = integer_from<int>(message.at(2), 0, max_calls);
//
// All throw bad_field or json::exception.

#include "hibiscuswall/core/time.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace hibiscuswall {

// A field with a value that its meaning does not permit.
class bad_field : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

constexpr auto max_nesting = 64;                                // levels of arrays and objects
constexpr auto max_reason_bytes = std::size_t{200};             // of a reason that is logged
constexpr auto max_duration = milliseconds{24 * 3'600 * 1'000}; // of any time that a document states

// Deepest nesting of arrays and objects. Brackets within strings do not count.
[[nodiscard]] inline auto nesting_of(std::string_view text) -> int
{
    auto depth = 0;
    auto deepest = 0;
    auto in_string = false;
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        auto const c = text[i];
        if (in_string && c == '\\') ++i;
        if (c == '"') in_string = !in_string;
        if (in_string) continue;
        if (c == '[' || c == '{') deepest = std::max(deepest, ++depth);
        if (c == ']' || c == '}') --depth;
    }
    return deepest;
}

[[nodiscard]] inline auto parse_bounded(std::string_view text) -> nlohmann::json
{
    if (nesting_of(text) > max_nesting) throw bad_field{"nested too deeply"};
    return nlohmann::json::parse(text);
}

// A whole number of any representation, also 16.0.
template<class Integer>
[[nodiscard]] auto
integer_from(nlohmann::json const& value, Integer min = std::numeric_limits<Integer>::min(),
             Integer max = std::numeric_limits<Integer>::max(), std::string_view name = "a number") -> Integer
{
    auto const fits = [&](auto number) {
        if (std::cmp_less(number, min) || std::cmp_greater(number, max))
            throw bad_field{std::string{name} + " is out of range"};
        return static_cast<Integer>(number);
    };
    if (value.is_number_unsigned()) return fits(value.get<std::uint64_t>());
    if (value.is_number_integer()) return fits(value.get<std::int64_t>());
    if (!value.is_number()) throw bad_field{std::string{name} + " is not a number"};
    auto const number = value.get<double>();
    if (!(number >= static_cast<double>(min) && number < static_cast<double>(max) + 1.0))
        throw bad_field{std::string{name} + " is out of range"};
    if (number != std::floor(number)) throw bad_field{std::string{name} + " is not a whole number"};
    return static_cast<Integer>(number);
}

// None for what integer_from() rejects.
template<class Integer>
[[nodiscard]] auto integer_if(nlohmann::json const& value) -> std::optional<Integer>
{
    try {
        return integer_from<Integer>(value);
    } catch (bad_field const&) {
        return std::nullopt;
    }
}

// A number from min to max; CBOR can also state infinity and "not a number".
[[nodiscard]] inline auto number_from(nlohmann::json const& value, double min, double max,
                                      std::string_view name = "a number") -> double
{
    if (!value.is_number()) throw bad_field{std::string{name} + " is not a number"};
    auto const number = value.get<double>();
    if (!(number >= min && number <= max)) throw bad_field{std::string{name} + " is out of range"};
    return number;
}

template<class Integer>
[[nodiscard]] auto integer_field(nlohmann::json const& object, char const* name,
                                 Integer min = std::numeric_limits<Integer>::min(),
                                 Integer max = std::numeric_limits<Integer>::max()) -> Integer
{
    return integer_from<Integer>(object.at(name), min, max, name);
}

template<class Integer>
[[nodiscard]] auto integer_field(nlohmann::json const& object, char const* name, Integer min, Integer max,
                                 Integer fallback) -> Integer
{
    return object.contains(name) ? integer_field<Integer>(object, name, min, max) : fallback;
}

[[nodiscard]] inline auto number_field(nlohmann::json const& object, char const* name, double min, double max,
                                       double fallback) -> double
{
    return object.contains(name) ? number_from(object.at(name), min, max, name) : fallback;
}

// A time in milliseconds, possibly fractional.
[[nodiscard]] inline auto duration_field(nlohmann::json const& object, char const* name,
                                         milliseconds fallback) -> milliseconds
{
    auto const longest = static_cast<double>(max_duration.count());
    auto const value = number_field(object, name, 0, longest, static_cast<double>(fallback.count()));
    return milliseconds{static_cast<long long>(value)};
}

// A time in seconds, possibly fractional; none if it is absent.
[[nodiscard]] inline auto seconds_field(nlohmann::json const& object, char const* name) -> milliseconds
{
    auto const longest = std::chrono::duration<double>(max_duration);
    auto const value = std::chrono::duration<double>(number_field(object, name, 0, longest.count(), 0));
    return std::chrono::duration_cast<milliseconds>(value);
}

// The reason of a failure, short enough for a log line whatever the document contained.
[[nodiscard]] inline auto short_reason(std::exception const& problem) -> std::string
{
    auto reason = std::string{problem.what()};
    if (reason.size() > max_reason_bytes) reason.resize(max_reason_bytes);
    for (auto& c : reason)
        if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) c = '?';
    return reason;
}

} // namespace hibiscuswall
