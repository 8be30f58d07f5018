#include "hibiscuswall/serving/wait_queue.hpp"

namespace hibiscuswall {

auto wait_limit(call_route const& route, service_definition const& service, int prompt_tokens,
                wait_settings const& settings) -> milliseconds
{
    auto const target = static_cast<double>(route.target_latency.count());
    if (!service.engine)
        return std::min(settings.max_wait,
                        milliseconds{static_cast<long long>(target * settings.plain_wait_fraction)});
    auto const prompt_ms = prompt_tokens / std::max(0.001, service.engine->prompt_tokens_per_ms);
    auto const remaining =
        target - prompt_ms - static_cast<double>((settings.engine_overhead + settings.margin).count());
    return std::clamp(milliseconds{static_cast<long long>(remaining)}, milliseconds{0}, settings.max_wait);
}

auto wait_queue::add(waiter& each) -> bool
{
    if (waiters_.size() >= capacity_) return false;
    each.number = next_number_++;
    auto const before = [](waiter const* left, waiter const* right) {
        return std::tie(left->priority, left->number) < std::tie(right->priority, right->number);
    };
    waiters_.insert(std::upper_bound(waiters_.begin(), waiters_.end(), &each, before), &each);
    return true;
}

auto wait_queue::remove(waiter& each) -> void
{
    waiters_.erase(std::remove(waiters_.begin(), waiters_.end(), &each), waiters_.end());
}

} // namespace hibiscuswall
