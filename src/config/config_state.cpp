#include "hibiscuswall/config/config_state.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto max_history =
    std::size_t{16}; // documents; each holds copies of its objects, which are small texts

} // namespace

auto config_state::adopt(config_document document, time_point confirmed_at) -> bool
{
    if (document_ && document.revision <= document_->revision) {
        confirm(document.revision, confirmed_at);
        return false;
    }
    if (document_) {
        history_.push_front(document_);
        if (history_.size() > max_history) history_.pop_back();
    }
    skipped_.clear();
    view_ = std::make_shared<config_view const>(document.view(skipped_));
    document_ = std::make_shared<config_document const>(std::move(document));
    confirmed_at_ = confirmed_at;
    return true;
}

auto config_state::confirm(std::uint64_t revision, time_point at) -> void
{
    if (document_ && revision == document_->revision) confirmed_at_ = std::max(confirmed_at_, at);
}

auto config_state::tick(time_point now) -> bool
{
    auto const gap = last_tick_ && now - *last_tick_ > pause_threshold_;
    last_tick_ = now;
    if (gap) paused_since_ = now;
    return gap;
}

auto config_state::end_pause(time_point requested_at) -> void
{
    if (paused_since_ && requested_at >= *paused_since_) paused_since_.reset();
}

auto config_state::paused(time_point now) const -> bool
{
    // The second condition covers requests that are handled before the first tick after a pause.
    return paused_since_ || (last_tick_ && now - *last_tick_ > pause_threshold_);
}

auto config_state::confirmed(time_point now) const -> bool
{
    if (!view_ || paused(now)) return false;
    auto const limit = view_->policy.max_unconfirmed;
    return limit.count() == 0 || now - confirmed_at_ <= limit;
}

auto config_state::confirmed_age(time_point now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(now - confirmed_at_);
}

auto config_state::recent(std::uint64_t revision) const -> config_document_ptr
{
    if (document_ && document_->revision == revision) return document_;
    auto const found = std::find_if(history_.begin(), history_.end(),
                                    [&](auto const& old) { return old->revision == revision; });
    return found == history_.end() ? nullptr : *found;
}

} // namespace hibiscuswall
