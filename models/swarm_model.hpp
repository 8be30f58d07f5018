#pragma once
// Model of agents that fetch one version of the weights from an origin and from each other. It runs the
// agents' own chunk plans and fetch windows on modelled links, so that orders of chunks and settings can be
// compared within seconds. No sockets, no clock; the same settings give the same result.
//
//   auto settings = swarm_settings{};
//   settings.origin_away = {milliseconds{2'500}, milliseconds{8'500}};
//   auto const result = simulate(settings);
//   result.whole_at.front()                                  // when the first agent was whole
//
// Times count from the naming of the version. Modelled: rates of links, latency, upload slots, progress
// deadlines, the announcement of holdings, an origin that is away, agents that are cut off. Not modelled:
// processor time, loss, client calls, agents that restart.

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/weights/chunk_plan.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hibiscuswall::models {

struct time_span {
    milliseconds from{0};
    milliseconds until{0}; // excluded

    [[nodiscard]] auto contains(milliseconds at) const -> bool { return from <= at && at < until; }
};

struct swarm_settings {
    // ---- fleet
    std::size_t regions = 5;
    std::size_t agents = 156; // in all regions together
    std::size_t chunks = 64;
    double chunk_bytes = 32'768;

    // ---- links, in bytes per second of each direction
    double origin_rate = 1'237'500;      // 9.9 Mbit/s
    double agent_rate = 950'000;         // 7.6 Mbit/s
    double upload_share = 0.8;           // of the agent's link, for chunks
    double region_pair_rate = 4'000'000; // 32 Mbit/s between two regions
    milliseconds request_time{6};        // from a request to the first byte

    // ---- agents
    time_span start{milliseconds{250}, milliseconds{550}}; // when agents have the manifest and begin
    std::size_t source_fetchers = 6;
    std::size_t upload_slots = 4;
    milliseconds announce_interval{100};
    chunk_plan_settings plan;

    // ---- trouble
    time_span origin_away;
    time_span cut; // of cut_share of the agents
    double cut_share = 0;

    std::uint64_t seed = 1;
    milliseconds end{60'000}; // the model stops here if not all agents are whole
};

// The settings of agents beside engines, see daemon/direct_agent.cpp.
[[nodiscard]] auto agent_plan_settings() -> chunk_plan_settings;

struct swarm_result {
    std::vector<milliseconds> whole_at; // of each agent that became whole, ascending
    std::vector<milliseconds>
        known_at; // of each chunk that left the origin, ascending: its first holder has it
    std::size_t agents = 0;
    double origin_copies = 0; // bytes that the origin sent, as copies of the version

    // When this share of all agents, in (0, 1], was whole; milliseconds::max() if it never was.
    [[nodiscard]] auto whole_share_at(double share) const -> milliseconds;
};

[[nodiscard]] auto simulate(swarm_settings const& settings) -> swarm_result;

} // namespace hibiscuswall::models
