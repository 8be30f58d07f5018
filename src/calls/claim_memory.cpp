#include "hibiscuswall/calls/claim_memory.hpp"

namespace hibiscuswall {
namespace {

constexpr auto kept_time = seconds{60}; // longer than the age of a copy from which a store is restored
constexpr auto max_kept = std::size_t{4'096};

} // namespace

auto claim_memory::on_written(std::string const& key, claim const& value, time_point now) -> void
{
    written_[key] = {value, now};
    order_.emplace_back(now, key);
    forget_old(now);
}

auto claim_memory::forget_old(time_point now) -> void
{
    while (!order_.empty() && (now - order_.front().first > kept_time || order_.size() > max_kept)) {
        auto const found = written_.find(order_.front().second);
        if (found != written_.end() && found->second.written_at == order_.front().first)
            written_.erase(found);
        order_.pop_front();
    }
}

auto claim_memory::on_era(std::uint64_t era, time_point now) -> void
{
    if (restores_.on_era(era, now)) is_taken_ = false;
}

auto claim_memory::take_lost(time_point now) -> std::vector<kept_claim>
{
    auto lost = std::vector<kept_claim>{};
    if (std::exchange(is_taken_, true)) return lost;
    forget_old(now);
    for (auto const& [key, written] : written_)
        lost.push_back({key, written.value});
    return lost;
}

} // namespace hibiscuswall
