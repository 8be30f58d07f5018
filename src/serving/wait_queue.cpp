#include "hibiscuswall/serving/wait_queue.hpp"

namespace hibiscuswall {

auto wait_limit(call_route const& route, service_entry const& service, int prompt_tokens,
                waiting_settings const& settings) -> milliseconds
{
    auto const target = static_cast<double>(route.target_latency.count());
    if (!service.engine)
        return std::min(settings.longest,
                        milliseconds{static_cast<long long>(target * settings.plain_share)});
    auto const reading = prompt_tokens / std::max(0.001, service.engine->prompt_tokens_per_ms);
    auto const left =
        target - reading - static_cast<double>((settings.engine_overhead + settings.margin).count());
    return std::clamp(milliseconds{static_cast<long long>(left)}, milliseconds{0}, settings.longest);
}

auto waiting_room::add(waiter& each) -> bool
{
    if (waiters_.size() >= most_) return false;
    each.number = next_number_++;
    auto const before = [](waiter const* left, waiter const* right) {
        return std::tie(left->priority, left->number) < std::tie(right->priority, right->number);
    };
    waiters_.insert(std::upper_bound(waiters_.begin(), waiters_.end(), &each, before), &each);
    return true;
}

auto waiting_room::remove(waiter& each) -> void
{
    waiters_.erase(std::remove(waiters_.begin(), waiters_.end(), &each), waiters_.end());
}

} // namespace hibiscuswall
