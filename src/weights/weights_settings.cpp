#include "hibiscuswall/weights/weights_settings.hpp"

namespace hibiscuswall {

auto read_weights_settings(settings_reader reader) -> weights_settings
{
    constexpr auto max_bytes = 1LL << 50;
    auto s = weights_settings{};
    auto const bytes = [&](std::string_view key, std::uint64_t fallback) {
        return static_cast<std::uint64_t>(
            reader.integer(key, static_cast<long long>(fallback), 0, max_bytes));
    };
    auto const number = [&](std::string_view key, std::size_t fallback) {
        return static_cast<std::size_t>(reader.integer(key, static_cast<long long>(fallback), 1, 1024));
    };
    s.staged_bytes = bytes("staged_bytes", s.staged_bytes);
    s.upload_rate = bytes("upload_rate", s.upload_rate);
    s.download_rate = bytes("download_rate", s.download_rate);
    s.region_source_rate = bytes("region_draw_rate", s.region_source_rate);
    s.burst = bytes("burst_bytes", s.burst);
    s.upload_slots = number("upload_slots", s.upload_slots);
    s.peers = reader.boolean("peers", s.peers);
    s.peer_timeout = reader.duration("peer_timeout_ms", s.peer_timeout);
    s.poll_interval = reader.duration("poll_period_ms", s.poll_interval);
    s.poll_peers = number("poll_peers", s.poll_peers);
    s.source_fetchers = number("drawers", s.source_fetchers);
    s.drain_timeout = reader.duration("drain_timeout_ms", s.drain_timeout);
    s.load_timeout = reader.duration("load_timeout_ms", s.load_timeout);
    s.probe_interval = reader.duration("probe_period_ms", s.probe_interval);
    s.max_order_pause = reader.duration("clock_gap_ms", s.max_order_pause);
    s.plan.progress_deadline = reader.duration("progress_deadline_ms", s.plan.progress_deadline);
    s.plan.avoid_duration = reader.duration("avoid_ms", s.plan.avoid_duration);
    s.plan.busy_pause = reader.duration("busy_pause_ms", s.plan.busy_pause);
    s.plan.fetches = number("fetches", s.plan.fetches);
    s.plan.fetches_per_peer = number("fetches_per_peer", s.plan.fetches_per_peer);
    s.plan.source_fetches = number("draws", s.plan.source_fetches);
    reader.finish();
    return s;
}

} // namespace hibiscuswall
