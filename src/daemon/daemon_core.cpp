#include "hibiscuswall/daemon/daemon_core.hpp"

namespace hibiscuswall {

daemon_core::daemon_core(daemon_settings const& settings, std::uint64_t seed)
    : base{settings.self, seed}, store{base.context().client, settings.platform.key_value,
                                       settings.platform.timeout},
      host_list{base.context().client, settings.platform.host_list, settings.platform.timeout},
      members{settings.membership}, config{base.context(), store, members, settings.config},
      gossip{base.context(), members, config, host_list, settings.membership}
{
    base.context().client.connect_from(settings.connect_from);
}

auto daemon_core::start() -> void
{
    config.start();
    gossip.start();
}

} // namespace hibiscuswall
