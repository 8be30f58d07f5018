#pragma once
// Selects the next chunk to fetch and the host to fetch it from. Has no network code.
//
//   auto plan = chunk_plan{chunks, "host-1", settings, now};
//   plan.set_hosts(hosts, now);                       // live hosts that should serve the version
//   while (auto fetch = plan.next(now, random)) start(*fetch);
//   plan.on_fetch_ended(*fetch);                      // always, then one of the following two
//   plan.on_chunk_verified(fetch->chunk);
//   plan.on_fetch_failed(*fetch, fetch_failure::stalled, now);
//
// Rendezvous hashing ranks the hosts for each chunk. The first host fetches the chunk from the weight store
// or the origin (source fetch). The hosts ranked after it take over in order once all hosts before them are
// unreachable, make no progress, or are silent while the other hosts of the region report. All other hosts
// fetch the chunk from peers, the chunk with the fewest known holders first.
//
// Hosts of other regions may take part. If no host of the local region holds a chunk, only one host of the
// region, chosen by the same hashing, fetches it from another region; the others wait for that host. Source
// fetchers tell these hosts what they hold, see region_fetchers().

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/weights/manifest.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct chunk_plan_settings {
    milliseconds progress_deadline{2'000}; // after this long without a new chunk, a host is inactive
    milliseconds avoid_duration{30'000};   // how long a peer is avoided after a corrupt or stalled chunk
    milliseconds busy_pause{30};           // delay before a busy peer is asked again
    std::size_t fetches = 6;               // maximum of concurrent peer fetches
    std::size_t fetches_per_peer = 2;      // maximum of concurrent fetches from one peer
    std::size_t source_fetches = 1;        // maximum of concurrent fetches from store or origin
    // A source fetcher that has fetched all of its own chunks fetches those of other source fetchers.
    bool helps_source_fetchers = false;
};

struct chunk_fetch {
    std::size_t chunk = 0; // index in the manifest
    std::string peer;      // empty for a source fetch

    [[nodiscard]] auto from_source() const -> bool { return peer.empty(); }
};

struct plan_host {
    std::string name;        // unique
    bool same_region = true; // in the region of the local host
    // Fetches from the source, normally because it is in the source's region. Other hosts do so only if all
    // hosts with this flag are inactive.
    bool is_source_fetcher = true;
};

enum class fetch_failure {
    busy,        // the peer has no free upload slot
    absent,      // the peer does not hold the chunk
    stalled,     // no progress within the deadline, or another transport error
    unreachable, // connecting failed or the connection was lost
    corrupt,     // the size or the digest did not match
    limited,     // no fetch now: the source asked to wait or the transfer was cancelled
};

// For each chunk, the host among `names`, the hosts of one region, that fetches it from another region. Every
// host computes the same result.
[[nodiscard]] auto region_fetchers(std::span<chunk_entry const> chunks, std::span<std::string const> names)
    -> std::vector<std::string>;

class chunk_plan {
public:
    chunk_plan(std::span<chunk_entry const> chunks, std::string self, chunk_plan_settings settings,
               time_point now);

    // Live hosts that should serve the version. The local host is added if it is not listed.
    auto set_hosts(std::vector<plan_host> hosts, time_point now) -> void;

    // The same for hosts that are all in the local region.
    auto set_hosts(std::vector<std::string> const& names, time_point now) -> void;

    // Records which chunks a peer reported to hold. Flags beyond the manifest's chunks are ignored.
    auto on_peer_holdings(std::string_view peer, std::vector<bool> const& chunks, time_point now) -> void;
    auto on_peer_unreachable(std::string_view peer, time_point now) -> void;

    // The next fetch, which counts as in flight from now on; nullopt if none is possible now.
    auto next(time_point now, random_source& random) -> std::optional<chunk_fetch>;

    // The fetch is no longer in flight; on_chunk_verified() or on_fetch_failed() follows.
    auto on_fetch_ended(chunk_fetch const& fetch) -> void;
    auto on_chunk_verified(std::size_t chunk) -> void;
    auto on_fetch_failed(chunk_fetch const& fetch, fetch_failure failure, time_point now) -> void;

    // Replaces chunk_plan_settings::fetches.
    auto set_max_peer_fetches(std::size_t max_count) -> void { settings_.fetches = max_count; }

    // Starts no source fetch before this time.
    auto pause_source(time_point until) -> void { source_paused_until_ = until; }

    // Number of chunks that no host is known to hold.
    [[nodiscard]] auto chunks_without_holder() const -> std::size_t;

    // Number of hosts of the region that fetch from the source now according to the peers' reports; the local
    // host is always counted. Delayed reports make it too high, but never too low while the hosts agree on
    // which of them are inactive.
    [[nodiscard]] auto source_fetcher_count(time_point now) const -> std::size_t;

    // Up to count peers to ask for their holdings, those with the oldest reports first.
    [[nodiscard]] auto peers_to_poll(std::size_t count, time_point now) const -> std::vector<std::string>;

    [[nodiscard]] auto complete() const -> bool { return held_count_ == chunks_.size(); }
    [[nodiscard]] auto held_count() const -> std::size_t { return held_count_; }
    [[nodiscard]] auto is_held(std::size_t chunk) const -> bool { return chunks_[chunk].held; }

    // Position of the local host in the chunk's ranking; nullopt if it is not among the first 12
    // hosts (max_ranked_hosts in chunk_plan.cpp).
    [[nodiscard]] auto rank(std::size_t chunk) const -> std::optional<std::size_t>;

private:
    struct peer_state {
        std::vector<bool> has_chunk; // by index in the manifest
        std::size_t chunk_count = 0; // number of set flags in has_chunk
        std::size_t in_flight = 0;
        bool live = false;
        bool same_region = true;
        bool has_reported = false;
        bool unreachable = false;
        bool counted_as_holder = false; // its chunks are included in the holder counts
        time_point last_report_at;      // of a host that has not reported: when it was added
        time_point last_progress_at;
        std::size_t region_reports_at_last = 0; // region_reports_ at that time
        time_point retry_after;                 // not asked until then, because it was busy or unreachable
        time_point avoid_until; // not asked until then, because it sent a corrupt or stalled chunk
    };
    struct chunk_state {
        std::string digest;
        std::vector<std::string> ranking;             // first hosts by rendezvous hashing
        std::vector<std::string> same_region_ranking; // first hosts of the local region
        std::size_t holders = 0;             // live, reachable and not avoided peers known to hold the chunk
        std::size_t same_region_holders = 0; // those of them in the local region
        bool held = false;
        bool in_progress = false; // in flight or being verified
    };

    [[nodiscard]] auto is_inactive(std::string const& host, time_point now) const -> bool;
    [[nodiscard]] auto is_silent(peer_state const& peer, time_point now) const -> bool;
    [[nodiscard]] auto is_first_active(std::vector<std::string> const& ranking, time_point now) const -> bool;
    [[nodiscard]] auto may_fetch_from_source(chunk_state const& chunk, time_point now) const -> bool;
    [[nodiscard]] auto may_fetch_cross_region(chunk_state const& chunk, time_point now) const -> bool;
    static auto count_holder(chunk_state& chunk, peer_state const& peer, bool holds) -> void;
    [[nodiscard]] auto usable(peer_state const& peer, time_point now) const -> bool;
    auto next_source_fetch(time_point now) -> std::optional<chunk_fetch>;
    [[nodiscard]] auto next_source_chunk(time_point now) const -> std::optional<std::size_t>;
    auto next_peer_fetch(time_point now, random_source& random) -> std::optional<chunk_fetch>;
    auto count_holders(time_point now) -> void;

    std::string self_;
    chunk_plan_settings settings_;
    std::vector<chunk_state> chunks_;
    std::map<std::string, peer_state, std::less<>> peers_;
    std::vector<plan_host> hosts_;   // sorted by name
    bool is_source_fetcher_ = false; // of the local host
    std::size_t region_peers_ = 0;   // live peers of the local region
    std::size_t region_reports_ = 0; // received from peers of the local region
    std::size_t held_count_ = 0;
    std::size_t in_flight_ = 0;
    std::size_t source_fetches_ = 0;
    time_point source_paused_until_;
};

// Keeps is_source_fetcher set only for the first max_count of the hosts that have it, by rendezvous hashing
// of the version; 0 means no limit. If many hosts fetch from the source at once, each gets so small a share
// of its link that no chunk arrives before its timeout.
[[nodiscard]] auto limit_source_fetchers(std::string_view version, std::vector<plan_host> hosts,
                                         std::size_t max_count) -> std::vector<plan_host>;

// A host's share, in bytes per second, of the rate at which its region may fetch from the source. A
// region_rate of 0 (no limit) gives 0.
[[nodiscard]] auto source_rate_share(std::uint64_t region_rate, std::size_t source_fetcher_count)
    -> std::uint64_t;

} // namespace hibiscuswall
