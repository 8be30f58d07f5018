#pragma once
// One process of the system inside the test: context, listener, member table, configuration and gossip on the
// test's io_context.
//
//   auto one = test_process{io, "entry-1", member_role::entry, "gor-a", store.where};
//   one.knows(two);  one.config.start();
#include "hibiscuswall/api/resource_api.hpp"
#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/http/http_server.hpp"
#include "hibiscuswall/membership/gossip_service.hpp"
#include "support/port_pool.hpp"

namespace hibiscuswall {

struct test_process {
    test_process(asio::io_context& io, std::string name, member_role role, std::string domain, address store,
                 config_settings settings = {}, membership_settings membership = {})
        : events{name, 256}, client{io, &events},
          context{io, identity(name, role, domain), client, rpc, control, events, metrics_registry, random},
          kv{client, {store}, milliseconds{500}}, table{membership}, config{context, kv, table, settings},
          hosts{client, store, milliseconds{100}}, gossip{context, table, config, hosts, membership},
          api{context, config, table}, server{io, control, &events, {}}
    {
        rpc.serve(control);
        control.add("GET", "/timeline",
                    [this](http_request const&, http_responder& out) -> asio::awaitable<void> {
                        co_await out.send(json_response(200, events.json()));
                    });
        if (!server.listen(context.self.control_address)) std::abort();
    }

    static auto identity(std::string name, member_role role, std::string domain) -> member
    {
        auto self = member{};
        self.name = std::move(name);
        self.role = role;
        self.control_address = port_pool::next();
        self.region = "region-of-" + domain;
        self.failure_domain = std::move(domain);
        self.incarnation = 1000;
        return self;
    }

    auto knows(test_process const& other) -> void { table.merge(other.context.self, clock::now()); }

    timeline events;
    http_client client;
    rpc_dispatcher rpc;
    http_router control;
    metrics metrics_registry;
    random_source random{7};
    process_context context;
    key_value_client kv;
    member_table table;
    config_service config;
    host_list_client hosts;
    gossip_service gossip;
    resource_api api;
    http_server server;
};

} // namespace hibiscuswall
