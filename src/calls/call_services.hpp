#pragma once
// State shared by all calls of an entry. It lives until the last call has ended.

#include "hibiscuswall/calls/call_handler.hpp"
#include "hibiscuswall/routing/endpoint_router.hpp"
#include "hibiscuswall/routing/retry_budget.hpp"

namespace hibiscuswall {

struct call_handler::state : std::enable_shared_from_this<state> {
    process_context& context;
    config_source& config;
    member_source& members;
    call_settings settings;
    endpoint_router router;
    retry_budget budget;
    claim_store claims;
    std::size_t in_flight = 0;

    state(process_context& process, config_source& configuration, member_source& table,
          key_value_client& store, call_settings call_config)
        : context{process}, config{configuration}, members{table}, settings{call_config},
          router{process.self, call_config.routing}, budget{call_config.routing.retry_reserve},
          claims{store, call_config.claims, process.metrics_registry, process.random}
    {
    }

    // ---- endpoint_probe.cpp
    auto probe_loop() -> asio::awaitable<void>;
    auto probe(member host) -> asio::awaitable<void>;

    // ---- call_handler.cpp
    auto handle(http_request const& request, http_responder& out) -> asio::awaitable<void>;

    // Records in the claim store how a claimed call ended. The caller does not wait for it.
    auto finish_claim(std::string key, std::string call_id, claim_state final_state,
                      std::optional<claim_response> response) -> asio::awaitable<void>;
};

using call_services = call_handler::state;

} // namespace hibiscuswall
