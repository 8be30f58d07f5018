#pragma once
// The modules that every daemon has: platform clients, member table, configuration and gossip.
//
//   auto core = daemon_core{settings, seed};
//   core.start();
//   return core.base.run();

#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/daemon/daemon_base.hpp"
#include "hibiscuswall/daemon/daemon_settings.hpp"
#include "hibiscuswall/membership/gossip_service.hpp"
#include "hibiscuswall/membership/member_table.hpp"
#include "hibiscuswall/platform/host_list_client.hpp"
#include "platform/key_value_client.hpp"

namespace hibiscuswall {

// In the order in which they depend on each other.
struct daemon_core {
    daemon_base base;
    key_value_client store;
    host_list_client host_list;
    member_table members;
    config_service config;
    gossip_service gossip;

    daemon_core(daemon_settings const& settings, std::uint64_t seed);

    auto start() -> void;
};

} // namespace hibiscuswall
