#include "hibiscuswall/routing/routing_settings.hpp"

namespace hibiscuswall {

auto read_routing_settings(settings_reader reader) -> routing_settings
{
    auto settings = routing_settings{};
    auto const size = [&](std::string_view key, std::size_t fallback, long long low, long long high) {
        return static_cast<std::size_t>(reader.integer(key, static_cast<long long>(fallback), low, high));
    };
    settings.subset = size("subset", settings.subset, 1, 10'000);
    settings.affinity_bound = reader.number("affinity_bound", settings.affinity_bound, 1.0, 100.0);
    settings.prefix_bytes = size("prefix_bytes", settings.prefix_bytes, 0, 65'536);
    settings.assumed_limit =
        static_cast<int>(reader.integer("assumed_limit", settings.assumed_limit, 1, 10'000));
    settings.failures_to_eject =
        static_cast<int>(reader.integer("failures_to_eject", settings.failures_to_eject, 1, 1'000));
    settings.ejection_duration = reader.duration("ejection_ms", settings.ejection_duration);
    settings.max_ejection_duration = reader.duration("ejection_limit_ms", settings.max_ejection_duration);
    settings.rejection_pause = reader.duration("refusal_pause_ms", settings.rejection_pause);
    settings.report_lifetime = reader.duration("report_lifetime_ms", settings.report_lifetime);
    if (settings.report_lifetime.count() == 0) reader.complain("report_lifetime_ms", "0 is below 1");
    settings.retry_reserve = reader.number("retry_reserve", settings.retry_reserve, 0.0, 10'000.0);
    reader.finish();
    return settings;
}

} // namespace hibiscuswall
