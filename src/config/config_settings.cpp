#include "hibiscuswall/config/config_settings.hpp"

namespace hibiscuswall {

auto read_config_settings(settings_reader reader) -> config_settings
{
    auto settings = config_settings{};
    settings.watch_wait = reader.duration("watch_wait_ms", settings.watch_wait);
    settings.retry_delay = reader.duration("retry_delay_ms", settings.retry_delay);
    settings.retry_limit = reader.duration("retry_limit_ms", settings.retry_limit);
    settings.peer_timeout = reader.duration("peer_timeout_ms", settings.peer_timeout);
    settings.tick = reader.duration("tick_ms", settings.tick);
    settings.pause_threshold = reader.duration("pause_threshold_ms", settings.pause_threshold);
    settings.apply_timeout = reader.duration("apply_timeout_ms", settings.apply_timeout);
    settings.collect_interval = reader.duration("collect_interval_ms", settings.collect_interval);
    settings.collect_grace = reader.duration("collect_grace_ms", settings.collect_grace);
    settings.fan_out = static_cast<int>(reader.integer("fan_out", settings.fan_out, 1, 64));
    if (settings.collect_grace <= settings.apply_timeout * 2)
        reader.complain("collect_grace_ms", "must be more than twice apply_timeout_ms");
    reader.finish();
    return settings;
}

} // namespace hibiscuswall
