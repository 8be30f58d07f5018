// The part of engine_weights_controller that moves its engine to a staged version.
#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

// Time for entries to receive the pause before the engine stops taking calls.
constexpr auto pause_notice_duration = milliseconds{120};
constexpr auto switch_timeout = milliseconds{8'000}; // of an order that the engine began
constexpr auto order_timeout = milliseconds{1'000};
// Age of the oldest comparison of a staged chunk at which an order may still be sent. Chunks can become
// corrupt at any time, also while this process stands still.
constexpr auto max_comparison_age = milliseconds{1'500};
constexpr auto max_comparisons = 3; // in a row during which the engine takes no calls
constexpr auto reconcile_interval = milliseconds{50};
constexpr auto failure_retry_delay = milliseconds{200}; // after a step that failed
constexpr auto max_answer_bytes = std::size_t{64 * 1024};

auto outcome_text(platform::order_outcome outcome) -> std::string
{
    switch (outcome) {
    case platform::order_outcome::begun:
        return "begun";
    case platform::order_outcome::in_effect:
        return "in_effect";
    case platform::order_outcome::state_differs:
        return "state_differs";
    case platform::order_outcome::outdated:
        return "outdated";
    case platform::order_outcome::refused:
        return "refused";
    case platform::order_outcome::not_sent:
        return "not_sent";
    case platform::order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

auto engine_weights_controller::switch_version(std::uint64_t version) -> asio::awaitable<void>
{
    auto const found = co_await find_manifest(version);
    if (found == nullptr) co_return;
    // An engine without weights receives no calls, so entries need no notice.
    if (held_version() && !paused_) {
        set_paused(true);
        co_await sleep_for(pause_notice_duration);
    }
    if (co_await order_compared_chunks(found, version)) co_await await_switch(version);
    set_paused(false);
}

// The engine loads staged chunks as they are, and they can become corrupt at any time, so they are compared
// right before the order. An order that comes too late for its comparison is not sent, and the chunks are
// compared again. Returns whether the engine has begun the order.
auto engine_weights_controller::order_compared_chunks(manifest_ptr found, std::uint64_t version)
    -> asio::awaitable<bool>
{
    for (auto tries = 0; tries < max_comparisons; ++tries) {
        auto const compared_at = clock::now();
        auto const staged = co_await stage_.read_back(found);
        auto const verified = staged && std::all_of(staged.value().begin(), staged.value().end(),
                                                    [](bool each) { return each; });
        if (!verified) {
            staged_version_.reset();
            stage_known_ = false; // makes the next staging read back and write only the corrupt chunks
            log_event(log_level::warning, "staged_chunks_bad", {{"version", found->id()}});
            co_return false;
        }
        auto const outcome = co_await order(version, compared_at);
        if (outcome == platform::order_outcome::begun || outcome == platform::order_outcome::in_effect)
            co_return true;
        if (outcome != platform::order_outcome::not_sent) break;
    }
    co_await sleep_for(failure_retry_delay);
    co_return false;
}

auto engine_weights_controller::order(std::uint64_t version, time_point compared_at)
    -> asio::awaitable<platform::order_outcome>
{
    auto command = platform::load_order{};
    command.model = engine_service()->engine->model;
    command.version = version;
    command.expected_orders = report_->orders_begun;
    // The engine keeps this count across restarts of this process, so each order gets a higher number.
    command.fencing = report_->orders_begun + 1;
    auto options = http_call_options{};
    options.connect_timeout = order_timeout;
    options.timeout = order_timeout;
    options.fresh_connection = true;
    options.send_by = compared_at + max_comparison_age;
    options.purpose = "order";
    options.body_limit = max_answer_bytes;
    options.may_end_with_connection = true; // only the status is read
    auto response =
        co_await context_.client.fetch(settings_.engine, platform::load_request(command), options);
    auto outcome = platform::order_outcome::unknown;
    if (response)
        outcome = platform::to_order_outcome(response.value().status);
    else if (response.error().code == result_code::deadline_exceeded)
        outcome = platform::order_outcome::not_sent;
    log_event(log_level::info, "engine_ordered",
              {{"version", weights_id(command.model, std::to_string(version))},
               {"fencing", std::to_string(command.fencing)},
               {"compared_ms_ago", milliseconds_text(clock::now() - compared_at)},
               {"outcome", outcome_text(outcome)},
               {"answer", response ? response.value().body : response.error().message}});
    if (outcome == platform::order_outcome::not_sent)
        context_.metrics_registry.count("weights_orders_withheld");
    // An order whose response was lost shows in the next report, if it began.
    if (outcome != platform::order_outcome::begun) co_await read_report();
    co_return outcome;
}

auto engine_weights_controller::await_switch(std::uint64_t version) -> asio::awaitable<void>
{
    auto const begun = clock::now();
    auto const start = engine_started_at_ms_;
    while (clock::now() - begun < switch_timeout && engine_started_at_ms_ == start) {
        co_await sleep_for(reconcile_interval);
        if (held_version() != version) continue;
        log_event(
            log_level::info, "weights_serving",
            {{"version", std::to_string(version)}, {"took_ms", milliseconds_text(clock::now() - begun)}});
        co_return;
    }
    log_event(log_level::warning, "weights_change_unfinished", {{"version", std::to_string(version)}});
}

} // namespace hibiscuswall
