#pragma once
// What all calls of an entry share; lives until the last call has ended.

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
          key_value_client& store, call_settings given)
        : context{process}, config{configuration}, members{table}, settings{given}, router{process.self,
                                                                                           given.routing},
          budget{given.routing.retry_reserve}, claims{store, given.claims, process.metrics_registry,
                                                      process.random}
    {
    }

    // ---- endpoint_probe.cpp
    auto probe_loop() -> asio::awaitable<void>;
    auto probe(member host) -> asio::awaitable<void>;

    // ---- call_handler.cpp
    auto handle(http_request const& request, http_responder& out) -> asio::awaitable<void>;

    // Stores how a claimed call ended, after the caller has its answer.
    auto finish_claim(std::string key, std::string call_id, claim_state end,
                      std::optional<claim_answer> answer) -> asio::awaitable<void>;
};

using call_services = call_handler::state;

} // namespace hibiscuswall
