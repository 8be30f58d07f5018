#pragma once
// Datagrams between entries and agents: entries subscribe, agents send them load reports of their engine, and
// entries tell each other which prompt segments were in crashes of endpoints.
//
//   socket.send(encode(subscription{"entry-1", revision}));       // entry to agent, about once a second
//   auto message = decode_datagram(bytes);                        // empty if malformed or unknown
//   if (auto const* report = std::get_if<load_report>(&*message)) table.on_load_report(*report, ...);

#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/serving/endpoint_record.hpp"
#include "hibiscuswall/serving/marked_segment.hpp"
#include "hibiscuswall/serving/rate_datagram.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hibiscuswall {

struct subscription {
    std::string entry;                       // name of the subscriber
    std::string region;                      // region of the subscriber
    std::uint64_t operator_revision = 0;     // newest operator change known to the subscriber
    std::uint64_t weights_revision = 0;      // newest weights declaration known to the subscriber
    double shed_level = 0;                   // fraction of callers that the subscriber sheds
    std::int64_t sent_at_us = 0;             // subscriber's steady clock, echoed in load reports
    std::uint64_t records_revision = 0;      // newest change of an endpoint's record known to the subscriber
    milliseconds weights_age{0};             // since a process is known to have received that declaration
    std::uint64_t configuration_version = 0; // in force at the subscriber; 0: none
    // Start of the run of the agent's engine that the store says is draining; 0: none, or a run without a
    // start time, which cannot be told from the next one at the same address.
    std::uint64_t draining_run_ms = 0;
};

// A process whose configuration is newer than that of others, though its newest operator change may be older:
// the store was restored, and names an older configuration until operators have written the newer one again.
struct configuration_holder {
    std::uint64_t version = 0;
    address peer; // peer address
};

struct load_report {
    address where;                         // address of the engine
    std::uint64_t started_at_ms = 0;       // wall clock at the engine's start
    int running = 0;                       // calls in the engine's batch
    int queued = 0;                        // calls queued in the engine
    double slowdown = 1;                   // relative to the declared speed of its service; above 1 is slower
    std::optional<loaded_weights> weights; // none if no weights are loaded
    bool paused = false;                   // the engine accepts no calls while it changes its weights
    bool leaving = false;                  // the engine will stop, as it or a subscriber has announced
    int subscriber_count = 0;              // number of entries subscribed to the agent
    std::vector<std::string> same_region_entries; // names of the subscribers in the engine's region, sorted
    std::uint64_t operator_revision = 0;          // newest operator change known to any subscriber
    std::optional<address> most_current_peer;     // peer address of the subscriber that knows it
    double shed_level = 0;                        // mean over the subscribers
    std::uint64_t records_revision = 0; // newest change of an endpoint's record known to any subscriber
    std::uint64_t weights_revision = 0; // newest weights declaration known to the agent
    milliseconds weights_age{0};        // since a process is known to have received that declaration
    aged_rate_knowledge rate;           // the rate limit that the engine names, as known to its agent
    // Set if most_current_peer has an older configuration than another subscriber.
    std::optional<configuration_holder> newest_configuration;
    // Set by encode_for_subscriber(): sent_at_us of the receiver's latest subscription, and the time since
    // that subscription arrived at the agent.
    std::int64_t echoed_sent_at_us = 0;
    std::int64_t subscription_age_us = 0;
};

// Sent from agent to agent while a weights version is being distributed.
struct chunk_holdings {
    std::string agent;         // name of the sender
    std::uint64_t version = 0; // weights version
    std::string chunks;        // bitmap as hexadecimal text, see weights/chunk_bitmap.hpp
};

// A crash_mark with its age in place of the time, which only the sender's steady clock can tell.
struct aged_mark {
    std::uint64_t run = 0;
    int generation = 1;
    bool cleared = false;
    milliseconds age{0}; // since the mark was observed
};

struct aged_segment {
    std::string model;
    std::string segment;
    std::vector<aged_mark> marks;
};

// Sent from entry to entry.
struct quarantine_records {
    std::string entry; // name of the sender
    std::vector<aged_segment> segments;
};

using datagram =
    std::variant<subscription, load_report, chunk_holdings, quarantine_records, rate_report, rate_notice>;

[[nodiscard]] auto encode(subscription const& message) -> std::string;

// A load report is the same for all subscribers except for the echoed timestamp: encode() produces the common
// part once, and encode_for_subscriber() wraps it into the datagram for one subscriber.
[[nodiscard]] auto encode(load_report const& message) -> std::string;
[[nodiscard]] auto encode_for_subscriber(std::string_view encoded_report, std::int64_t echoed_sent_at_us,
                                         std::int64_t subscription_age_us) -> std::string;

[[nodiscard]] auto encode(chunk_holdings const& message) -> std::string;

// Converts records of the quarantine to ages, and those that were received back to times of this process.
[[nodiscard]] auto with_ages(std::span<segment_record const> records, time_point now)
    -> std::vector<aged_segment>;
[[nodiscard]] auto with_times(std::span<aged_segment const> segments, time_point now)
    -> std::vector<segment_record>;

// Encodes the segments into as many datagrams as they need, each below max_quarantine_bytes. Leaves out
// segments that a receiver would refuse, because a name or the number of marks is out of range.
constexpr auto max_quarantine_bytes = std::size_t{1'400}; // of one datagram, so that no link divides it
[[nodiscard]] auto encode_all(quarantine_records const& message) -> std::vector<std::string>;

// Returns nullopt for datagrams that are malformed or of another protocol version.
[[nodiscard]] auto decode_datagram(std::string_view bytes) -> std::optional<datagram>;

} // namespace hibiscuswall
