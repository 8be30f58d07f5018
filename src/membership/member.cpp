#include "hibiscuswall/membership/member.hpp"

#include "hibiscuswall/core/checked_json.hpp"

namespace hibiscuswall {
namespace {

constexpr std::string_view state_names[] = {"alive", "suspect", "leaving", "dead"};

} // namespace

auto member_state_text(member_state state) -> std::string_view
{
    return state_names[static_cast<int>(state)];
}

auto to_json(member const& value) -> nlohmann::json
{
    return {{"name", value.name},
            {"role", value.role == member_role::entry ? "entry" : "agent"},
            {"address", value.control_address.text()},
            {"region", value.region},
            {"failure_domain", value.failure_domain},
            {"service", value.service},
            {"incarnation", value.incarnation},
            {"state", member_state_text(value.state)},
            {"config_revision", value.config_revision}};
}

auto member_from_json(nlohmann::json const& value) -> std::optional<member>
{
    try {
        auto parsed = member{};
        parsed.name = value.at("name").get<std::string>();
        parsed.role =
            value.at("role").get<std::string>() == "entry" ? member_role::entry : member_role::agent;
        auto where = parse_address(value.at("address").get<std::string>());
        if (!where || parsed.name.empty()) return std::nullopt;
        parsed.control_address = where.value();
        parsed.region = value.at("region").get<std::string>();
        parsed.failure_domain = value.at("failure_domain").get<std::string>();
        parsed.service = value.value("service", "");
        parsed.incarnation = integer_field<std::uint64_t>(value, "incarnation");
        parsed.config_revision =
            value.contains("config_revision") ? integer_field<std::uint64_t>(value, "config_revision") : 0;
        auto const state = value.value("state", "alive");
        for (auto i = 0; i < 4; ++i)
            if (state_names[i] == state) parsed.state = static_cast<member_state>(i);
        return parsed;
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

} // namespace hibiscuswall
