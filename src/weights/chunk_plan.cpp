#include "hibiscuswall/weights/chunk_plan.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

// The host that draws a chunk and its followers; beyond them the rank order is not needed.
constexpr auto ranked_hosts = std::size_t{12};

} // namespace

chunk_plan::chunk_plan(std::span<chunk_entry const> chunks, std::string self, chunk_plan_settings settings,
                       time_point now)
    : self_{std::move(self)}, settings_{settings}, chunks_(chunks.size()), source_until_{now}
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
        return left.name == right.name && left.near == right.near && left.draws == right.draws;
    };
    if (std::equal(hosts.begin(), hosts.end(), hosts_.begin(), hosts_.end(), same)) return;
    hosts_ = std::move(hosts);
    for (auto& [name, peer] : peers_)
        peer.live = false;
    count_holders(now); // before a peer's region can change
    auto source_fetchers = std::vector<std::string>{};
    auto others = std::vector<std::string>{};
    auto near = std::vector<std::string>{};
    draws_itself_ = false;
    for (auto const& host : hosts_) {
        if (host.name == self_) draws_itself_ = host.draws;
        (host.draws ? source_fetchers : others).push_back(host.name);
        if (host.near || host.name == self_) near.push_back(host.name);
        if (host.name == self_) continue;
        auto const [entry, added] = peers_.try_emplace(host.name);
        auto& peer = entry->second;
        peer.live = true;
        peer.near = host.near;
        if (!added) continue;
        peer.has.resize(chunks_.size());
        peer.last_heard = now;
        peer.last_progress = now;
    }
    for (auto& chunk : chunks_) {
        chunk.rank = rendezvous_rank(chunk.digest, source_fetchers);
        auto const followers = rendezvous_rank(chunk.digest, others);
        chunk.rank.insert(chunk.rank.end(), followers.begin(), followers.end());
        chunk.rank.resize(std::min(chunk.rank.size(), ranked_hosts));
        chunk.near_rank = rendezvous_rank(chunk.digest, near);
        chunk.near_rank.resize(std::min(chunk.near_rank.size(), ranked_hosts));
    }
    count_holders(now);
}

auto chunk_plan::count_holder(chunk_state& chunk, peer_state const& peer, bool holds) -> void
{
    chunk.holders += holds ? 1 : 0;
    chunk.holders -= holds ? 0 : 1;
    if (!peer.near) return;
    chunk.near_holders += holds ? 1 : 0;
    chunk.near_holders -= holds ? 0 : 1;
}

// A chunk that only unreachable or avoided peers hold counts as held by nobody: the next host in its rank
// order draws it again.
auto chunk_plan::count_holders(time_point now) -> void
{
    for (auto& [name, peer] : peers_) {
        auto const counts = peer.live && !peer.unreachable && peer.avoid_until <= now;
        if (counts == peer.counted) continue;
        peer.counted = counts;
        for (auto i = std::size_t{0}; i < chunks_.size(); ++i) {
            if (peer.has[i]) count_holder(chunks_[i], peer, counts);
        }
    }
}

auto chunk_plan::peer_has(std::string_view name, std::vector<bool> const& chunks, time_point now) -> void
{
    auto const entry = peers_.find(name);
    if (entry == peers_.end()) return;
    auto& peer = entry->second;
    auto count = std::size_t{0};
    for (auto i = std::size_t{0}; i < chunks_.size(); ++i) {
        auto const has = i < chunks.size() && chunks[i];
        count += has ? 1 : 0;
        if (has == peer.has[i]) continue;
        peer.has[i] = has;
        if (peer.counted) count_holder(chunks_[i], peer, has);
    }
    // A peer that lost its chunks (a restart) is progressing too: it starts again.
    if (count != peer.has_count || !peer.heard || peer.unreachable) peer.last_progress = now;
    peer.has_count = count;
    peer.heard = true;
    peer.unreachable = false;
    peer.last_heard = now;
}

auto chunk_plan::peer_unreachable(std::string_view name, time_point now) -> void
{
    auto const entry = peers_.find(name);
    if (entry == peers_.end()) return;
    entry->second.unreachable = true;
    entry->second.last_heard = now;
    entry->second.ask_after = now + settings_.progress_deadline;
}

auto chunk_plan::usable(peer_state const& peer, time_point now) const -> bool
{
    return peer.live && !peer.unreachable && peer.ask_after <= now && peer.avoid_until <= now &&
           peer.in_flight < settings_.fetches_per_peer;
}

auto chunk_plan::is_late(std::string const& host, time_point now) const -> bool
{
    auto const entry = peers_.find(host);
    if (entry == peers_.end()) return true;
    auto const& peer = entry->second;
    if (!peer.live || peer.unreachable || peer.avoid_until > now) return true;
    // Judged only by what was heard from it: silence on our side proves nothing about the peer.
    return peer.heard && peer.last_heard - peer.last_progress > settings_.progress_deadline;
}

// Whether every host before this one in the rank order is late.
auto chunk_plan::is_first(std::vector<std::string> const& rank, time_point now) const -> bool
{
    for (auto const& host : rank) {
        if (host == self_) return true;
        if (!is_late(host, now)) return false;
    }
    return false;
}

auto chunk_plan::may_draw(chunk_state const& chunk, time_point now) const -> bool
{
    return is_first(chunk.rank, now);
}

auto chunk_plan::may_import(chunk_state const& chunk, time_point now) const -> bool
{
    return chunk.near_holders == 0 && is_first(chunk.near_rank, now);
}

auto chunk_plan::undrawn() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        chunks_.begin(), chunks_.end(), [](auto const& chunk) { return !chunk.held && chunk.holders == 0; }));
}

auto chunk_plan::drawing_hosts(time_point now) const -> std::size_t
{
    auto names = std::set<std::string_view>{self_};
    for (auto const& chunk : chunks_) {
        if (chunk.held || chunk.holders > 0) continue;
        auto const drawer = std::find_if(chunk.rank.begin(), chunk.rank.end(), [&](auto const& host) {
            return host == self_ || !is_late(host, now);
        });
        if (drawer != chunk.rank.end()) names.insert(*drawer);
    }
    return names.size();
}

auto limit_drawers(std::string_view version, std::vector<plan_host> hosts, std::size_t most)
    -> std::vector<plan_host>
{
    if (most == 0) return hosts;
    auto source_fetchers = std::vector<std::string>{};
    for (auto const& host : hosts)
        if (host.draws) source_fetchers.push_back(host.name);
    auto order = rendezvous_rank(version, source_fetchers);
    order.resize(std::min(order.size(), most));
    for (auto& host : hosts)
        host.draws = std::find(order.begin(), order.end(), host.name) != order.end();
    return hosts;
}

auto draw_share(std::uint64_t region_rate, std::size_t drawing_hosts) -> std::uint64_t
{
    if (region_rate == 0) return 0;
    return std::max<std::uint64_t>(1, region_rate / std::max<std::size_t>(1, drawing_hosts));
}

auto chunk_plan::next(time_point now, random_source& random) -> std::optional<chunk_fetch>
{
    count_holders(now);
    if (draws_ < settings_.draws && source_until_ <= now)
        if (auto draw = next_draw(now)) return draw;
    if (in_flight_ - draws_ >= settings_.fetches) return std::nullopt;
    return next_from_peer(now, random);
}

// Own chunks from the first on, those of other drawing hosts from the last on: host and helper meet once.
auto chunk_plan::chunk_to_draw(time_point now) const -> std::optional<std::size_t>
{
    auto helps = std::optional<std::size_t>{};
    for (auto i = std::size_t{0}; i < chunks_.size(); ++i) {
        auto const& chunk = chunks_[i];
        if (chunk.held || chunk.busy || chunk.holders > 0) continue;
        if (may_draw(chunk, now)) return i;
        if (settings_.helps_source_fetchers && draws_itself_) helps = i;
    }
    return helps;
}

auto chunk_plan::next_draw(time_point now) -> std::optional<chunk_fetch>
{
    auto const chosen = chunk_to_draw(now);
    if (!chosen) return std::nullopt;
    chunks_[*chosen].busy = true;
    ++in_flight_;
    ++draws_;
    return chunk_fetch{*chosen, {}};
}

auto chunk_plan::next_from_peer(time_point now, random_source& random) -> std::optional<chunk_fetch>
{
    auto open = std::vector<std::pair<std::string const*, peer_state*>>{};
    for (auto& [name, peer] : peers_)
        if (peer.has_count > 0 && usable(peer, now)) open.emplace_back(&name, &peer);
    if (open.empty()) return std::nullopt;

    // Rarest first; equal ones in random order, so that the hosts do not all ask for the same chunk.
    auto order = std::vector<std::pair<std::size_t, std::size_t>>{};
    for (auto i = std::size_t{0}; i < chunks_.size(); ++i)
        if (!chunks_[i].held && !chunks_[i].busy && chunks_[i].holders > 0)
            order.emplace_back(chunks_[i].holders, i);
    std::shuffle(order.begin(), order.end(), random.engine());
    std::stable_sort(order.begin(), order.end(),
                     [](auto const& left, auto const& right) { return left.first < right.first; });
    for (auto const& [holders, index] : order) {
        auto const imports = may_import(chunks_[index], now);
        auto best = std::pair<std::string const*, peer_state*>{nullptr, nullptr};
        auto ties = std::size_t{0};
        for (auto const& [name, peer] : open) {
            if (!peer->has[index] || (!peer->near && !imports)) continue;
            if (best.second != nullptr && peer->in_flight > best.second->in_flight) continue;
            ties = best.second != nullptr && peer->in_flight == best.second->in_flight ? ties + 1 : 1;
            if (random.below(ties) == 0) best = {name, peer};
        }
        if (best.second == nullptr) continue;
        chunks_[index].busy = true;
        ++in_flight_;
        ++best.second->in_flight;
        return chunk_fetch{index, *best.first};
    }
    return std::nullopt;
}

auto chunk_plan::ended(chunk_fetch const& fetch) -> void
{
    --in_flight_;
    if (fetch.from_source())
        --draws_;
    else if (auto const entry = peers_.find(fetch.peer); entry != peers_.end())
        --entry->second.in_flight;
}

auto chunk_plan::held(std::size_t chunk) -> void
{
    auto& state = chunks_[chunk];
    state.busy = false;
    if (state.held) return;
    state.held = true;
    ++held_count_;
}

auto chunk_plan::failed(chunk_fetch const& fetch, fetch_failure why, time_point now) -> void
{
    chunks_[fetch.chunk].busy = false;
    if (fetch.from_source()) {
        if (why != fetch_failure::limited) source_until_ = now + settings_.busy_pause;
        return;
    }
    auto const entry = peers_.find(fetch.peer);
    if (entry == peers_.end()) return;
    auto& peer = entry->second;
    switch (why) {
    case fetch_failure::busy:
    case fetch_failure::limited:
        peer.ask_after = now + settings_.busy_pause;
        break;
    case fetch_failure::absent:
        if (peer.has[fetch.chunk]) {
            peer.has[fetch.chunk] = false;
            --peer.has_count;
            if (peer.counted) count_holder(chunks_[fetch.chunk], peer, false);
        }
        break;
    case fetch_failure::unreachable:
        peer_unreachable(fetch.peer, now);
        break;
    case fetch_failure::stalled:
    case fetch_failure::corrupt:
        peer.avoid_until = now + settings_.avoid_duration;
        break;
    }
}

auto chunk_plan::peers_to_ask(std::size_t count, time_point now) const -> std::vector<std::string>
{
    // Hosts that draw chunks nobody is known to hold are asked sooner.
    auto drawing = std::map<std::string_view, bool>{};
    for (auto const& chunk : chunks_)
        if (!chunk.held && chunk.holders == 0 && !chunk.rank.empty()) drawing[chunk.rank.front()] = true;
    auto list = std::vector<std::pair<time_point, std::string>>{};
    for (auto const& [name, peer] : peers_) {
        if (!peer.live || peer.has_count == chunks_.size() || (peer.unreachable && peer.ask_after > now))
            continue;
        auto when = peer.heard ? peer.last_heard : time_point{};
        if (drawing.count(name) == 0) when += settings_.progress_deadline / 4;
        list.emplace_back(when, name);
    }
    auto const size = std::min(count, list.size());
    std::partial_sort(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(size), list.end());
    auto names = std::vector<std::string>{};
    for (auto i = std::size_t{0}; i < size; ++i)
        names.push_back(list[i].second);
    return names;
}

auto chunk_plan::rank(std::size_t chunk) const -> std::optional<std::size_t>
{
    auto const& order = chunks_[chunk].rank;
    auto const found = std::find(order.begin(), order.end(), self_);
    if (found == order.end()) return std::nullopt;
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace hibiscuswall
