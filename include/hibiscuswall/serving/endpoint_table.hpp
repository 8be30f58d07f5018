#pragma once
// State of all endpoints as known to one entry: store records, load reports of agents, and its own calls.
//
//   auto table = endpoint_table{settings, regions, name, random};
//   table.add_or_update(record, now);            // the store lists the record
//   table.remove(id, store_was_unavailable, now); // the store no longer lists the record
//   table.on_load_report(report, round_trip, now); // an agent reported the load of its engine
//   table.remove_expired(now);                   // called periodically
//
// A record that disappears while the store is unavailable may be written again once the store is back, so it
// is kept for lost_record_grace.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/core/rate_knowledge.hpp"
#include "hibiscuswall/core/sliding_window_counter.hpp"
#include "hibiscuswall/serving/endpoint_record.hpp"
#include "hibiscuswall/serving/load_datagram.hpp"
#include "hibiscuswall/serving/rate_share.hpp"
#include "hibiscuswall/serving/sender_assignment.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct tracked_endpoint {
    endpoint_record record; // latest version in the store
    std::string region;     // region of its failure domain
    time_point cold_until;  // the endpoint counts as cold until then: the strict call limit applies
    std::optional<time_point> record_lost_at; // set if its record disappeared while the store was unavailable
    bool listed = true;                       // false once its record is gone

    // ---- announced by the endpoint itself or by its agent
    bool leaving = false;     // it will stop; holds for the rest of its run
    time_point backoff_until; // it asked this host to send no calls until then

    // ---- the rate of calls that it takes from all entries together, if it limits it
    rate_knowledge rate;
    rate_share share; // of this entry

    // ---- reported by its agent
    std::optional<load_report> news; // latest load report
    time_point received_at;          // arrival time of that report
    time_point paused_at;            // since when the engine has reported that it accepts no calls
    milliseconds round_trip{0};      // measured with the latest datagrams to its host and back

    // ---- assigned to entries, see serving/sender_assignment
    bool assigned = true;  // this entry may send to it
    int sender_count = 16; // entries that may send to it and share its limits; assumed while they are unknown
    std::vector<std::string> senders; // their names, without departed ones; empty while they are unknown
    std::string rate_divider;         // the one of them that divides its rate limit; empty without one

    // ---- counted by this entry
    int in_flight = 0;                 // calls sent that have not ended
    int sent_since_report = 0;         // calls sent since the latest load report
    int ended_since_report = 0;        // calls ended since the latest load report
    int unprocessed_prompt_tokens = 0; // prompt tokens of calls that have no first event yet
    bool preferred = false;            // this entry is the preferred sender to the endpoint
    int granted_slots = 0;             // this entry's share of the free slots in the latest report
    double carried_fraction = 0;       // remainder of the share below one slot, added to the next share
    sliding_window_counter recent_sends{milliseconds{1'000}}; // for the cold-endpoint call limit
    double failure_fraction = 0;                              // moving average over its recent calls, 0 to 1
    time_point avoid_until;  // no calls are sent until then, because of failures
    int failures_in_row = 0; // failures since the last successful response

    // Estimated number of calls at the endpoint, from its latest report and this entry's own calls.
    [[nodiscard]] auto load() const -> int;

    // Number of calls that this entry may send now. `limit` bounds the calls of an endpoint without a load
    // report. Entries share the free slots that a report shows; a slot freed by a call of this entry can be
    // reused by this entry at once.
    [[nodiscard]] auto free_slots(int limit) const -> int;

    // Whether calls may be sent to it at all: it is listed, stays, and has not asked for a pause.
    [[nodiscard]] auto accepts_calls(time_point now) const -> bool
    {
        return listed && !record.draining && !leaving && now >= backoff_until;
    }

    // The engine's weights, from the latest load report if there is one, else from the record.
    [[nodiscard]] auto weights() const -> std::optional<loaded_weights> const&;
};

using endpoint_ptr = std::shared_ptr<tracked_endpoint>;

struct endpoint_table_settings {
    // A record lost in an outage of the store may be written again. An endpoint that really left must receive
    // no calls after 2 s, so the grace period has to be shorter than that.
    milliseconds lost_record_grace{1'500};
    // Not used by the table; placement and stall detection have their own lifetimes.
    milliseconds load_report_lifetime{1'500};
    // How long an endpoint without a record is remembered. If its record returns for the same run, what it
    // announced still applies.
    milliseconds removed_endpoint_lifetime{60'000};
    assignment_settings assignment;
};

class endpoint_table {
public:
    // `regions` maps failure domains to regions; `self` is the name of this entry.
    endpoint_table(endpoint_table_settings settings, std::map<std::string, std::string, std::less<>> regions,
                   std::string self, random_source& random)
        : settings_{settings}, regions_{std::move(regions)}, self_{std::move(self)}, random_{random}
    {
    }

    auto add_or_update(endpoint_record const& record, time_point now) -> void;
    auto remove(std::string_view id, bool store_was_unavailable, time_point now) -> void;

    // Whether this run of the endpoint was listed before and has been removed.
    [[nodiscard]] auto has_removed(endpoint_record const& record) const -> bool;

    // Applies a complete listing of the store: endpoints that are not among the records are removed.
    auto replace(std::vector<endpoint_record> const& records, bool store_was_unavailable, time_point now)
        -> void;

    auto on_load_report(load_report const& report, microseconds round_trip, time_point now) -> void;
    auto remove_expired(time_point now) -> void;

    // Sets the entries among which endpoints are assigned. `departed` entries are no longer listed but may
    // still send calls.
    auto set_entries(std::vector<listed_entry> entries, int departed) -> void;

    // Assigns endpoints to entries if the entries or the endpoints have changed. Called periodically.
    auto update_assignment(time_point now) -> void;

    // Assigns the engines of each service and region to the entries of that region, so that mostly one entry
    // sends to an engine and knows which prompts it still has to process. Every entry computes the same
    // assignment. Called periodically.
    auto assign_preferred_entries() -> void;

    // ---- calls sent by this entry
    static auto record_send(tracked_endpoint& endpoint, time_point now) -> void;
    static auto record_end(tracked_endpoint& endpoint) -> void;
    static auto record_success(tracked_endpoint& endpoint) -> void;
    static auto record_failure(tracked_endpoint& endpoint, time_point now) -> void;

    // ---- announced in responses of the endpoint
    static auto record_departure(tracked_endpoint& endpoint) -> void;
    static auto record_backoff(tracked_endpoint& endpoint, milliseconds duration, time_point now) -> void;

    // ---- rate limits, see core/rate_knowledge
    enum class rate_source { response, engine_report, entry };

    // Sets the callback that runs when the limit in force of an endpoint changes. `before` is the earlier
    // one.
    using rate_callback =
        std::function<void(tracked_endpoint&, std::optional<double> before, rate_source source)>;
    auto on_rate_change(rate_callback callback) -> void { on_rate_change_ = std::move(callback); }

    auto record_rate(tracked_endpoint& endpoint, rate_statement const& stated, time_point requested_at,
                     time_point received_at) -> void;
    auto merge_rate(tracked_endpoint& endpoint, rate_knowledge const& known, rate_source source,
                    time_point now) -> void;

    // The endpoint at the address that was started then, or null.
    [[nodiscard]] auto find_run(address const& where, std::uint64_t started_at_ms) const -> endpoint_ptr;

    // The endpoints that this entry may send to.
    [[nodiscard]] auto endpoints_of_service(std::string_view service) const -> std::vector<endpoint_ptr>;
    [[nodiscard]] auto all() const -> std::map<std::string, endpoint_ptr, std::less<>> const&
    {
        return endpoints_;
    }
    [[nodiscard]] auto settings() const -> endpoint_table_settings const& { return settings_; }

private:
    struct removed_endpoint {
        endpoint_ptr endpoint;
        time_point removed_at;
    };

    auto erase(std::map<std::string, endpoint_ptr, std::less<>>::iterator found, time_point now) -> void;
    auto restore_removed(std::string const& id) -> endpoint_ptr;
    auto apply_rate(tracked_endpoint& endpoint, std::optional<double> before, rate_source source,
                    time_point now) -> void;
    auto share_rate(tracked_endpoint& endpoint, time_point now) -> void;
    [[nodiscard]] auto divider_of(tracked_endpoint const& endpoint) const -> std::string;
    auto update_granted_slots(tracked_endpoint& endpoint, load_report const& report) -> void;

    endpoint_table_settings settings_;
    std::map<std::string, std::string, std::less<>> regions_;
    std::string self_;
    random_source& random_;
    std::map<std::string, endpoint_ptr, std::less<>> endpoints_; // by id
    std::map<std::string, removed_endpoint> removed_;            // by id
    std::vector<listed_entry> entries_;                          // empty while unknown
    int departed_entries_ = 0;
    bool assignment_outdated_ = false;
    rate_callback on_rate_change_;
};

} // namespace hibiscuswall
