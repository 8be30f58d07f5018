#pragma once
// One claim or ending that waits for the swap of its bucket, and the queue of a bucket.
//
//   auto order = std::make_shared<claim_order>(executor);
//   order->key = key;                       // and either mine and replaces, or call_id, end and answer
//   lane.waiting.push_back(order);          // then lead the lane, or wait for order->woken

#include "hibiscuswall/calls/claim_bucket.hpp"
#include "hibiscuswall/core/result.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace hibiscuswall {

struct claim_order {
    std::string key;

    // ---- to take a claim
    std::optional<claim> mine; // none: this order ends a claim
    std::string replaces;      // call_id of a claim that may be overwritten

    // ---- to end a claim
    std::string call_id;
    claim_state end = claim_state::sent;
    std::optional<claim_answer> answer;

    // ---- progress
    int attempts = 0;                     // rounds that failed
    claim holder;                         // the key's claim once the swap in flight has taken effect
    std::optional<result<claim>> outcome; // the claim that holds the key; empty for an ending
    boost::asio::steady_timer woken;      // expires when there is an outcome, or when it is to lead its lane

    explicit claim_order(boost::asio::any_io_executor const& executor)
        : woken{executor, boost::asio::steady_timer::time_point::max()}
    {
    }

    // Also when the wait begins only afterwards.
    auto wake() -> void { woken.expires_at(boost::asio::steady_timer::time_point::min()); }
};

using claim_order_ptr = std::shared_ptr<claim_order>;

// The front order's coroutine leads: it runs the rounds until its own order has an outcome, then wakes the
// next.
struct claim_lane {
    std::deque<claim_order_ptr> waiting;
    bool led = false;
    bool one_by_one = false; // the bucket has no room for all of them at once
};

} // namespace hibiscuswall
