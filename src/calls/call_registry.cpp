#include "hibiscuswall/calls/call_registry.hpp"

namespace hibiscuswall {
namespace {

// Allowance for the difference of wall clocks between the claim's writer and this host.
constexpr auto clock_margin = seconds{60};

} // namespace

auto call_registry::begin(std::string const& call_id, time_point now) -> result_code
{
    if (auto const found = records_.find(call_id); found != records_.end()) {
        auto& seen = found->second;
        switch (seen.state) {
        case call_state::refused:
            seen.state = call_state::running;
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
    if (!make_room(now)) return result_code::endpoint_overloaded;
    records_[call_id] = {};
    by_age_.emplace_back(now, call_id);
    return result_code::ok;
}

// False when the registry is full of records that must not be dropped.
auto call_registry::make_room(time_point now) -> bool
{
    while (!by_age_.empty()) {
        auto const& [made, call_id] = by_age_.front();
        auto const full = records_.size() >= settings_.records;
        if (!full && now - made < settings_.age) return true;
        auto const found = records_.find(call_id);
        auto const state = found->second.state;
        // Dropping one of these could let a call run twice.
        auto const needed =
            state == call_state::running || (state == call_state::revoked && now - made < settings_.age);
        if (needed) return !full;
        newest_dropped_ = made;
        if (found->second.answer) answer_bytes_ -= found->second.answer->body.size();
        records_.erase(found);
        by_age_.pop_front();
    }
    return true;
}

auto call_registry::answered(std::string const& call_id, std::optional<kept_answer> answer) -> void
{
    auto const found = records_.find(call_id);
    if (found == records_.end()) return;
    found->second.state = call_state::answered;
    if (!answer || answer->body.size() > settings_.max_response_bytes) return;
    answer_bytes_ += answer->body.size();
    found->second.answer = std::move(answer);
    with_answer_.push_back(call_id);
    drop_oldest_answers();
}

auto call_registry::drop_oldest_answers() -> void
{
    while (answer_bytes_ > settings_.answers_total || with_answer_.size() > settings_.records) {
        auto const found = records_.find(with_answer_.front());
        with_answer_.pop_front();
        if (found == records_.end() || !found->second.answer) continue;
        answer_bytes_ -= found->second.answer->body.size();
        found->second.answer.reset();
    }
}

auto call_registry::unknown(std::string const& call_id) -> void
{
    if (auto const found = records_.find(call_id); found != records_.end())
        found->second.state = call_state::unknown;
}

auto call_registry::not_run(std::string const& call_id) -> void
{
    if (auto const found = records_.find(call_id); found != records_.end())
        found->second.state = call_state::refused;
}

auto call_registry::find(std::string const& call_id) const -> std::optional<call_resolution>
{
    auto const found = records_.find(call_id);
    if (found == records_.end()) return std::nullopt;
    return call_resolution{found->second.state, found->second.answer};
}

auto call_registry::resolve(std::string const& call_id, std::optional<milliseconds> age, time_point now)
    -> call_resolution
{
    if (auto const found = records_.find(call_id); found != records_.end()) {
        auto const state = found->second.state;
        // The repeat may run, so the first one must not start after this.
        if (state == call_state::refused) found->second.state = call_state::revoked;
        return {state, found->second.answer};
    }
    auto const forgotten = newest_dropped_ && (!age || now - *age - clock_margin <= *newest_dropped_);
    if (forgotten || !make_room(now)) return {call_state::unknown, std::nullopt};
    records_[call_id] = {call_state::revoked, std::nullopt};
    by_age_.emplace_back(now, call_id);
    return {call_state::revoked, std::nullopt};
}

} // namespace hibiscuswall
