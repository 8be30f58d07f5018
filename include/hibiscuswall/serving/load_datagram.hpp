#pragma once
// Datagrams between entries and agents: entries subscribe, agents tell them the load of their engine.
//
//   socket.send(encode(subscription{"entry-1", revision}));       // entry to agent, about once a second
//   auto message = decode_datagram(bytes);                        // none: not one of ours
//   if (auto const* news = std::get_if<engine_news>(&*message)) table.heard(*news, now);

#include "hibiscuswall/serving/endpoint_record.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hibiscuswall {

struct subscription {
    std::string entry;                   // name of the subscriber
    std::string region;                  // where it stands
    std::uint64_t operator_revision = 0; // newest operators' change that the subscriber knows
    std::uint64_t weights_revision = 0;  // newest declaration of weights among those
    double shed_level = 0;               // part of the callers that it turns away
    std::int64_t sent_at_us = 0;         // subscriber's steady clock; comes back in the news
};

struct engine_news {
    address where;                         // of the engine
    std::uint64_t started_at_ms = 0;       // wall clock of the engine's start
    int running = 0;                       // calls in the batch
    int queued = 0;                        // calls that wait in the engine
    double pace = 1;                       // above 1: slower than its service declares
    std::optional<loaded_weights> weights; // none: holds nothing
    bool paused = false;                   // takes nothing now: it changes its weights
    int subscribers = 0;                   // entries that the agent knows of
    std::vector<std::string> near_entries; // names of those in the engine's region, sorted
    std::uint64_t operator_revision = 0;   // newest operators' change that a subscriber knows
    std::optional<address> best_informed;  // peer address of that subscriber
    double shed_level = 0;                 // mean of its subscribers
    std::int64_t echo_us = 0; // sent_at_us of the reader's latest subscription; set by addressed()
    std::int64_t held_us = 0; // how long ago that came; set by addressed()
};

// Agent to agent, while a version spreads.
struct chunk_holdings {
    std::string agent;         // name of the sender
    std::uint64_t version = 0; // of the weights
    std::string chunks;        // bitmap as hexadecimal text, see weights/chunk_bitmap.hpp
};

using datagram = std::variant<subscription, engine_news, chunk_holdings>;

[[nodiscard]] auto encode(subscription const& message) -> std::string;

// News are the same for all their readers but for the echo: encode() makes the common part, once for all of
// them, and addressed() the datagram of one reader.
[[nodiscard]] auto encode(engine_news const& message) -> std::string;
[[nodiscard]] auto addressed(std::string_view encoded_news, std::int64_t echo_us, std::int64_t held_us)
    -> std::string;

[[nodiscard]] auto encode(chunk_holdings const& message) -> std::string;

// None for anything that is not of this version or malformed.
[[nodiscard]] auto decode_datagram(std::string_view bytes) -> std::optional<datagram>;

} // namespace hibiscuswall
