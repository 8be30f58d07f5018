#pragma once
// What an entry sends to other entries about its quarantine, and what it learns from them. No network, no
// clock.
//
//   auto gossip = quarantine_gossip{"entry-1", quarantine, random};
//   gossip.set_entries(directory.entries(), now);
//   gossip.on_change(now);                                // after a local change of the quarantine
//   auto const round = gossip.take_due_round(now);        // again at gossip.next_round()
//   gossip.merge(received, now);
//
// A change carries the changed records only, a repeat all of them: several datagrams in turn if they are
// many.

#include "hibiscuswall/fleet/quarantine_schedule.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"
#include "hibiscuswall/serving/prompt_quarantine.hpp"
#include "hibiscuswall/serving/sender_assignment.hpp"

#include <string>
#include <vector>

namespace hibiscuswall {

// Each datagram goes to each target.
struct gossip_round {
    std::vector<address> targets;
    std::vector<std::string> datagrams;
};

class quarantine_gossip {
public:
    quarantine_gossip(std::string self, prompt_quarantine& quarantine, random_source& random,
                      quarantine_schedule_settings settings = {});

    // The entries of the fleet. This one, and those without a peer address, get no records.
    auto set_entries(std::span<listed_entry const> entries, time_point now) -> void;

    auto on_change(time_point now) -> void { schedule_.on_change(now); }
    [[nodiscard]] auto next_round() const -> time_point { return schedule_.next_round(); }

    // What has to be sent now; empty if nothing has.
    [[nodiscard]] auto take_due_round(time_point now) -> gossip_round;

    // Returns whether the records told something new, which then is passed on.
    auto merge(quarantine_records const& received, time_point now) -> bool;

private:
    [[nodiscard]] auto datagrams_of(round_reason reason, time_point now) -> std::vector<std::string>;
    [[nodiscard]] auto next_page(std::vector<std::string> datagrams) -> std::vector<std::string>;

    std::string self_;
    prompt_quarantine& quarantine_;
    random_source& random_;
    quarantine_schedule schedule_;
    record_changes changes_;
    std::vector<address> peers_; // of other entries, sorted
    std::size_t page_start_ = 0; // first datagram of the next repeat
};

} // namespace hibiscuswall
