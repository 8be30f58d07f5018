#include "hibiscuswall/admission/admission_controller.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscuswall {
namespace {

constexpr auto min_retry_after = milliseconds{50};
constexpr auto max_retry_after = milliseconds{10'000};
constexpr auto min_time_to_run = milliseconds{50}; // of a request that waits for the rate limit
constexpr auto smoothing = 8; // the moving average gives each new latency a weight of 1/smoothing

auto fraction_of(int total, double fraction) -> std::size_t
{
    // At least one: otherwise the lower classes would never run at a cold limit of one.
    return static_cast<std::size_t>(std::max(1.0, std::floor(total * fraction)));
}

auto bounds_for(admission_settings const& settings, int queue_limit) -> queue_bounds
{
    return {static_cast<std::size_t>(std::max(1, queue_limit)),
            fraction_of(queue_limit, settings.status_fraction),
            fraction_of(queue_limit, settings.drafting_fraction)};
}

} // namespace

admission_controller::admission_controller(admission_settings settings)
    : settings_{settings}, limit_{settings, service_resource{}.cold_limit, service_resource{}.max_limit},
      queue_{bounds_for(settings, service_resource{}.queue_limit)}
{
}

auto admission_controller::configure(service_resource const& service, time_point now) -> decisions
{
    limit_.configure(service.cold_limit, service.max_limit);
    queue_.configure(bounds_for(settings_, service.queue_limit));
    auto out = decisions{};
    start_waiting(now, out);
    return out;
}

auto admission_controller::submit(admission_request request, time_point now) -> decisions
{
    auto out = decisions{};
    if (request.deadline <= now) {
        out.push_back({request.id, result_code::deadline_exceeded, milliseconds{0}});
        return out;
    }
    auto const shed = queue_.push(std::move(request));
    for (auto const id : shed)
        out.push_back({id, result_code::queue_full, retry_after(now)});
    start_waiting(now, out);
    return out;
}

auto admission_controller::finish(std::uint64_t id, completion_sample sample, time_point now) -> decisions
{
    auto out = decisions{};
    auto const found = running_.find(id);
    if (found == running_.end()) return out;
    auto const in_flight = running_.size();
    auto const ended = found->second;
    running_.erase(found);
    --running_by_class_.at(static_cast<std::size_t>(ended.priority));
    queue_.finished(ended.account);

    if (sample.outcome == completion_outcome::succeeded) {
        limit_.succeeded(ended.priority, sample.latency, in_flight, now);
        mean_latency_ = mean_latency_.count() == 0
                            ? sample.latency
                            : mean_latency_ + (sample.latency - mean_latency_) / smoothing;
    }
    if (sample.outcome == completion_outcome::overloaded) limit_.overloaded(now);
    start_waiting(now, out);
    return out;
}

auto admission_controller::usable_limit() const -> int
{
    auto const rate_limit = rate_.limit();
    if (!rate_limit || *rate_limit >= limit()) return limit();
    return std::max(1, static_cast<int>(std::ceil(*rate_limit)));
}

auto admission_controller::withdraw(std::uint64_t id) -> void { queue_.remove(id); }

auto admission_controller::reject_waiting(result_code reason) -> decisions
{
    auto out = decisions{};
    for (auto const id : queue_.clear())
        out.push_back({id, reason, milliseconds{0}});
    return out;
}

auto admission_controller::limit_for_class(request_class priority) const -> std::size_t
{
    switch (priority) {
    case request_class::booking:
        break;
    case request_class::status:
        return fraction_of(limit(), settings_.status_fraction);
    case request_class::drafting:
        return fraction_of(limit(), settings_.drafting_fraction);
    }
    return static_cast<std::size_t>(limit());
}

// Lowest class that may start now: the total is below the limit, and the requests of this class and lower
// ones are below the limit of the class. Nothing when no class may start.
auto admission_controller::min_startable_class() const -> std::optional<request_class>
{
    if (running_.size() >= static_cast<std::size_t>(limit())) return std::nullopt;
    auto const drafting = running_by_class_[0];
    auto const status = drafting + running_by_class_[1];
    if (status >= limit_for_class(request_class::status)) return request_class::booking;
    if (drafting >= limit_for_class(request_class::drafting)) return request_class::status;
    return request_class::drafting;
}

auto admission_controller::start_waiting(time_point now, decisions& out) -> void
{
    for (auto const id : queue_.expire(now))
        out.push_back({id, result_code::deadline_exceeded, milliseconds{0}});
    while (rate_.available(now) > 0) {
        auto const min_class = min_startable_class();
        auto const next = min_class ? queue_.pop(*min_class) : std::nullopt;
        if (!next) break;
        rate_.record_start(now);
        running_[next->id] = {next->account, next->priority};
        ++running_by_class_.at(static_cast<std::size_t>(next->priority));
        out.push_back({next->id, result_code::ok, milliseconds{0}});
    }
    shed_unstartable(now, out);
}

// A request that the rate limit does not let start before its deadline is rejected at once.
auto admission_controller::shed_unstartable(time_point now, decisions& out) -> void
{
    if (!rate_.is_limited()) return;
    auto const removed = queue_.remove_unstartable(
        [&](time_point deadline) { return rate_.startable_before(deadline - min_time_to_run, now); });
    for (auto const id : removed)
        out.push_back({id, result_code::queue_full, retry_after(now)});
}

auto admission_controller::set_rate_limit(std::optional<double> calls_per_second, time_point now) -> decisions
{
    rate_.set_limit(calls_per_second, now);
    return resume(now);
}

auto admission_controller::resume(time_point now) -> decisions
{
    auto out = decisions{};
    start_waiting(now, out);
    return out;
}

// Estimated time until the requests that wait now have run.
auto admission_controller::retry_after(time_point now) const -> milliseconds
{
    auto const rounds = static_cast<double>(queue_.size() + 1) / limit();
    auto const wait = static_cast<double>(mean_latency_.count()) * rounds / 1'000.0;
    auto const rate_wait = rate_.startable_at(static_cast<int>(queue_.size()) + 1, now) - now;
    auto const longer = std::max(milliseconds{static_cast<long long>(wait)},
                                 std::chrono::duration_cast<milliseconds>(rate_wait));
    return std::clamp(longer, min_retry_after, max_retry_after);
}

} // namespace hibiscuswall
