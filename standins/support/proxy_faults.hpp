#pragma once
// Faults of the proxy and what it counted; fields as in docs/platform.md.
//
//   faults.add(body);          // sets the fields that the object names
//   rules.of("127.0.11.4")     // faults of the longest prefix of this caller, else those of all callers

#include "hibiscuswall/core/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace hibiscuswall {

struct proxy_faults {
    milliseconds delay{0};     // one way, each read
    double rate = 0;           // bytes/s in each direction; 0: unlimited
    bool refuse = false;       // reset new connections
    bool stall = false;        // nothing flows
    bool hold_answers = false; // nothing flows to the caller
    bool half_close = false;   // shut down the sending side to the caller after the next read
    double corrupt = 0;        // share of reads from the target with a changed byte
    int drop_answers = 0;      // reset when the answer comes, this many times
    std::size_t cut_after = 0; // bytes to the caller after which a connection is reset; 0: never

    auto add(nlohmann::json const& body) -> void
    {
        delay = milliseconds{body.value("delay_ms", static_cast<int>(delay.count()))};
        rate = body.value("rate", rate);
        refuse = body.value("refuse", refuse);
        stall = body.value("stall", stall);
        hold_answers = body.value("hold_answers", hold_answers);
        half_close = body.value("half_close", half_close);
        corrupt = body.value("corrupt", corrupt);
        drop_answers = body.value("drop_answers", drop_answers);
        cut_after = body.value("cut_after", cut_after);
    }
};

// Faults by the caller's source IP.
struct proxy_rules {
    proxy_faults all;                              // callers without a rule of their own
    std::map<std::string, proxy_faults> by_source; // by prefix of the IP

    auto of(std::string const& source) -> proxy_faults&
    {
        auto* found = &all;
        auto longest = std::size_t{0};
        for (auto& [prefix, faults] : by_source) {
            if (prefix.size() < longest || !source.starts_with(prefix)) continue;
            longest = prefix.size();
            found = &faults;
        }
        return *found;
    }

    auto add(nlohmann::json const& body) -> void
    {
        auto const source = body.value("source", std::string{});
        (source.empty() ? all : by_source[source]).add(body);
    }
};

struct proxy_counts {
    std::uint64_t connections = 0;
    std::uint64_t open = 0;
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_caller = 0;
    std::uint64_t corrupted = 0;
    std::uint64_t dropped_answers = 0;
};

} // namespace hibiscuswall
