#pragma once
// Non-idempotent calls that this agent has seen: running, answered or revoked. It is what call.resolve reads,
// so it must never forget a call and then deny having seen it.
//
//   auto begun = registry.begin(call_id, now);      // ok, call_revoked, call_in_progress, outcome_unknown
//   registry.answered(call_id, answer, now);        // or registry.unknown(), registry.not_run()
//   auto found = registry.resolve(call_id, std::nullopt, now);
//
// Bounded in number: while it is full of records that are still needed, begin() refuses "not run". Bounded in
// age: once a record was dropped, a call that is not found is revoked only when the caller proves by its age
// that its record would still be here.

#include "hibiscuswall/core/result_code.hpp"
#include "hibiscuswall/core/time.hpp"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace hibiscuswall {

struct call_registry_settings {
    std::size_t records = 50'000;           // "records": calls kept, about 200 bytes each
    std::size_t max_response_bytes = 4'096; // "answer_bytes": largest answer that is kept
    std::size_t answers_total = 16 << 20;   // "answers_total": bytes of all kept answers
    std::chrono::hours age{24};             // a record is dropped after this
};

struct kept_answer {
    int status = 200;         // HTTP status of the service
    std::string content_type; // its Content-Type
    std::string body;         // whole body
};

enum class call_state {
    running,
    answered,
    refused, // it was seen, did not run and is now revoked
    revoked, // never seen before, and refused should it arrive
    unknown, // it may have run and nothing more is known
};

struct call_resolution {
    call_state state = call_state::unknown;
    std::optional<kept_answer> answer; // when it is answered, small enough and still kept
};

class call_registry {
public:
    explicit call_registry(call_registry_settings settings) : settings_{settings} {}

    // ok: it may run now and counts as running. Else why it must not: call_revoked, call_in_progress,
    // outcome_unknown (it ran before), endpoint_overloaded (no room for its record).
    auto begin(std::string const& call_id, time_point now) -> result_code;

    // Without an answer: it was streamed and is not kept.
    auto answered(std::string const& call_id, std::optional<kept_answer> answer) -> void;
    auto unknown(std::string const& call_id) -> void;
    auto not_run(std::string const& call_id) -> void;

    // age: how long ago the call was claimed, when the asker knows it.
    auto resolve(std::string const& call_id, std::optional<milliseconds> age, time_point now)
        -> call_resolution;

    [[nodiscard]] auto find(std::string const& call_id) const -> std::optional<call_resolution>;
    [[nodiscard]] auto size() const -> std::size_t { return records_.size(); }

private:
    struct record {
        call_state state = call_state::running;
        std::optional<kept_answer> answer;
    };

    auto make_room(time_point now) -> bool;
    auto drop_oldest_answers() -> void;

    call_registry_settings settings_;
    std::unordered_map<std::string, record> records_;
    std::deque<std::pair<time_point, std::string>> by_age_; // oldest first, one per record
    std::deque<std::string> with_answer_;                   // oldest first
    std::size_t answer_bytes_ = 0;
    std::optional<time_point> newest_dropped_; // when the newest dropped record was made
};

} // namespace hibiscuswall
