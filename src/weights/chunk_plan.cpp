#include "hibiscuswall/weights/chunk_plan.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

// Hosts kept in a chunk's ranking: the one that fetches it from the source and those that may take over.
constexpr auto max_ranked_hosts = std::size_t{12};

// Hosts report to each other in turn. One is silent if each of the others has reported about this often since
// it last did, for this many progress deadlines at least.
constexpr auto silent_rounds = std::size_t{2};

} // namespace

chunk_plan::chunk_plan(std::span<chunk_entry const> chunks, std::string self, chunk_plan_settings settings,
                       time_point now)
    : self_{std::move(self)}, settings_{settings}, chunks_(chunks.size()), source_paused_until_{now}
{
    for (auto i = std::size_t{0}; i < chunks.size(); ++i)
        chunks_[i].digest = chunks[i].sha256;
}

auto chunk_plan::set_hosts(std::vector<std::string> const& names, time_point now) -> void
{
    auto hosts = std::vector<plan_host>{};
    for (auto const& name : names)
        hosts.push_back({name});
    set_hosts(std::move(hosts), now);
}

auto chunk_plan::set_hosts(std::vector<plan_host> hosts, time_point now) -> void
{
    auto const by_name = [](plan_host const& left, plan_host const& right) { return left.name < right.name; };
    if (std::none_of(hosts.begin(), hosts.end(), [&](auto const& host) { return host.name == self_; }))
        hosts.push_back({self_});
    std::sort(hosts.begin(), hosts.end(), by_name);
    auto const same = [](plan_host const& left, plan_host const& right) {
        return left.name == right.name && left.same_region == right.same_region &&
               left.is_source_fetcher == right.is_source_fetcher;
    };
    if (std::equal(hosts.begin(), hosts.end(), hosts_.begin(), hosts_.end(), same)) return;
    hosts_ = std::move(hosts);
    region_peers_ = 0;
    for (auto& [name, peer] : peers_)
        peer.live = false;
    count_holders(now); // while the peers still have the regions by which they were counted
    auto source_fetchers = std::vector<std::string>{};
    auto others = std::vector<std::string>{};
    auto same_region = std::vector<std::string>{};
    is_source_fetcher_ = false;
    for (auto const& host : hosts_) {
        if (host.name == self_) is_source_fetcher_ = host.is_source_fetcher;
        (host.is_source_fetcher ? source_fetchers : others).push_back(host.name);
        if (host.same_region || host.name == self_) same_region.push_back(host.name);
        if (host.name == self_) continue;
        auto const [entry, added] = peers_.try_emplace(host.name);
        auto& peer = entry->second;
        peer.live = true;
        peer.same_region = host.same_region;
        region_peers_ += peer.same_region ? 1 : 0;
        if (!added) continue;
        peer.has_chunk.resize(chunks_.size());
        peer.last_report_at = now;
        peer.last_progress_at = now;
        peer.region_reports_at_last = region_reports_;
    }
    for (auto& chunk : chunks_) {
        chunk.ranking = rendezvous_rank(chunk.digest, source_fetchers);
        auto const followers = rendezvous_rank(chunk.digest, others);
        chunk.ranking.insert(chunk.ranking.end(), followers.begin(), followers.end());
        chunk.ranking.resize(std::min(chunk.ranking.size(), max_ranked_hosts));
        chunk.same_region_ranking = rendezvous_rank(chunk.digest, same_region);
        chunk.same_region_ranking.resize(std::min(chunk.same_region_ranking.size(), max_ranked_hosts));
    }
    count_holders(now);
}

auto chunk_plan::count_holder(chunk_state& chunk, peer_state const& peer, bool holds) -> void
{
    chunk.holders += holds ? 1 : 0;
    chunk.holders -= holds ? 0 : 1;
    if (!peer.same_region) return;
    chunk.same_region_holders += holds ? 1 : 0;
    chunk.same_region_holders -= holds ? 0 : 1;
}

// Leaves out peers that are lost, unreachable or avoided. A chunk that only they hold has no holder, so that
// the next host in its ranking fetches it from the source again.
auto chunk_plan::count_holders(time_point now) -> void
{
    for (auto& [name, peer] : peers_) {
        auto const is_counted = peer.live && !peer.unreachable && peer.avoid_until <= now;
        if (is_counted == peer.counted_as_holder) continue;
        peer.counted_as_holder = is_counted;
        for (auto i = std::size_t{0}; i < chunks_.size(); ++i) {
            if (peer.has_chunk[i]) count_holder(chunks_[i], peer, is_counted);
        }
    }
}

auto chunk_plan::on_peer_holdings(std::string_view name, std::vector<bool> const& chunks, time_point now)
    -> void
{
    auto const entry = peers_.find(name);
    if (entry == peers_.end()) return;
    auto& peer = entry->second;
    auto count = std::size_t{0};
    for (auto i = std::size_t{0}; i < chunks_.size(); ++i) {
        auto const has = i < chunks.size() && chunks[i];
        count += has ? 1 : 0;
        if (has == peer.has_chunk[i]) continue;
        peer.has_chunk[i] = has;
        if (peer.counted_as_holder) count_holder(chunks_[i], peer, has);
    }
    // Fewer chunks than before count as progress, too: the peer restarted and fetches them again.
    if (count != peer.chunk_count || !peer.has_reported || peer.unreachable) peer.last_progress_at = now;
    peer.chunk_count = count;
    peer.has_reported = true;
    peer.unreachable = false;
    peer.last_report_at = now;
    region_reports_ += peer.same_region ? 1 : 0;
    peer.region_reports_at_last = region_reports_;
}

auto chunk_plan::on_peer_unreachable(std::string_view name, time_point now) -> void
{
    auto const entry = peers_.find(name);
    if (entry == peers_.end()) return;
    entry->second.unreachable = true;
    entry->second.last_report_at = now;
    entry->second.retry_after = now + settings_.progress_deadline;
}

auto chunk_plan::usable(peer_state const& peer, time_point now) const -> bool
{
    return peer.live && !peer.unreachable && peer.retry_after <= now && peer.avoid_until <= now &&
           peer.in_flight < settings_.fetches_per_peer;
}

auto chunk_plan::is_inactive(std::string const& host, time_point now) const -> bool
{
    auto const entry = peers_.find(host);
    if (entry == peers_.end()) return true;
    auto const& peer = entry->second;
    if (!peer.live || peer.unreachable || peer.avoid_until > now) return true;
    if (is_silent(peer, now)) return true;
    return peer.has_reported && peer.last_report_at - peer.last_progress_at > settings_.progress_deadline;
}

// Silence counts only while others of the region report: without any report, the fault may be on the side of
// this host.
auto chunk_plan::is_silent(peer_state const& peer, time_point now) const -> bool
{
    return peer.same_region &&
           region_reports_ - peer.region_reports_at_last > silent_rounds * region_peers_ &&
           now - peer.last_report_at > silent_rounds * settings_.progress_deadline;
}

// Whether every host before the local one in the ranking is inactive.
auto chunk_plan::is_first_active(std::vector<std::string> const& ranking, time_point now) const -> bool
{
    for (auto const& host : ranking) {
        if (host == self_) return true;
        if (!is_inactive(host, now)) return false;
    }
    return false;
}

auto chunk_plan::may_fetch_from_source(chunk_state const& chunk, time_point now) const -> bool
{
    return is_first_active(chunk.ranking, now);
}

auto chunk_plan::may_fetch_cross_region(chunk_state const& chunk, time_point now) const -> bool
{
    return chunk.same_region_holders == 0 && is_first_active(chunk.same_region_ranking, now);
}

auto chunk_plan::chunks_without_holder() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        chunks_.begin(), chunks_.end(), [](auto const& chunk) { return !chunk.held && chunk.holders == 0; }));
}

auto chunk_plan::source_fetcher_count(time_point now) const -> std::size_t
{
    auto names = std::set<std::string_view>{self_};
    for (auto const& chunk : chunks_) {
        if (chunk.held || chunk.holders > 0) continue;
        auto const fetcher = std::find_if(chunk.ranking.begin(), chunk.ranking.end(), [&](auto const& host) {
            return host == self_ || !is_inactive(host, now);
        });
        if (fetcher != chunk.ranking.end()) names.insert(*fetcher);
    }
    return names.size();
}

auto limit_source_fetchers(std::string_view version, std::vector<plan_host> hosts, std::size_t max_count)
    -> std::vector<plan_host>
{
    if (max_count == 0) return hosts;
    auto source_fetchers = std::vector<std::string>{};
    for (auto const& host : hosts)
        if (host.is_source_fetcher) source_fetchers.push_back(host.name);
    auto order = rendezvous_rank(version, source_fetchers);
    order.resize(std::min(order.size(), max_count));
    for (auto& host : hosts)
        host.is_source_fetcher = std::find(order.begin(), order.end(), host.name) != order.end();
    return hosts;
}

auto region_fetchers(std::span<chunk_entry const> chunks, std::span<std::string const> names)
    -> std::vector<std::string>
{
    auto fetchers = std::vector<std::string>{};
    if (names.empty()) return fetchers;
    for (auto const& chunk : chunks) {
        auto const ranks_lower = [&](std::string const& left, std::string const& right) {
            auto const left_weight = rendezvous_weight(chunk.sha256, left);
            auto const right_weight = rendezvous_weight(chunk.sha256, right);
            return left_weight != right_weight ? left_weight < right_weight : left > right;
        };
        fetchers.push_back(*std::max_element(names.begin(), names.end(), ranks_lower));
    }
    return fetchers;
}

auto source_rate_share(std::uint64_t region_rate, std::size_t source_fetcher_count) -> std::uint64_t
{
    if (region_rate == 0) return 0;
    return std::max<std::uint64_t>(1, region_rate / std::max<std::size_t>(1, source_fetcher_count));
}

auto chunk_plan::next(time_point now, random_source& random) -> std::optional<chunk_fetch>
{
    count_holders(now);
    if (source_fetches_ < settings_.source_fetches && source_paused_until_ <= now)
        if (auto fetch = next_source_fetch(now)) return fetch;
    if (in_flight_ - source_fetches_ >= settings_.fetches) return std::nullopt;
    return next_peer_fetch(now, random);
}

// Chunks of the local host are taken in ascending order, those of other source fetchers in descending order,
// so that a slow source fetcher and its helper approach each other and fetch few chunks twice.
auto chunk_plan::next_source_chunk(time_point now) const -> std::optional<std::size_t>
{
    auto assisted_chunk = std::optional<std::size_t>{};
    for (auto i = std::size_t{0}; i < chunks_.size(); ++i) {
        auto const& chunk = chunks_[i];
        if (chunk.held || chunk.in_progress || chunk.holders > 0) continue;
        if (may_fetch_from_source(chunk, now)) return i;
        if (settings_.helps_source_fetchers && is_source_fetcher_) assisted_chunk = i;
    }
    return assisted_chunk;
}

auto chunk_plan::next_source_fetch(time_point now) -> std::optional<chunk_fetch>
{
    auto const chosen = next_source_chunk(now);
    if (!chosen) return std::nullopt;
    chunks_[*chosen].in_progress = true;
    ++in_flight_;
    ++source_fetches_;
    return chunk_fetch{*chosen, {}};
}

auto chunk_plan::next_peer_fetch(time_point now, random_source& random) -> std::optional<chunk_fetch>
{
    auto available = std::vector<std::pair<std::string const*, peer_state*>>{};
    for (auto& [name, peer] : peers_)
        if (peer.chunk_count > 0 && usable(peer, now)) available.emplace_back(&name, &peer);
    if (available.empty()) return std::nullopt;

    // Chunks with the fewest holders come first. Ties are shuffled, so that the hosts do not all fetch the
    // same chunk.
    auto order = std::vector<std::pair<std::size_t, std::size_t>>{};
    for (auto i = std::size_t{0}; i < chunks_.size(); ++i)
        if (!chunks_[i].held && !chunks_[i].in_progress && chunks_[i].holders > 0)
            order.emplace_back(chunks_[i].holders, i);
    std::shuffle(order.begin(), order.end(), random.engine());
    std::stable_sort(order.begin(), order.end(),
                     [](auto const& left, auto const& right) { return left.first < right.first; });
    for (auto const& [holders, index] : order) {
        auto const may_cross_region = may_fetch_cross_region(chunks_[index], now);
        if (!may_cross_region && chunks_[index].same_region_holders == 0) continue; // no peer to look for
        auto best = std::pair<std::string const*, peer_state*>{nullptr, nullptr};
        auto ties = std::size_t{0};
        for (auto const& [name, peer] : available) {
            if (!peer->has_chunk[index] || (!peer->same_region && !may_cross_region)) continue;
            if (best.second != nullptr && peer->in_flight > best.second->in_flight) continue;
            ties = best.second != nullptr && peer->in_flight == best.second->in_flight ? ties + 1 : 1;
            if (random.below(ties) == 0) best = {name, peer};
        }
        if (best.second == nullptr) continue;
        chunks_[index].in_progress = true;
        ++in_flight_;
        ++best.second->in_flight;
        return chunk_fetch{index, *best.first};
    }
    return std::nullopt;
}

auto chunk_plan::on_fetch_ended(chunk_fetch const& fetch) -> void
{
    --in_flight_;
    if (fetch.from_source())
        --source_fetches_;
    else if (auto const entry = peers_.find(fetch.peer); entry != peers_.end())
        --entry->second.in_flight;
}

auto chunk_plan::on_chunk_verified(std::size_t chunk) -> void
{
    auto& state = chunks_[chunk];
    state.in_progress = false;
    if (state.held) return;
    state.held = true;
    ++held_count_;
}

auto chunk_plan::on_fetch_failed(chunk_fetch const& fetch, fetch_failure failure, time_point now) -> void
{
    chunks_[fetch.chunk].in_progress = false;
    if (fetch.from_source()) {
        if (failure != fetch_failure::limited) source_paused_until_ = now + settings_.busy_pause;
        return;
    }
    auto const entry = peers_.find(fetch.peer);
    if (entry == peers_.end()) return;
    auto& peer = entry->second;
    switch (failure) {
    case fetch_failure::busy:
    case fetch_failure::limited:
        peer.retry_after = now + settings_.busy_pause;
        break;
    case fetch_failure::absent:
        if (peer.has_chunk[fetch.chunk]) {
            peer.has_chunk[fetch.chunk] = false;
            --peer.chunk_count;
            if (peer.counted_as_holder) count_holder(chunks_[fetch.chunk], peer, false);
        }
        break;
    case fetch_failure::unreachable:
        on_peer_unreachable(fetch.peer, now);
        break;
    case fetch_failure::stalled:
    case fetch_failure::corrupt:
        peer.avoid_until = now + settings_.avoid_duration;
        break;
    }
}

auto chunk_plan::peers_to_poll(std::size_t count, time_point now) const -> std::vector<std::string>
{
    // Hosts that should fetch a chunk without a known holder from the source are polled earlier.
    auto expected_fetchers = std::map<std::string_view, bool>{};
    for (auto const& chunk : chunks_)
        if (!chunk.held && chunk.holders == 0 && !chunk.ranking.empty())
            expected_fetchers[chunk.ranking.front()] = true;
    auto candidates = std::vector<std::pair<time_point, std::string>>{};
    for (auto const& [name, peer] : peers_) {
        if (!peer.live || peer.chunk_count == chunks_.size() || (peer.unreachable && peer.retry_after > now))
            continue;
        auto when = peer.has_reported ? peer.last_report_at : time_point{};
        if (expected_fetchers.count(name) == 0) when += settings_.progress_deadline / 4;
        candidates.emplace_back(when, name);
    }
    auto const size = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(size),
                      candidates.end());
    auto names = std::vector<std::string>{};
    for (auto i = std::size_t{0}; i < size; ++i)
        names.push_back(candidates[i].second);
    return names;
}

auto chunk_plan::rank(std::size_t chunk) const -> std::optional<std::size_t>
{
    auto const& order = chunks_[chunk].ranking;
    auto const found = std::find(order.begin(), order.end(), self_);
    if (found == order.end()) return std::nullopt;
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace hibiscuswall
