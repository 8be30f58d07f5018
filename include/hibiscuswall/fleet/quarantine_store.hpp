#pragma once
// Keeps quarantined prompt segments in the platform's store, so that the verdict outlasts every entry.
//
//   auto kept = quarantine_store{store, random, "entry-1", quarantine, [&] { exchange.on_change(); }};
//   start_loop(io.get_executor(), "quarantine_store", [&] { return kept.run(); });
//   kept.set_entries(names);
//
// Reads the store once at the start, and once after an outage: between them, entries learn from each other.

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/fleet/quarantine_plan.hpp"
#include "platform/key_value_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hibiscuswall {

struct quarantine_store_settings {
    milliseconds check_interval{200}; // between two looks at the quarantine
    milliseconds retry_delay{1'000};  // after a failed call; 50 to 100 % of it is used
    milliseconds settled_time{2'000}; // without a failed call, after which an outage is over
    quarantine_plan_settings plan;
};

class quarantine_store {
public:
    // on_change: called after the store has told something new.
    quarantine_store(key_value_client& store, random_source& random, std::string self,
                     prompt_quarantine& quarantine, std::function<void()> on_change,
                     quarantine_store_settings settings = {});

    auto set_entries(std::vector<std::string> names) -> void { plan_.set_entries(std::move(names)); }

    // Runs until the io_context stops.
    auto run() -> asio::awaitable<void>;

private:
    auto read() -> asio::awaitable<bool>;
    auto merge(std::vector<segment_record> const& records, time_point now) -> void;
    [[nodiscard]] auto needs_read(time_point now) const -> bool;

    // Performs the steps that are due; false if the store did not respond as expected.
    auto perform_steps() -> asio::awaitable<bool>;
    auto perform(store_write step) -> asio::awaitable<bool>;
    auto perform(store_removal step) -> asio::awaitable<bool>;
    auto perform(store_lookup step) -> asio::awaitable<bool>;
    auto sleep_about(milliseconds delay) -> asio::awaitable<void>;

    key_value_client& store_;
    random_source& random_;
    prompt_quarantine& quarantine_;
    std::function<void()> on_change_;
    quarantine_store_settings settings_;
    quarantine_plan plan_;
    time_point read_at_; // when the last successful read began
};

} // namespace hibiscuswall
