#include "hibiscuswall/core/rate_knowledge.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_datagram_time = milliseconds{250}; // from process to process, also over a busy link

auto later(std::optional<time_point> const& left, std::optional<time_point> const& right)
    -> std::optional<time_point>
{
    if (!left || !right) return left ? left : right;
    return std::max(*left, *right);
}

auto age_of(std::optional<time_point> const& at, time_point now) -> milliseconds
{
    if (!at) return milliseconds{-1};
    return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(now - *at));
}

} // namespace

auto rate_knowledge::on_response(rate_statement const& stated, time_point requested_at,
                                 time_point received_at) -> void
{
    if (std::holds_alternative<no_rate_limit>(stated)) absent_since = later(absent_since, requested_at);
    auto const* named = std::get_if<rate_limit>(&stated);
    if (named == nullptr) return;
    auto const is_raised = limit() && named->calls_per_second > calls_per_second;
    if (is_raised && requested_at < *named_at) return;
    calls_per_second = named->calls_per_second;
    named_at = later(named_at, received_at);
}

auto rate_knowledge::merge(rate_knowledge const& other) -> void
{
    if (other.named_at && (!named_at || *other.named_at > *named_at))
        calls_per_second = other.calls_per_second;
    else if (other.named_at && *other.named_at == *named_at)
        calls_per_second = std::min(calls_per_second, other.calls_per_second);
    named_at = later(named_at, other.named_at);
    absent_since = later(absent_since, other.absent_since);
}

auto rate_knowledge::limit() const -> std::optional<double>
{
    if (!named_at || (absent_since && *absent_since > *named_at)) return std::nullopt;
    return calls_per_second;
}

auto with_ages(rate_knowledge const& knowledge, time_point now) -> aged_rate_knowledge
{
    return {knowledge.calls_per_second, age_of(knowledge.named_at, now), age_of(knowledge.absent_since, now)};
}

auto with_times(aged_rate_knowledge const& received, time_point now) -> rate_knowledge
{
    auto knowledge = rate_knowledge{received.calls_per_second, {}, {}};
    if (received.named_age.count() >= 0) knowledge.named_at = now - received.named_age;
    if (received.absent_age.count() >= 0)
        knowledge.absent_since = now - received.absent_age - max_datagram_time;
    return knowledge;
}

} // namespace hibiscuswall
