#include "hibiscuswall/membership/exchange_message.hpp"

#include "hibiscuswall/core/checked_json.hpp"

namespace hibiscuswall {
namespace {

using nlohmann::json;

constexpr auto wire_version = 1;
constexpr auto max_nesting = 4; // message, list of members and member, with one level to spare
constexpr auto max_age =
    365LL * 24 * 3600 * 1000; // in ms; greater ages are ignored to keep arithmetic on time points in range

// Rejects malformed and deeply nested input before it is parsed: the parser recurses into each level of
// nesting.
class nesting_check final : public nlohmann::json_sax<json> {
public:
    auto null() -> bool override { return true; }
    auto boolean(bool /*value*/) -> bool override { return true; }
    auto number_integer(number_integer_t /*value*/) -> bool override { return true; }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override { return true; }
    auto number_float(number_float_t /*value*/, string_t const& /*text*/) -> bool override { return true; }
    auto string(string_t& /*value*/) -> bool override { return true; }
    auto binary(binary_t& /*value*/) -> bool override { return true; }
    auto start_object(std::size_t /*elements*/) -> bool override
    {
        return false;
    } // the wire format has no objects
    auto key(string_t& /*value*/) -> bool override { return false; }
    auto end_object() -> bool override { return false; }
    auto start_array(std::size_t elements) -> bool override
    {
        // The parser reserves memory for the announced number of elements before it reads them.
        auto const unknown = elements == static_cast<std::size_t>(-1);
        return ++depth_ <= max_nesting && (unknown || elements <= max_exchange_bytes);
    }
    auto end_array() -> bool override
    {
        --depth_;
        return true;
    }
    auto parse_error(std::size_t /*position*/, std::string const& /*token*/,
                     nlohmann::detail::exception const& /*problem*/) -> bool override
    {
        return false;
    }

private:
    int depth_ = 0;
};

auto to_array(member const& value) -> json
{
    return json::array({value.name, static_cast<int>(value.role), value.control_address.text(), value.region,
                        value.failure_domain, value.service, value.incarnation, static_cast<int>(value.state),
                        value.config_revision});
}

auto state_from(json const& value) -> std::optional<member_state>
{
    if (!value.is_number_unsigned()) return std::nullopt;
    auto const number = integer_from<std::uint64_t>(value);
    if (number > static_cast<std::uint64_t>(member_state::dead)) return std::nullopt;
    return static_cast<member_state>(number);
}

auto member_from(json const& value) -> std::optional<member>
{
    if (!value.is_array() || value.size() != 9) return std::nullopt;
    auto parsed = member{};
    parsed.name = value[0].get<std::string>();
    auto const where = parse_address(value[2].get<std::string>());
    auto const state = state_from(value[7]);
    if (parsed.name.empty() || !where || !state) return std::nullopt;
    parsed.role = integer_from<std::uint64_t>(value[1]) == 0 ? member_role::entry : member_role::agent;
    parsed.control_address = where.value();
    parsed.region = value[3].get<std::string>();
    parsed.failure_domain = value[4].get<std::string>();
    parsed.service = value[5].get<std::string>();
    parsed.incarnation = integer_from<std::uint64_t>(value[6]);
    parsed.state = *state;
    parsed.config_revision = integer_from<std::uint64_t>(value[8]);
    return parsed;
}

auto recipient_from(json const& value) -> std::optional<recipient_view>
{
    if (!value.is_array() || value.size() != 3) return std::nullopt;
    auto const state = state_from(value[2]);
    if (!state) return std::nullopt;
    return recipient_view{value[0].get<std::string>(), integer_from<std::uint64_t>(value[1]), *state};
}

auto message_from(json const& value) -> std::optional<exchange_message>
{
    if (!value.is_array() || value.size() != 7 || value[0] != wire_version || !value[6].is_array())
        return std::nullopt;
    auto message = exchange_message{};
    message.from = member_from(value[1]);
    if (!value[1].is_null() && !message.from) return std::nullopt;
    message.to = recipient_from(value[2]);
    message.config_revision = integer_from<std::uint64_t>(value[3]);
    if (value[4].is_number_unsigned()) {
        auto const age = value[4].get<std::uint64_t>();
        if (age <= static_cast<std::uint64_t>(max_age))
            message.confirmed_age = milliseconds{static_cast<long long>(age)};
    }
    message.digest = integer_from<std::uint64_t>(value[5]);
    for (auto const& item : value[6])
        if (auto report = member_from(item)) message.members.push_back(std::move(*report));
    return message;
}

} // namespace

auto encode(exchange_message message) -> std::string
{
    auto body = json::array(
        {wire_version, nullptr, nullptr, message.config_revision, nullptr, message.digest, json::array()});
    if (message.from) body[1] = to_array(*message.from);
    if (message.to)
        body[2] =
            json::array({message.to->name, message.to->incarnation, static_cast<int>(message.to->state)});
    if (message.confirmed_age) body[4] = std::max<long long>(message.confirmed_age->count(), 0);
    for (auto const& item : message.members)
        body[6].push_back(to_array(item));
    auto text = std::string{};
    json::to_cbor(body, text);
    while (text.size() > max_exchange_bytes && !body[6].empty()) {
        body[6].erase(body[6].size() - 1);
        text.clear();
        json::to_cbor(body, text);
    }
    return text;
}

auto decode_exchange(std::string_view body) -> std::optional<exchange_message>
{
    if (body.size() > max_exchange_bytes) return std::nullopt;
    auto check = nesting_check{};
    if (!json::sax_parse(body, &check, json::input_format_t::cbor)) return std::nullopt;
    try {
        return message_from(json::from_cbor(body));
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

} // namespace hibiscuswall
