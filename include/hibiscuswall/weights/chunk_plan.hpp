#pragma once
// Decides whom to ask next for which chunk of a version. Knows nothing of transport.
//
//   auto plan = chunk_plan{chunks, "host-1", settings};
//   plan.set_hosts(hosts, now);                       // live hosts that should serve the version
//   while (auto fetch = plan.next(now, random)) start(*fetch);
//   plan.ended(*fetch); then plan.held(fetch->chunk) or plan.failed(*fetch, fetch_failure::stalled, now);
//
// Hosts of other regions may take part. A chunk that no host of the region holds is then fetched from another
// region by one host of the region only, found by the same hashing; the others wait for that host.
//
// For each chunk, the first host by rendezvous hashing draws it from store or origin; the followers take over
// in order once those before them are unreachable or make no progress. All others fetch from peers, the
// chunk with the fewest known holders first.

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
    milliseconds progress_deadline{2'000}; // a host without a new chunk for this long is late
    milliseconds avoid_duration{30'000};   // sender of a corrupt chunk or a stalled one
    milliseconds busy_pause{30};           // before a busy peer is asked again
    std::size_t fetches = 6;               // in flight at a time
    std::size_t fetches_per_peer = 2;      // in flight at a time from one peer
    std::size_t draws = 1;                 // in flight at a time from store or origin
    bool helps_source_fetchers = false;    // a drawing host that has drawn its own chunks takes over others'
};

struct chunk_fetch {
    std::size_t chunk = 0; // index in the manifest
    std::string peer;      // empty: from store or origin

    [[nodiscard]] auto from_source() const -> bool { return peer.empty(); }
};

struct plan_host {
    std::string name;  // unique
    bool near = true;  // in the region of this host
    bool draws = true; // stands near the source; the others draw only where all of these are late
};

enum class fetch_failure {
    busy,        // the sender has no free upload slot
    absent,      // the sender does not hold the chunk
    stalled,     // no progress within the deadline
    unreachable, // no connection
    corrupt,     // the digest did not match
    limited,     // store or origin asked to wait
};

class chunk_plan {
public:
    chunk_plan(std::span<chunk_entry const> chunks, std::string self, chunk_plan_settings settings,
               time_point now);

    // Live hosts that should serve the version, this one included or not.
    auto set_hosts(std::vector<plan_host> hosts, time_point now) -> void;

    // Hosts of this region only.
    auto set_hosts(std::vector<std::string> const& names, time_point now) -> void;

    // What a peer reported. Flags beyond the manifest are ignored.
    auto peer_has(std::string_view peer, std::vector<bool> const& chunks, time_point now) -> void;
    auto peer_unreachable(std::string_view peer, time_point now) -> void;

    // The next fetch, counted as in flight; nothing when none is possible now.
    auto next(time_point now, random_source& random) -> std::optional<chunk_fetch>;

    // The exchange ended, with or without bytes; held() or failed() follows.
    auto ended(chunk_fetch const& fetch) -> void;
    auto held(std::size_t chunk) -> void;
    auto failed(chunk_fetch const& fetch, fetch_failure why, time_point now) -> void;

    // At a time from peers, in place of the settings.
    auto limit_fetches(std::size_t most) -> void { settings_.fetches = most; }

    // Store and origin are left alone until then.
    auto pause_source(time_point until) -> void { source_until_ = until; }

    // Chunks that no host is known to hold.
    [[nodiscard]] auto undrawn() const -> std::size_t;

    // How many hosts of the region, this one included, draw chunks now as far as is known here. Late news of
    // a peer's chunks make it too high, never too low, while the hosts agree on who is late.
    [[nodiscard]] auto drawing_hosts(time_point now) const -> std::size_t;

    // Up to count peers whose holdings are worth asking for, those known for the longest time first.
    [[nodiscard]] auto peers_to_ask(std::size_t count, time_point now) const -> std::vector<std::string>;

    [[nodiscard]] auto complete() const -> bool { return held_count_ == chunks_.size(); }
    [[nodiscard]] auto held_count() const -> std::size_t { return held_count_; }
    [[nodiscard]] auto is_held(std::size_t chunk) const -> bool { return chunks_[chunk].held; }

    // Position of this host in the chunk's rank order; nothing when it is not among the first few.
    [[nodiscard]] auto rank(std::size_t chunk) const -> std::optional<std::size_t>;

private:
    struct peer_state {
        std::vector<bool> has;
        std::size_t has_count = 0;
        std::size_t in_flight = 0;
        bool live = false;
        bool near = true;
        bool heard = false;
        bool unreachable = false;
        bool counted = false; // its chunks are in the holder counts
        time_point last_heard;
        time_point last_progress;
        time_point ask_after;   // busy until
        time_point avoid_until; // sent a corrupt or stalled chunk
    };
    struct chunk_state {
        std::string digest;
        std::vector<std::string> rank;      // first hosts by rendezvous hashing
        std::vector<std::string> near_rank; // the same among the hosts of this region
        std::size_t holders = 0;            // peers known to hold it that may be asked
        std::size_t near_holders = 0;       // those of this region
        bool held = false;
        bool busy = false; // in flight or being verified
    };

    [[nodiscard]] auto is_late(std::string const& host, time_point now) const -> bool;
    [[nodiscard]] auto is_first(std::vector<std::string> const& rank, time_point now) const -> bool;
    [[nodiscard]] auto may_draw(chunk_state const& chunk, time_point now) const -> bool;
    [[nodiscard]] auto may_import(chunk_state const& chunk, time_point now) const -> bool;
    static auto count_holder(chunk_state& chunk, peer_state const& peer, bool holds) -> void;
    [[nodiscard]] auto usable(peer_state const& peer, time_point now) const -> bool;
    auto next_draw(time_point now) -> std::optional<chunk_fetch>;
    [[nodiscard]] auto chunk_to_draw(time_point now) const -> std::optional<std::size_t>;
    auto next_from_peer(time_point now, random_source& random) -> std::optional<chunk_fetch>;
    auto count_holders(time_point now) -> void;

    std::string self_;
    chunk_plan_settings settings_;
    std::vector<chunk_state> chunks_;
    std::map<std::string, peer_state, std::less<>> peers_;
    std::vector<plan_host> hosts_; // sorted by name
    bool draws_itself_ = false;    // this host is among those that draw
    std::size_t held_count_ = 0;
    std::size_t in_flight_ = 0;
    std::size_t draws_ = 0;
    time_point source_until_;
};

// The hosts with the draws flag left on the first few of those that have it, by rendezvous hashing of the
// version; most 0: all. Many hosts that draw at once share the source's link so finely that no draw ends
// before its timeout.
[[nodiscard]] auto limit_drawers(std::string_view version, std::vector<plan_host> hosts, std::size_t most)
    -> std::vector<plan_host>;

// A host's part, in bytes a second, of the rate at which its region may draw; 0 (no limit) stays 0.
[[nodiscard]] auto draw_share(std::uint64_t region_rate, std::size_t drawing_hosts) -> std::uint64_t;

} // namespace hibiscuswall
