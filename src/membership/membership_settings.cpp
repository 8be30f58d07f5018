#include "hibiscuswall/membership/membership_settings.hpp"

namespace hibiscuswall {

auto read_membership_settings(settings_reader reader) -> membership_settings
{
    auto settings = membership_settings{};
    settings.exchange_interval = reader.duration("exchange_interval_ms", settings.exchange_interval);
    settings.early_exchange_interval = reader.duration("news_interval_ms", settings.early_exchange_interval);
    settings.host_list_interval = reader.duration("host_list_interval_ms", settings.host_list_interval);
    settings.peer_timeout = reader.duration("peer_timeout_ms", settings.peer_timeout);
    settings.suspect_timeout = reader.duration("suspicion_ms", settings.suspect_timeout);
    settings.removal_delay = reader.duration("forget_ms", settings.removal_delay);
    settings.missed_probes =
        static_cast<int>(reader.integer("missed_probes", settings.missed_probes, 1, 100));
    settings.members_per_exchange =
        static_cast<int>(reader.integer("members_per_exchange", settings.members_per_exchange, 1, 1'000));
    settings.exchange_bytes_per_second = static_cast<int>(
        reader.integer("exchange_bytes_per_second", settings.exchange_bytes_per_second, 100, 1'000'000));
    settings.leaving_peers =
        static_cast<int>(reader.integer("leaving_peers", settings.leaving_peers, 1, 1'000));
    reader.finish();
    return settings;
}

} // namespace hibiscuswall
