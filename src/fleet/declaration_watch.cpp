#include "hibiscuswall/fleet/declaration_watch.hpp"

#include "platform/operator_documents.hpp"

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
                                     pause_detector const& pauses)
    : declared_state_{declared}, watcher_{store, random, std::string{platform::weights_prefix},
                                          settings(pauses), callbacks()}
{
}

auto declaration_watch::callbacks() -> prefix_watcher_callbacks
{
    return {[this](store_range const& found, bool /*store_was_unavailable*/) {
                declared_state_.replace(platform::weights_prefix, found.items, found.revision, clock::now(),
                                        watcher_.changed_since());
            },
            [this](store_change const& change, bool /*store_was_unavailable*/) {
                declared_state_.apply_alone(change, clock::now(), watcher_.changed_since());
            }};
}

} // namespace hibiscuswall
