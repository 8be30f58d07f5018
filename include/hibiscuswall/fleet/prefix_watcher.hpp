#pragma once
// Watches all keys under one prefix of the platform's store. Recovers from store outages, from lost watch
// history and from a store that came back from an older copy by reading the complete range again. Failures of
// other calls to the store tell of an outage as well, so that a long watch need not end for it to be noticed.
// Beside a watch that is overdue the range is read, and what comes first counts.
//
//   auto watcher = prefix_watcher{store, random, "config/", settings, {.on_range = ..., .on_change = ...}};
//   asio::co_spawn(io, watcher.run(), asio::detached);
//   watcher.confirmed_at();        // time of the store's last response

#include "hibiscuswall/core/pause_detector.hpp"
#include "hibiscuswall/core/random_source.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace hibiscuswall {

// How long a watch may wait so that this process is up to date within settle_time of a fault, even if a watch
// and a call of the range that replaces it are never answered. gather: batch_delay, see below.
[[nodiscard]] auto watch_wait(milliseconds settle_time, milliseconds gather) -> milliseconds;

struct prefix_watcher_settings {
    milliseconds wait{1'900}; // of one watch call
    milliseconds short_watch_duration{
        300};                    // of a watch after a failure, while the store may still be unstable
    int short_watch_count = 8;   // watches with short_watch_duration after a failure
    milliseconds batch_delay{0}; // pause after a change, so that one call covers changes that follow closely
    milliseconds retry_delay_step{
        100}; // delay before a retry, for each consecutive failure; 50 to 100 % of it is used
    milliseconds max_retry_delay{500};      // upper bound of the delay before a retry
    pause_detector const* pauses = nullptr; // of this process; null: it counts as running without pauses
};

struct prefix_watcher_callbacks {
    // Receives the complete content of the prefix. store_was_unavailable: the store recovered from failed
    // calls within the last 2.5 s, so missing keys and deletions may be consequences of the outage.
    std::function<void(store_range const&, bool store_was_unavailable)> on_range;

    // Receives each change in order.
    std::function<void(store_change const&, bool store_was_unavailable)> on_change;
};

class prefix_watcher {
public:
    prefix_watcher(key_value_client& store, random_source& random, std::string prefix,
                   prefix_watcher_settings settings, prefix_watcher_callbacks callbacks)
        : store_{store}, random_{random}, prefix_{std::move(prefix)}, settings_{settings},
          callbacks_{std::move(callbacks)}
    {
    }

    // Runs until the io_context stops.
    auto run() -> asio::awaitable<void>;

    // Reads the range beside a watch that seems to have stalled. The watch goes on.
    auto refresh() -> asio::awaitable<void>;

    // Newest change of a key under the prefix that the store has named.
    [[nodiscard]] auto changed_revision() const -> std::uint64_t { return changed_revision_; }

    // Store revision up to which every change under the prefix is known.
    [[nodiscard]] auto covered_revision() const -> std::uint64_t { return revision_; }

    // During a callback: earliest time at which what it receives may have been written. Later than that, the
    // store had confirmed to this process that nothing had changed.
    [[nodiscard]] auto changed_since() const -> time_point { return changed_since_; }

    // Every change made before this time is known.
    [[nodiscard]] auto complete_until() const -> time_point { return complete_until_; }

    // Whether the store came back from an older copy so recently that what it lost may not be written again.
    // The range is read once more when that time has passed.
    [[nodiscard]] auto is_restoring(time_point now) const -> bool;
    [[nodiscard]] auto absent(time_point now) const -> absent_keys
    {
        return is_restoring(now) ? absent_keys::kept : absent_keys::deleted;
    }

    auto set_batch_delay(milliseconds delay) -> void { settings_.batch_delay = delay; }
    // Duration of the next watches.
    auto set_wait(milliseconds wait) -> void { settings_.wait = wait; }

    [[nodiscard]] auto confirmed_at() const -> time_point { return confirmed_at_; }
    [[nodiscard]] auto is_unavailable() const -> bool { return consecutive_failures_ > 0; }

private:
    struct received_changes {
        store_changes content;
        time_point requested_at;
    };
    struct received_range {
        store_range content;
        time_point requested_at;
    };
    using received = std::variant<received_changes, received_range>;

    auto request_changes(milliseconds wait) -> asio::awaitable<result<received>>;
    auto request_range() -> asio::awaitable<result<received>>;
    auto read_all() -> asio::awaitable<result<void>>;
    auto watch_once() -> asio::awaitable<result<void>>;
    auto take_changes(received_changes const& changes) -> void;
    auto take_range(received_range const& range) -> void;
    auto on_store_response() -> void;
    auto set_change_times(time_point requested_at, time_point begun_at, time_point now) -> void;
    [[nodiscard]] auto arrived_since(time_point now) const -> time_point;
    auto on_store_failure(error const& reason) -> asio::awaitable<void>;
    auto on_range_era(std::uint64_t revision, time_point now) -> void;
    auto read_again_after_restore(time_point now) -> void;
    [[nodiscard]] auto recently_unavailable(time_point now) const -> bool;

    key_value_client& store_;
    random_source& random_;
    std::string prefix_;
    prefix_watcher_settings settings_;
    prefix_watcher_callbacks callbacks_;
    std::uint64_t revision_ = 0; // from which the next watch continues
    std::uint64_t changed_revision_ = 0;
    bool complete_ = false;           // the range was read; only watches are needed
    int consecutive_failures_ = 0;    // store calls that failed since the last response
    int short_watches_remaining_ = 0; // watches that still use short_watch_duration
    time_point confirmed_at_;
    time_point complete_until_;         // every change before this time is known
    time_point changed_since_;          // see changed_since()
    clock::duration response_delay_{0}; // of the latest response of the store, without its wait for a change
    time_point recovered_at_;           // time of the first response after failures
    std::optional<time_point>
        restored_at_; // when the range of a new era was first read, until it is read again
};

} // namespace hibiscuswall
