#pragma once
// Finds the prompt segments that crash the engines which process them (poison requests), from what all
// entries have observed, and decides which calls may be sent. No network, no clock.
//
//   auto quarantine = prompt_quarantine{settings, "entry-1"};
//   quarantine.set_entries(names);                               // of the fleet, including this one
//   auto const decision = quarantine.decide(call, now);          // before each send
//   auto const suspicion = quarantine.suspicion_of(call);        // kept with the send
//   quarantine.end_trial(call.model, on_trial.segments);         // if the decision was send_on_trial
//   quarantine.record_crash(run, suspects, now);                 // the endpoint ended while it had calls
//   quarantine.record_progress(call, now);                       // a response got past its beginning
//   quarantine.merge(records, now);                              // from another entry, or from the store
//   auto const records = quarantine.records(max_count, now);     // for other entries
//
// A segment that is shared by many calls is in every crash by chance; one that crashes engines never gets
// past the beginning of a response. So each crash marks the segments of all calls whose responses had not got
// past their beginning, and each response that does clears its segments of the crashes known until then.
// Endpoints also end for other reasons, several at a time, so coincidence is not enough: a mark has a
// generation, one more than that of the marks known when the call was sent. Only a segment that was tried
// again after it had become suspect, and crashed an endpoint again, reaches the next generation.
//
//   generation 1  suspected    calls are sent as usual
//   generation 2  on trial     one call at a time is sent, by one entry of the fleet; others are held
//   generation 3  quarantined  calls are rejected until the quarantine time has passed; then on trial again
//
// Marks are merged as a set in which "cleared" wins, so that lost, late, doubled and reordered messages lead
// every entry to the same result. Which segments are told apart is described in candidate_groups.hpp. Not for
// several threads at once.
//
// Segments of a decision are as in the records: ids that are too long are replaced by their digests.

#include "hibiscuswall/serving/candidate_groups.hpp"
#include "hibiscuswall/serving/crash_marks.hpp"
#include "hibiscuswall/serving/trial_ranks.hpp"

#include <set>
#include <variant>

namespace hibiscuswall {

// What a call's prompt shares with other calls.
struct shared_prompt {
    std::string model;                 // model that the call asks for; segments of other models differ
    std::vector<std::string> segments; // ids of all segments but the last, which belongs to the call itself
};

// Generation of each segment, in the order of shared_prompt::segments; 0 for those beyond its end.
using suspicion = std::vector<int>;

// A call at an endpoint that ended, whose response had not got past its beginning.
struct crash_suspect {
    shared_prompt prompt;
    suspicion when_sent; // result of suspicion_of() when the call was sent
};

// ---- decisions

struct send_allowed {};

struct send_on_trial { // this entry may send this call; report its outcome or end with end_trial()
    std::vector<std::string> segments;
};

struct send_held { // another call with the segment is on trial
    std::string segment;
    milliseconds retry_after{0};
};

struct send_quarantined {
    std::vector<std::string> segments; // all of them together are quarantined; usually one
};

using send_decision = std::variant<send_allowed, send_on_trial, send_held, send_quarantined>;

// What a record means now; for status pages, logs and metrics.
enum class segment_state {
    cleared,     // no mark counts
    suspected,   // generation 1
    on_trial,    // generation 2, or quarantine time has passed
    explained,   // quarantine generation, but each crash is explained by another segment that was in more
    quarantined, // calls are rejected
};

struct segment_status {
    std::string model;
    std::string segment;
    segment_state state = segment_state::cleared;
    int generation = 0;
    int crashes = 0;          // marks that count
    milliseconds age{0};      // since the newest mark that counts
    milliseconds trial_in{0}; // until the next trial; 0: due, or never quarantined
};

// Identifies one run of an endpoint at every entry.
[[nodiscard]] auto run_id(std::string_view endpoint_id, std::uint64_t started_at_ms) -> std::uint64_t;

class prompt_quarantine {
public:
    prompt_quarantine(quarantine_settings settings, std::string self);

    // Names of the entries of the fleet; they rank for trials by rendezvous hashing.
    auto set_entries(std::vector<std::string> names) -> void;

    // ---- observed by this entry; each returns whether other entries should be told
    auto record_crash(std::uint64_t run, std::span<crash_suspect const> suspects, time_point now) -> bool;
    auto record_progress(shared_prompt const& prompt, time_point now) -> bool;

    // Lifts suspicion and quarantine of a segment by hand.
    auto clear(std::string_view model, std::string_view segment, time_point now) -> bool;

    // The engines of a model get other weights: quarantined segments are tried again soon.
    auto on_weights_declared(std::string_view model, time_point now) -> void;

    // ---- exchanged with other entries and the store
    auto merge(std::span<segment_record const> records, time_point now) -> bool;
    [[nodiscard]] auto records(std::size_t max_count, time_point now) -> std::vector<segment_record>;

    // ---- decisions
    [[nodiscard]] auto decide(shared_prompt const& prompt, time_point now) -> send_decision;
    auto end_trial(std::string_view model, std::span<std::string const> segments) -> void;
    [[nodiscard]] auto suspicion_of(shared_prompt const& prompt) const -> suspicion;
    [[nodiscard]] auto is_quarantined(shared_prompt const& prompt, time_point now) const -> bool;

    // Whether nothing is suspected: no call needs to be looked at.
    [[nodiscard]] auto empty() const -> bool;

    auto remove_expired(time_point now) -> void; // called periodically
    [[nodiscard]] auto status(time_point now) const -> std::vector<segment_status>;

private:
    struct suspect_segment;
    struct verdict;

    [[nodiscard]] auto suspect_segments(shared_prompt const& prompt) const -> std::vector<suspect_segment>;
    [[nodiscard]] auto judge(shared_prompt const& prompt, time_point now) const -> verdict;
    auto judge_trial(suspect_segment const& suspect, std::string_view model, time_point now,
                     verdict& result) const -> void;
    auto judge_group(candidate_group const& group, std::string_view model, time_point now,
                     verdict& result) const -> void;
    [[nodiscard]] auto is_on_trial_now(std::string_view model, std::string_view segment) const -> bool;
    [[nodiscard]] auto quarantine_end(std::string_view model, candidate_group const& group) const
        -> time_point;
    [[nodiscard]] auto find_group(std::string_view model, std::string_view segment) const
        -> candidate_group const*;
    [[nodiscard]] auto status_of(std::string_view model, std::string_view segment,
                                 marked_segment const& marks, time_point now) const -> segment_status;
    auto update_groups(std::string_view model) -> void;
    auto update_all_groups() -> void;

    quarantine_settings settings_;
    crash_marks marks_;
    trial_ranks ranks_;
    std::map<std::string, candidate_groups, std::less<>> groups_;                   // by model; no empty ones
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> trials_; // running here; by model
    std::map<std::string, time_point, std::less<>> weights_declared_at_;            // by model; latest
};

} // namespace hibiscuswall
