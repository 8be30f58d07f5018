#pragma once
// Datagrams between entries about the rate limits of endpoints: a sender reports to the sender that divides
// the limit, which grants it calls. Both carry what they know of the limit.
//
//   auto bytes = encode(rate_report{...});
//   auto report = decode_rate_report(message);     // an array with the tag as its first element

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/rate_knowledge.hpp"
#include "hibiscuswall/serving/rate_share.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscuswall {

constexpr auto rate_report_tag = 5; // message type
constexpr auto rate_notice_tag = 6;

// Names one run of an endpoint.
struct endpoint_run {
    address where;
    std::uint64_t started_at_ms = 0; // wall clock at its start; 0: unknown
};

// Sent from a sender to the divider.
struct rate_report {
    endpoint_run endpoint;
    aged_rate_knowledge known;
    sender_report sender;
    std::int64_t sent_at_us = 0; // sender's steady clock, echoed in notices
};

// Sent from the divider to a sender, and from a sender that learnt a limit to all others.
struct rate_notice {
    endpoint_run endpoint;
    aged_rate_knowledge known;
    std::string entry;               // name of the entry that sends it
    std::optional<rate_grant> grant; // none: for an entry that has sent no report lately
    // With a grant: sent_at_us of the receiver's latest report, and the time since that report arrived.
    std::int64_t echoed_sent_at_us = 0;
    std::int64_t report_age_us = 0;
};

[[nodiscard]] auto encode(rate_report const& message) -> std::string;
[[nodiscard]] auto encode(rate_notice const& message) -> std::string;

// Return nullopt, or throw nlohmann::json::exception, for messages that are malformed or out of range.
[[nodiscard]] auto decode_rate_report(nlohmann::json const& message) -> std::optional<rate_report>;
[[nodiscard]] auto decode_rate_notice(nlohmann::json const& message) -> std::optional<rate_notice>;

// The same part in load reports.
[[nodiscard]] auto knowledge_json(aged_rate_knowledge const& known) -> nlohmann::json;
[[nodiscard]] auto knowledge_from(nlohmann::json const& value) -> std::optional<aged_rate_knowledge>;

} // namespace hibiscuswall
