#include "hibiscuswall/calls/call_registry.hpp"

namespace hibiscuswall {
namespace {

// Allowed difference between the wall clocks of the claim's writer and of this host.
constexpr auto clock_margin = seconds{60};

} // namespace

auto call_registry::begin(std::string const& call_id, time_point now) -> result_code
{
    if (auto const found = records_.find(call_id); found != records_.end()) {
        auto& existing = found->second;
        switch (existing.state) {
        case call_state::refused:
            existing.state = call_state::running;
            return result_code::ok;
        case call_state::revoked:
            return result_code::call_revoked;
        case call_state::running:
            return result_code::call_in_progress;
        case call_state::answered:
        case call_state::unknown:
            return result_code::outcome_unknown;
        }
    }
    if (!evict_for_new_record(now)) return result_code::endpoint_overloaded;
    records_[call_id] = {};
    by_age_.emplace_back(now, call_id);
    return result_code::ok;
}

// Evicts expired records, and the oldest ones while the registry is full. Returns false if it is still full
// because the oldest record must be kept.
auto call_registry::evict_for_new_record(time_point now) -> bool
{
    while (!by_age_.empty()) {
        auto const& [created_at, call_id] = by_age_.front();
        auto const is_full = records_.size() >= settings_.max_records;
        if (!is_full && now - created_at < settings_.max_age) return true;
        auto const found = records_.find(call_id);
        auto const state = found->second.state;
        // Evicting a running or recently revoked call could let it run twice.
        auto const must_keep = state == call_state::running ||
                               (state == call_state::revoked && now - created_at < settings_.max_age);
        if (must_keep) return !is_full;
        newest_evicted_created_at_ = created_at;
        if (found->second.response) response_bytes_ -= found->second.response->body.size();
        records_.erase(found);
        by_age_.pop_front();
    }
    return true;
}

auto call_registry::record_response(std::string const& call_id, std::optional<stored_response> response)
    -> void
{
    auto const found = records_.find(call_id);
    if (found == records_.end()) return;
    found->second.state = call_state::answered;
    if (!response || response->body.size() > settings_.max_response_bytes) return;
    response_bytes_ += response->body.size();
    found->second.response = std::move(response);
    with_response_.push_back(call_id);
    evict_oldest_responses();
}

auto call_registry::evict_oldest_responses() -> void
{
    while (response_bytes_ > settings_.max_total_response_bytes ||
           with_response_.size() > settings_.max_records) {
        auto const found = records_.find(with_response_.front());
        with_response_.pop_front();
        if (found == records_.end() || !found->second.response) continue;
        response_bytes_ -= found->second.response->body.size();
        found->second.response.reset();
    }
}

auto call_registry::record_unknown_outcome(std::string const& call_id) -> void
{
    if (auto const found = records_.find(call_id); found != records_.end())
        found->second.state = call_state::unknown;
}

auto call_registry::record_not_run(std::string const& call_id) -> void
{
    if (auto const found = records_.find(call_id); found != records_.end())
        found->second.state = call_state::refused;
}

auto call_registry::find(std::string const& call_id) const -> std::optional<call_resolution>
{
    auto const found = records_.find(call_id);
    if (found == records_.end()) return std::nullopt;
    return call_resolution{found->second.state, found->second.response};
}

auto call_registry::resolve(std::string const& call_id, std::optional<milliseconds> age, time_point now)
    -> call_resolution
{
    if (auto const found = records_.find(call_id); found != records_.end()) {
        auto const state = found->second.state;
        // The caller may now retry the call, so this attempt must not start later.
        if (state == call_state::refused) found->second.state = call_state::revoked;
        return {state, found->second.response};
    }
    auto const may_be_evicted =
        newest_evicted_created_at_ && (!age || now - *age - clock_margin <= *newest_evicted_created_at_);
    if (may_be_evicted || !evict_for_new_record(now)) return {call_state::unknown, std::nullopt};
    records_[call_id] = {call_state::revoked, std::nullopt};
    by_age_.emplace_back(now, call_id);
    return {call_state::revoked, std::nullopt};
}

} // namespace hibiscuswall
