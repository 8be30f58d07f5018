#include "hibiscuswall/fleet/quarantine_gossip.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_sent_segments = std::size_t{256};
constexpr auto max_repeat_datagrams =
    std::size_t{4}; // to one entry in one round; further ones follow in turn

} // namespace

quarantine_gossip::quarantine_gossip(std::string self, prompt_quarantine& quarantine, random_source& random,
                                     quarantine_schedule_settings settings)
    : self_{std::move(self)}, quarantine_{quarantine}, random_{random}, schedule_{settings}
{
}

auto quarantine_gossip::set_entries(std::span<listed_entry const> entries, time_point now) -> void
{
    auto peers = std::vector<address>{};
    for (auto const& entry : entries)
        if (entry.name != self_ && entry.peer_address) peers.push_back(*entry.peer_address);
    std::sort(peers.begin(), peers.end());
    auto const has_new = !std::includes(peers_.begin(), peers_.end(), peers.begin(), peers.end());
    if (has_new) schedule_.on_new_peer(now);
    peers_ = std::move(peers);
}

auto quarantine_gossip::take_due_round(time_point now) -> gossip_round
{
    auto const reason = schedule_.take_due_round(now);
    if (!reason || peers_.empty()) return {};
    auto datagrams = datagrams_of(*reason, now);
    if (datagrams.empty()) return {};
    return {schedule_.choose_targets(*reason, peers_, random_), std::move(datagrams)};
}

auto quarantine_gossip::merge(quarantine_records const& received, time_point now) -> bool
{
    if (received.entry == self_) return false;
    if (!quarantine_.merge(with_times(received.segments, now), now)) return false;
    on_change(now);
    return true;
}

auto quarantine_gossip::datagrams_of(round_reason reason, time_point now) -> std::vector<std::string>
{
    auto const records = quarantine_.records(max_sent_segments, now);
    if (reason == round_reason::change) return encode_all({self_, with_ages(changes_.take(records), now)});
    return next_page(encode_all({self_, with_ages(records, now)}));
}

auto quarantine_gossip::next_page(std::vector<std::string> datagrams) -> std::vector<std::string>
{
    if (datagrams.size() <= max_repeat_datagrams) return datagrams;
    auto const first = page_start_ % datagrams.size();
    std::rotate(datagrams.begin(), datagrams.begin() + static_cast<std::ptrdiff_t>(first), datagrams.end());
    page_start_ = (first + max_repeat_datagrams) % datagrams.size();
    datagrams.resize(max_repeat_datagrams);
    return datagrams;
}

} // namespace hibiscuswall
