#include "hibiscuswall/daemon/daemon_core.hpp"

#include "platform/store_revision.hpp"

namespace hibiscuswall {

daemon_core::daemon_core(daemon_settings const& settings, std::uint64_t seed)
    : base{settings.self, seed}, store{base.context().client, settings.platform.key_value,
                                       settings.platform.timeout},
      host_list{base.context().client, settings.platform.host_list, settings.platform.timeout},
      members{settings.membership}, config{base.context(), store, members, settings.config},
      gossip{base.context(), members, config, host_list, settings.membership}
{
    base.context().client.connect_from(settings.connect_from);
    // A process that seldom calls the store hears of its restore by the configuration that is written again.
    config.subscribe([this](config_view const& view) {
        store.learn_era(store_revision::from_ordered(view.revision).era);
    });
}

auto daemon_core::start() -> void
{
    config.start();
    gossip.start();
}

} // namespace hibiscuswall
