#include "hibiscuswall/fleet/declaration_watch.hpp"

#include "platform/operator_documents.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

// Of one watch call. Declarations are rare, and peers tell a process whose watch went silent that there is a
// newer one.
constexpr auto wait = milliseconds{15'000};

auto settings(pause_detector const& pauses) -> prefix_watcher_settings
{
    auto watch = prefix_watcher_settings{};
    watch.wait = wait;
    watch.pauses = &pauses;
    return watch;
}

} // namespace

declaration_watch::declaration_watch(key_value_client& store, random_source& random, declared_state& declared,
                                     pause_detector const& pauses, prefix_watcher const* all_keys)
    : declared_state_{declared}, all_keys_{all_keys}, watcher_{store, random,
                                                               std::string{platform::weights_prefix},
                                                               settings(pauses), callbacks()}
{
}

auto declaration_watch::complete_until() const -> time_point
{
    auto const by_all_keys = all_keys_ == nullptr ? time_point{} : all_keys_->complete_until();
    return std::max(watcher_.complete_until(), by_all_keys);
}

// The other watch may have confirmed more lately that there was no declaration.
auto declaration_watch::changed_since() const -> time_point
{
    auto const by_all_keys = all_keys_ == nullptr ? time_point{} : all_keys_->complete_until();
    return std::max(watcher_.changed_since(), by_all_keys);
}

auto declaration_watch::callbacks() -> prefix_watcher_callbacks
{
    return {[this](store_range const& found, bool /*store_was_unavailable*/) {
                auto const now = clock::now();
                declared_state_.replace(platform::weights_prefix, found.items, found.revision, now,
                                        changed_since(), watcher_.absent(now));
            },
            [this](store_change const& change, bool /*store_was_unavailable*/) {
                declared_state_.apply_alone(change, clock::now(), changed_since());
            }};
}

} // namespace hibiscuswall
