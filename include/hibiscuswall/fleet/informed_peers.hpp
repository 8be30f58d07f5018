#pragma once
// Processes that are known to have a change, as load reports name them. No network, no clock.
//
//   auto peers = informed_peers{};
//   peers.on_reported(entry, revision, is_near, now);
//   for (auto const& peer : peers.newer_than(own_revision, now)) ...    // whom to ask first comes first

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace hibiscuswall {

class informed_peers {
public:
    // is_near: the report came from this process's region, where reports prefer peers of that region.
    auto on_reported(address const& peer, std::uint64_t revision, bool is_near, time_point now) -> void;

    // Peers with a newer change than that revision: those with the newest one first, near ones before others.
    [[nodiscard]] auto newer_than(std::uint64_t revision, time_point now) const -> std::vector<address>;

    // Newest change that a report named; 0: none yet.
    [[nodiscard]] auto newest() const -> std::uint64_t { return newest_; }

private:
    struct knowledge {
        std::uint64_t revision = 0;
        bool is_near = false; // in the latest report that named this revision
        time_point reported_at;
    };

    auto forget_oldest() -> void;

    std::map<address, knowledge> peers_;
    std::uint64_t newest_ = 0;
};

} // namespace hibiscuswall
