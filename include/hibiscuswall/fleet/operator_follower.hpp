#pragma once
// By which an entry follows what operators declare: the watches of the store, peers that know more, and how
// far this entry is behind them.
//
//   auto follower = operator_follower{context, store, declared, loads, pauses, settle_time};
//   follower.start();                     // its loops run until the io_context stops
//
// Tells by log and metrics how old what it has is (docs/OPERATIONS.md).

#include "hibiscuswall/fleet/declaration_watch.hpp"
#include "hibiscuswall/fleet/load_report_receiver.hpp"
#include "hibiscuswall/fleet/operator_lag.hpp"
#include "hibiscuswall/fleet/operator_sync.hpp"
#include "hibiscuswall/fleet/prefix_watcher.hpp"

namespace hibiscuswall {

class operator_follower {
public:
    // settle_time: after a fault of the store or a link, until this entry has to be up to date.
    operator_follower(process_context& context, key_value_client& store, declared_state& declared,
                      load_report_receiver& loads, pause_detector const& pauses, milliseconds settle_time);
    ~operator_follower() = default;
    operator_follower(operator_follower const&) = delete;
    operator_follower(operator_follower&&) = delete;
    auto operator=(operator_follower const&) -> operator_follower& = delete;
    auto operator=(operator_follower&&) -> operator_follower& = delete;

    auto start() -> void;

private:
    auto watch_callbacks() -> prefix_watcher_callbacks;
    auto run_lag_checks() -> asio::awaitable<void>;
    auto log_lag(std::string_view event, clock::duration behind, time_point now) const -> void;
    auto set_lag_metrics(clock::duration behind, time_point now) -> void;

    process_context& context_;
    declared_state& declared_state_;
    load_report_receiver& loads_;
    prefix_watcher watch_;           // of all keys
    declaration_watch declarations_; // of weights
    operator_sync peers_;
    operator_lag lag_;
};

} // namespace hibiscuswall
