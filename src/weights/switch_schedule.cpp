#include "hibiscuswall/weights/switch_schedule.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

auto fraction_of(milliseconds span, double fraction) -> milliseconds
{
    return milliseconds{static_cast<long long>(static_cast<double>(span.count()) * fraction)};
}

auto is_newer(declared_version const& each, weights_view const& view) -> bool
{
    return !view.held || each.version > *view.held;
}

// Newest complete version that the engine does not hold; none while all of them are still incomplete.
auto newest_complete(weights_view const& view) -> std::optional<std::uint64_t>
{
    auto found = std::optional<std::uint64_t>{};
    for (auto const& each : view.declared)
        if (each.complete && is_newer(each, view)) found = each.version;
    return found;
}

// Whether a version that the engine lacks will probably be complete once its running calls have ended.
auto is_nearly_complete(weights_view const& view, switch_settings const& settings) -> bool
{
    for (auto const& each : view.declared)
        if (is_newer(each, view) && each.held_fraction >= settings.nearly_complete_fraction) return true;
    return false;
}

// After a drain that ended without a switch, the engine is not drained again until a version is complete.
auto may_drain(weights_view const& view, switch_settings const& settings, time_point now) -> bool
{
    if (!view.held || now < due_time(view, settings) || !is_nearly_complete(view, settings)) return false;
    return !view.drained_at || now - *view.drained_at < settings.max_drain_duration;
}

} // namespace

auto switch_time(weights_view const& view, switch_settings const& settings) -> time_point
{
    // Of the versions that the engine lacks, the oldest has the earliest deadline.
    for (auto const& each : view.declared)
        if (is_newer(each, view))
            return each.declared_at + settings.first_switch_delay +
                   fraction_of(settings.last_switch_delay - settings.first_switch_delay, view.rank);
    return time_point{};
}

auto due_time(weights_view const& view, switch_settings const& settings) -> time_point
{
    auto const scheduled = switch_time(view, settings);
    auto const oldest = std::find_if(view.declared.begin(), view.declared.end(),
                                     [&](auto const& each) { return is_newer(each, view); });
    for (auto const& each : view.declared) {
        if (!is_newer(each, view) || !each.nearly_complete_at) continue;
        auto const ready_at = *each.nearly_complete_at;
        if (ready_at <= each.declared_at + settings.first_switch_delay) return scheduled;
        auto const latest = std::max(ready_at, oldest->declared_at + settings.max_switch_delay);
        auto const left = std::chrono::duration_cast<milliseconds>(latest - ready_at);
        return std::max(scheduled, ready_at + fraction_of(left, view.rank));
    }
    return scheduled;
}

auto next_weights_step(weights_view const& view, switch_settings const& settings, time_point now)
    -> weights_step
{
    if (view.order_running) return {weights_action::wait};
    auto const newest = view.declared.back().version;
    if (view.held && *view.held >= newest) return {weights_action::none};
    auto const version = newest_complete(view);
    if (!version) return {may_drain(view, settings, now) ? weights_action::drain : weights_action::wait};
    auto const is_staged = view.staged == version;
    // An engine without weights serves no calls, so it need not wait for its switch time.
    if (!view.held) return {is_staged ? weights_action::load : weights_action::stage, *version};
    auto const due = due_time(view, settings);
    if (is_staged && now >= due) return {weights_action::load, *version};
    if (!is_staged && (*version == newest || now >= due - settings.staging_lead_time))
        return {weights_action::stage, *version};
    return {weights_action::wait};
}

} // namespace hibiscuswall
