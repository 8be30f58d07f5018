#include "hibiscuswall/serving/trial_ranks.hpp"

#include "hibiscuswall/core/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace hibiscuswall {
namespace {

constexpr auto max_known_ranks = std::size_t{1024};

} // namespace

trial_ranks::trial_ranks(std::string self) : self_{std::move(self)} {}

auto trial_ranks::set_entries(std::vector<std::string> names) -> void
{
    if (names == names_) return;
    names_ = std::move(names);
    known_.clear();
}

auto trial_ranks::rank(std::string_view model, std::string_view segment) const -> int
{
    auto key = std::string{model};
    key += '/';
    key += segment;
    if (auto const found = known_.find(key); found != known_.end()) return found->second;
    if (known_.size() >= max_known_ranks) known_.clear();
    auto const rank = computed_rank(key);
    known_.emplace(std::move(key), rank);
    return rank;
}

auto trial_ranks::computed_rank(std::string_view key) const -> int
{
    auto const ranked = rendezvous_rank(key, names_);
    auto const self = std::find(ranked.begin(), ranked.end(), self_);
    return static_cast<int>(self - ranked.begin());
}

} // namespace hibiscuswall
