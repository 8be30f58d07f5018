#include "hibiscuswall/daemon/daemon_settings.hpp"

namespace hibiscuswall {

auto read_identity(settings_reader& reader, member& self) -> void
{
    self.name = reader.text("name");
    self.region = reader.text("region");
    self.failure_domain = reader.text("failure_domain");
}

auto read_daemon_settings(settings_reader& reader, daemon_settings& settings) -> void
{
    read_identity(reader, settings.self);
    settings.self.incarnation = static_cast<std::uint64_t>(wall_clock_ms());
    settings.connect_from = reader.optional_ip("connect_from");
    settings.platform = read_platform_settings(reader.child("platform"));
    settings.stop = read_stop_settings(reader.child("stop"));
    settings.config = read_config_settings(reader.child("config"));
    settings.membership = read_membership_settings(reader.child("membership"));
    settings.log_level = reader.choice("log_level", "info", {"debug", "info", "warning", "error"});
}

auto read_advertised_address(settings_reader& reader, address const& listen, member& self) -> void
{
    auto const advertised = reader.optional_address("advertise");
    self.control_address = advertised.empty() ? listen : advertised;
}

} // namespace hibiscuswall
