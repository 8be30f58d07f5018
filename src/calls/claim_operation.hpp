#pragma once
// An operation that acquires or finishes a claim, and the queue of operations that wait for a bucket.
//
//   auto operation = std::make_shared<claim_operation>(executor);
//   operation->key = key;                   // and the members of either kind of operation
//   queue.waiting.push_back(operation);     // then run the queue's rounds, or wait for operation->wakeup

#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/timer.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace hibiscuswall {

struct claim_operation {
    std::string key;

    // ---- to acquire a claim
    std::optional<claim> new_claim;  // None: this operation finishes a claim.
    std::string replaceable_call_id; // call_id of a claim that may be overwritten; empty: none.
    bool is_rewrite = false;         // This process had written the claim before the store was restored.

    // ---- to finish a claim
    std::string call_id;
    claim_state final_state = claim_state::sent;
    std::optional<claim_response> response;

    // ---- progress
    int failed_rounds = 0; // Rounds that failed for this operation.
    claim holder;          // Claim that holds the key once the pending compare-and-swap has taken effect.
    std::optional<result<claim>> outcome; // Claim that holds the key; an empty claim for finishing.
    // Expires when there is an outcome, or when this operation is to run the rounds.
    clock_timer wakeup;

    explicit claim_operation(boost::asio::any_io_executor const& executor)
        : wakeup{executor, clock_timer::time_point::max()}
    {
    }

    // Ends the wait for wakeup, also one that begins later.
    auto wake() -> void { wakeup.expires_at(clock_timer::time_point::min()); }
};

using claim_operation_ptr = std::shared_ptr<claim_operation>;

// Waiting operations of one bucket. The coroutine of the front operation runs the bucket's rounds until its
// own operation has an outcome, then wakes the next operation.
struct bucket_queue {
    std::deque<claim_operation_ptr> waiting;
    bool has_runner = false;
    bool one_by_one = false; // The bucket does not have the capacity for all of them at once.
};

} // namespace hibiscuswall
