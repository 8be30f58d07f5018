#include "hibiscuswall/daemon/direct_settings.hpp"

#include "hibiscuswall/daemon/daemon_settings.hpp"

namespace hibiscuswall {
namespace {

constexpr auto longest_time = 3'600'000.0; // milliseconds

auto read_common(settings_reader& reader, direct_settings& settings) -> void
{
    read_identity(reader, settings.self);
    settings.self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    settings.store = reader.endpoint_address("store");
    settings.store_timeout = reader.duration("store_timeout_ms", settings.store_timeout);
    settings.peer_listen = reader.endpoint_address("peer_listen");
    settings.self.control_address = settings.peer_listen;
    settings.regions = reader.text_map("regions");
    settings.stop_time = reader.duration("stop_time_ms", settings.stop_time);
    settings.settle_time = reader.duration("settle_time_ms", settings.settle_time);
    settings.declared.old_version_grace_period =
        reader.duration("version_time_ms", settings.declared.old_version_grace_period);
    settings.log_level = reader.choice("log_level", "info", {"debug", "info", "warning", "error"});
}

auto read_relay(settings_reader reader) -> relay_settings
{
    auto relay = relay_settings{};
    auto& retry_limits = relay.retry_limits;
    retry_limits.ratio = reader.number("repeat_ratio", retry_limits.ratio, 0, 10);
    retry_limits.reserve = reader.number("repeat_reserve", retry_limits.reserve, 0, 1e6);
    auto const window = reader.number("repeat_window_s", 10, 0.1, longest_time / 1000);
    retry_limits.window = milliseconds{static_cast<long long>(window * 1000)};
    auto& placement = relay.placement;
    placement.cold_multiplier = reader.number("cold_multiplier", placement.cold_multiplier, 0, 100);
    placement.cold_reserve = reader.number("cold_reserve", placement.cold_reserve, 0, 1e6);
    reader.finish();
    return relay;
}

} // namespace

auto is_direct(nlohmann::json const& document) -> bool
{
    return document.is_object() && document.contains("store") && document.contains("peer_listen");
}

auto read_direct_entry_settings(nlohmann::json const& document, std::vector<std::string>& errors)
    -> direct_entry_settings
{
    auto settings = direct_entry_settings{};
    auto reader = settings_reader{document, "", errors};
    read_common(reader, settings);
    settings.caller_listen = reader.endpoint_address("caller_listen");
    settings.ready_listen = reader.endpoint_address("ready_listen");
    settings.relay = read_relay(reader.child("limits"));
    reader.finish();
    settings.self.role = member_role::entry;
    return settings;
}

auto read_direct_agent_settings(nlohmann::json const& document, std::vector<std::string>& errors)
    -> direct_agent_settings
{
    auto settings = direct_agent_settings{};
    auto reader = settings_reader{document, "", errors};
    read_common(reader, settings);
    settings.engine = reader.endpoint_address("engine");
    settings.service = reader.text("service");
    settings.link_mbps = reader.number("link_mbps", settings.link_mbps, 0, 1e9);
    reader.finish();
    settings.self.role = member_role::agent;
    settings.self.service = settings.service;
    return settings;
}

} // namespace hibiscuswall
