#include "hibiscuswall/fleet/prefix_watcher.hpp"

#include "hibiscuswall/core/hedged.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/store_revision.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace hibiscuswall {
namespace {

constexpr auto recovery_period =
    milliseconds{2'500}; // deletions this soon after an outage may be caused by it
constexpr auto restore_period = milliseconds{3'000}; // until what a restored store had lost is written again
// A response that begins no later than this many times the usual delay was not held back until there was a
// change: the change had been made before the request arrived.
constexpr auto immediate_response_factor = 4;
constexpr auto min_immediate_response = milliseconds{50}; // of a store that is not busy
// After the end of its wait, until a watch without a response is overdue.
constexpr auto overdue_time = milliseconds{300};
constexpr auto answer_time = milliseconds{300}; // of a range, with its way
constexpr auto min_watch_wait = milliseconds{1'000};

} // namespace

auto watch_wait(milliseconds settle_time, milliseconds gather) -> milliseconds
{
    auto const to_replace = overdue_time + key_value_client::second_call_delay + answer_time;
    return std::max(min_watch_wait, settle_time - gather - to_replace);
}

auto prefix_watcher::run() -> asio::awaitable<void>
{
    while (true) {
        auto const begun_at = clock::now();
        auto const is_watch = complete_;
        auto outcome = result<void>{success()};
        if (is_watch)
            outcome = co_await watch_once();
        else
            outcome = co_await read_all();
        if (outcome) continue;
        if (outcome.error().code == result_code::history_unavailable) {
            on_store_response();
            complete_ = false;
            continue;
        }
        log_event(log_level::info, "store_call_failed",
                  {{"prefix", prefix_},
                   {"call", is_watch ? "watch" : "range"},
                   {"after_ms", milliseconds_text(clock::now() - begun_at)},
                   {"failures", std::to_string(consecutive_failures_ + 1)},
                   {"reason", outcome.error().message}});
        co_await on_store_failure(outcome.error());
    }
}

auto prefix_watcher::request_range() -> asio::awaitable<result<received>>
{
    auto const requested_at = clock::now();
    auto range = co_await store_.range(prefix_);
    if (!range) co_return range.error();
    co_return received{received_range{std::move(range).value(), requested_at}};
}

auto prefix_watcher::request_changes(milliseconds wait) -> asio::awaitable<result<received>>
{
    auto const requested_at = clock::now();
    auto changes = co_await store_.watch_prefix(prefix_, revision_, wait);
    if (!changes) co_return changes.error();
    co_return received{received_changes{std::move(changes).value(), requested_at}};
}

auto prefix_watcher::read_all() -> asio::awaitable<result<void>>
{
    auto range = co_await request_range();
    if (!range) co_return range.error();
    take_range(std::get<received_range>(range.value()));
    co_return success();
}

auto prefix_watcher::take_range(received_range const& range) -> void
{
    auto const now = clock::now();
    response_delay_ = now - range.requested_at;
    changed_since_ = complete_until_;
    complete_until_ = std::max(complete_until_, range.requested_at);
    on_store_response();
    on_range_era(range.content.revision, now);
    revision_ = std::max(revision_, range.content.revision);
    for (auto const& item : range.content.items)
        changed_revision_ = std::max(changed_revision_, item.revision);
    complete_ = true;
    callbacks_.on_range(range.content, recently_unavailable(now));
}

auto prefix_watcher::on_range_era(std::uint64_t revision, time_point now) -> void
{
    auto const before = store_revision::from_ordered(revision_).era;
    if (before != 0 && store_revision::from_ordered(revision).era > before) restored_at_ = now;
}

auto prefix_watcher::is_restoring(time_point now) const -> bool
{
    return restored_at_ && now - *restored_at_ < restore_period;
}

auto prefix_watcher::read_again_after_restore(time_point now) -> void
{
    if (!restored_at_ || is_restoring(now)) return;
    restored_at_.reset();
    complete_ = false;
}

auto prefix_watcher::refresh() -> asio::awaitable<void>
{
    auto const read = co_await read_all();
    log_event(log_level::info, "range_read_again",
              {{"prefix", prefix_}, {"outcome", read ? "read" : read.error().message}});
}

auto prefix_watcher::watch_once() -> asio::awaitable<result<void>>
{
    auto const wait = short_watches_remaining_ > 0 ? settings_.short_watch_duration : settings_.wait;
    if (short_watches_remaining_ > 0) --short_watches_remaining_;
    auto const call = [this, wait](std::size_t attempt) {
        return attempt == 0 ? request_changes(wait) : request_range();
    };
    auto const policy = hedge_options{wait + overdue_time, after_failure::no_more};
    auto response = co_await hedged<received>(2, policy, call);
    if (!response) co_return response.error();
    if (auto const* range = std::get_if<received_range>(&response.value())) {
        short_watches_remaining_ = settings_.short_watch_count;
        log_event(log_level::info, "watch_overdue", {{"prefix", prefix_}});
        take_range(*range);
        co_return success();
    }
    auto const& changes = std::get<received_changes>(response.value());
    take_changes(changes);
    if (!changes.content.changes.empty() && settings_.batch_delay.count() > 0)
        co_await sleep_for(settings_.batch_delay);
    co_return success();
}

auto prefix_watcher::take_changes(received_changes const& changes) -> void
{
    set_change_times(changes.requested_at, changes.content.begun_at, clock::now());
    on_store_response();
    revision_ = std::max(revision_, changes.content.revision);
    read_again_after_restore(clock::now());
    auto const unavailable = recently_unavailable(clock::now());
    auto seen_keys = std::set<std::string_view>{};
    for (auto const& change : changes.content.changes) {
        changed_revision_ = std::max(changed_revision_, change.revision);
        callbacks_.on_change(change, unavailable);
        // A watch returns every value that a key had. If a key changed more than once, this process is
        // behind: reading the range fetches only the newest values, which lets it catch up over a slow link.
        if (!seen_keys.insert(change.key).second) complete_ = false;
    }
}

// The store responds as soon as there is a change, so the changes are as old as the begin of the response;
// its end may be seconds later, because a large value of another key fills the link. If the store did not
// have to wait for the changes, they were made while the previous response was on its way.
auto prefix_watcher::set_change_times(time_point requested_at, time_point begun_at, time_point now) -> void
{
    auto const begun = std::min({begun_at, arrived_since(begun_at), arrived_since(now)});
    auto const immediate =
        std::max(clock::duration{min_immediate_response}, immediate_response_factor * response_delay_);
    auto const has_waited = begun - requested_at > immediate;
    response_delay_ = now - begun_at;
    changed_since_ = has_waited ? std::max(complete_until_, begun) : complete_until_;
    complete_until_ = std::max(complete_until_, has_waited ? begun : requested_at);
}

auto prefix_watcher::arrived_since(time_point now) const -> time_point
{
    return settings_.pauses == nullptr ? now : settings_.pauses->arrived_since(now);
}

auto prefix_watcher::on_store_response() -> void
{
    auto const now = clock::now();
    if (consecutive_failures_ > 0) {
        recovered_at_ = now;
        log_event(log_level::info, "store_regained",
                  {{"prefix", prefix_}, {"failures", std::to_string(consecutive_failures_)}});
    }
    consecutive_failures_ = 0;
    confirmed_at_ = now;
}

auto prefix_watcher::on_store_failure(error const& reason) -> asio::awaitable<void>
{
    short_watches_remaining_ = settings_.short_watch_count;
    // A watch from the same revision would again return every intermediate value, which may not fit into the
    // timeout; the range holds only the newest values.
    complete_ = false;
    if (consecutive_failures_++ == 0)
        log_event(log_level::warning, "store_lost", {{"prefix", prefix_}, {"reason", reason.message}});
    auto const max_delay =
        std::min(settings_.max_retry_delay, settings_.retry_delay_step * consecutive_failures_);
    auto const fraction_of_delay = 0.5 + 0.5 * random_.fraction(); // spreads the retries of many processes
    co_await sleep_for(
        milliseconds{static_cast<long long>(fraction_of_delay * static_cast<double>(max_delay.count()))});
}

auto prefix_watcher::recently_unavailable(time_point now) const -> bool
{
    if (recovered_at_ != time_point{} && now - recovered_at_ < recovery_period) return true;
    auto const failed_at = store_.last_failure();
    return failed_at != time_point{} && now - failed_at < recovery_period;
}

} // namespace hibiscuswall
