#include "hibiscuswall/weights/switch_schedule.hpp"

namespace hibiscuswall {
namespace {

auto part_of(milliseconds span, double part) -> milliseconds
{
    return milliseconds{static_cast<long long>(static_cast<double>(span.count()) * part)};
}

auto is_newer(declared_version const& each, weights_view const& view) -> bool
{
    return !view.held || each.version > *view.held;
}

// Newest whole version that the engine does not hold; none while all are on their way.
auto newest_whole(weights_view const& view) -> std::optional<std::uint64_t>
{
    auto found = std::optional<std::uint64_t>{};
    for (auto const& each : view.declared)
        if (each.whole && is_newer(each, view)) found = each.version;
    return found;
}

// Whether a version that the engine lacks will be whole by the time its running calls have ended.
auto is_nearly_whole(weights_view const& view, switch_settings const& settings) -> bool
{
    for (auto const& each : view.declared)
        if (is_newer(each, view) && each.held_part >= settings.nearly_whole) return true;
    return false;
}

// A drain that did not lead to a change in time is not begun again before the version is whole.
auto may_drain(weights_view const& view, switch_settings const& settings, time_point now) -> bool
{
    if (!view.held || now < change_time(view, settings) || !is_nearly_whole(view, settings)) return false;
    return !view.drained_at || now - *view.drained_at < settings.longest_drain;
}

} // namespace

auto change_time(weights_view const& view, switch_settings const& settings) -> time_point
{
    // The oldest version that the engine lacks has the nearest bound.
    for (auto const& each : view.declared)
        if (is_newer(each, view))
            return each.received_at + settings.first + part_of(settings.last - settings.first, view.rank);
    return time_point{};
}

auto next_weights_step(weights_view const& view, switch_settings const& settings, time_point now)
    -> weights_step
{
    if (view.order_running) return {weights_action::wait};
    auto const wanted = view.declared.back().version;
    if (view.held && *view.held >= wanted) return {weights_action::none};
    auto const version = newest_whole(view);
    if (!version) return {may_drain(view, settings, now) ? weights_action::drain : weights_action::wait};
    auto const is_staged = view.staged == version;
    // An engine without weights serves nothing meanwhile: it has no reason to wait.
    if (!view.held) return {is_staged ? weights_action::change : weights_action::stage, *version};
    auto const due = change_time(view, settings);
    if (is_staged && now >= due) return {weights_action::change, *version};
    if (!is_staged && (*version == wanted || now >= due - settings.staging))
        return {weights_action::stage, *version};
    return {weights_action::wait};
}

} // namespace hibiscuswall
