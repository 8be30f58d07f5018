#include "hibiscuswall/fleet/quarantine_store.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/fleet/quarantine_document.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>
#include <limits>

namespace hibiscuswall {
namespace {

constexpr auto max_records = std::size_t{256}; // of the quarantine

} // namespace

quarantine_store::quarantine_store(key_value_client& store, random_source& random, std::string self,
                                   prompt_quarantine& quarantine, std::function<void()> on_change,
                                   quarantine_store_settings settings)
    : store_{store}, random_{random}, quarantine_{quarantine},
      on_change_{std::move(on_change)}, settings_{settings}, plan_{std::move(self), settings.plan}
{
}

auto quarantine_store::run() -> asio::awaitable<void>
{
    while (!co_await read())
        co_await sleep_about(settings_.retry_delay);
    while (true) {
        co_await sleep_for(settings_.check_interval);
        auto done = true;
        if (needs_read(clock::now())) done = co_await read();
        if (done) done = co_await perform_steps();
        if (!done) co_await sleep_about(settings_.retry_delay);
    }
}

// Spreads the calls of many entries.
auto quarantine_store::sleep_about(milliseconds delay) -> asio::awaitable<void>
{
    auto const fraction = 0.5 + 0.5 * random_.fraction();
    co_await sleep_for(milliseconds{static_cast<long long>(fraction * static_cast<double>(delay.count()))});
}

auto quarantine_store::needs_read(time_point now) const -> bool
{
    auto const failed_at = store_.last_failure();
    return failed_at > read_at_ && now - failed_at >= settings_.settled_time;
}

auto quarantine_store::read() -> asio::awaitable<bool>
{
    auto const begun = clock::now();
    auto const range = co_await store_.range(std::string{quarantine_prefix}, true);
    if (!range) co_return false;
    auto const now = clock::now();
    auto records = std::vector<segment_record>{};
    auto stored = quarantine_plan::stored_map{};
    for (auto const& item : range.value().items) {
        auto record = decode_quarantine(item.key, item.value, now);
        if (!record) {
            log_event(log_level::warning, "quarantine_value_refused", {{"key", item.key}});
            continue;
        }
        stored.insert_or_assign(item.key, stored_quarantine{highest_generation(*record), item.revision});
        records.push_back(std::move(*record));
    }
    read_at_ = begun;
    plan_.on_read(std::move(stored));
    merge(records, now);
    co_return true;
}

auto quarantine_store::merge(std::vector<segment_record> const& records, time_point now) -> void
{
    if (records.empty() || !quarantine_.merge(records, now)) return;
    log_event(log_level::info, "quarantine_read", {{"segments", std::to_string(records.size())}});
    on_change_();
}

auto quarantine_store::perform_steps() -> asio::awaitable<bool>
{
    while (!quarantine_.empty() || !plan_.empty()) {
        auto const now = clock::now();
        auto step = plan_.next_step(quarantine_.status(now), now);
        if (!step) co_return true;
        auto const perform_it = [this](auto each) { return perform(std::move(each)); };
        if (!co_await std::visit(perform_it, std::move(*step))) co_return false;
    }
    co_return true;
}

auto quarantine_store::perform(store_write step) -> asio::awaitable<bool>
{
    auto const records = quarantine_.records(max_records, clock::now());
    auto const found = std::ranges::find_if(records, [&](auto const& record) {
        return record.model == step.model && record.segment == step.segment;
    });
    if (found == records.end()) co_return false; // cleared meanwhile
    auto text = encode_quarantine(*found);
    if (!text) { // no entry can write it
        plan_.on_found(step.key, stored_quarantine{std::numeric_limits<int>::max(), std::nullopt});
        co_return true;
    }
    auto const written = co_await store_.put(step.key, std::move(*text), step.expect);
    if (!written && written.error().code != result_code::revision_conflict) co_return false;
    log_event(log_level::info, "quarantine_stored",
              {{"model", step.model},
               {"segment", step.segment},
               {"generation", std::to_string(step.generation)},
               {"outcome", written ? "written" : "by_another_entry"}});
    if (written)
        plan_.on_written(step.key, step.generation, written.value());
    else
        plan_.on_conflict(step);
    co_return true;
}

auto quarantine_store::perform(store_removal step) -> asio::awaitable<bool>
{
    auto const removed = co_await store_.erase(step.key, step.expect);
    if (!removed && removed.error().code != result_code::revision_conflict) co_return false;
    log_event(log_level::info, "quarantine_removed",
              {{"key", step.key}, {"outcome", removed ? "removed" : "by_another_entry"}});
    if (removed)
        plan_.on_removed(step.key);
    else
        plan_.on_conflict(step);
    co_return true;
}

auto quarantine_store::perform(store_lookup step) -> asio::awaitable<bool>
{
    auto const found = co_await store_.find(step.key);
    if (!found) co_return false;
    auto stored = std::optional<stored_quarantine>{};
    if (found.value()) {
        auto const record = decode_quarantine(step.key, found.value()->value, clock::now());
        stored = stored_quarantine{record ? highest_generation(*record) : 0, found.value()->revision};
    }
    plan_.on_found(step.key, stored);
    co_return true;
}

} // namespace hibiscuswall
