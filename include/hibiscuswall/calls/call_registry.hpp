#pragma once
// Records of the non-idempotent calls that reached this agent: running, answered or revoked. call.resolve
// reads them, so a call whose record was evicted must never be reported as not received.
//
//   auto code = registry.begin(call_id, now);       // ok, call_revoked, call_in_progress, outcome_unknown
//   registry.record_response(call_id, response);    // or record_unknown_outcome(), record_not_run()
//   auto found = registry.resolve(call_id, std::nullopt, now);
//
// The number of records is bounded: while all of them must be kept, begin() rejects new calls as not run.
// Their age is bounded, too: once a record was evicted, a call that is not found is revoked only when its age
// shows that its record would still be stored.

#include "hibiscuswall/core/result_code.hpp"
#include "hibiscuswall/core/time.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace hibiscuswall {

struct call_registry_settings {
    std::size_t max_records = 50'000;                // Records stored, about 200 bytes each.
    std::size_t max_response_bytes = 4'096;          // Larger response bodies are not stored.
    std::size_t max_total_response_bytes = 16 << 20; // Bytes of all stored response bodies.
    std::chrono::hours max_age{24};                  // Older records are evicted.
};

struct stored_response {
    int status = 200;         // HTTP status sent by the service.
    std::string content_type; // Content-Type sent by the service.
    std::string body;         // Complete body.
};

enum class call_state {
    running,
    answered,
    refused, // The call was received but did not run (record_not_run()); resolve() revokes it.
    revoked, // The call was not received and is rejected if it still arrives.
    unknown, // The call may have run; nothing more is known.
};

struct call_resolution {
    call_state state = call_state::unknown;
    std::optional<stored_response> response; // Only of answered calls whose response is still stored.
};

class call_registry {
public:
    explicit call_registry(call_registry_settings settings) : settings_{settings} {}

    // ok: the call may run and is recorded as running. Otherwise the reason why it must not run:
    // call_revoked, call_in_progress, outcome_unknown (it has run or may have run), endpoint_overloaded (no
    // space for its record).
    auto begin(std::string const& call_id, time_point now) -> result_code;

    // A streamed response is not stored: pass none.
    auto record_response(std::string const& call_id, std::optional<stored_response> response) -> void;
    auto record_unknown_outcome(std::string const& call_id) -> void;
    auto record_not_run(std::string const& call_id) -> void;

    // State of a call for call.resolve. A call that was not received, or was received but did not run, is
    // revoked by this.
    // age: time since the call was claimed or, for a call without a claim, since it arrived at its entry;
    // none: unknown.
    auto resolve(std::string const& call_id, std::optional<milliseconds> age, time_point now)
        -> call_resolution;

    [[nodiscard]] auto find(std::string const& call_id) const -> std::optional<call_resolution>;
    [[nodiscard]] auto size() const -> std::size_t { return records_.size(); }

private:
    struct record {
        call_state state = call_state::running;
        std::optional<stored_response> response;
    };

    auto evict_for_new_record(time_point now) -> bool;
    auto evict_oldest_responses() -> void;

    call_registry_settings settings_;
    std::unordered_map<std::string, record> records_;
    std::deque<std::pair<time_point, std::string>> by_age_; // One per record, oldest first.
    std::deque<std::string> with_response_;                 // Calls with a stored response, oldest first.
    std::size_t response_bytes_ = 0;
    // Creation time of the newest evicted record; none: no record was evicted.
    std::optional<time_point> newest_evicted_created_at_;
};

} // namespace hibiscuswall
