#pragma once
// Handles callers' requests at an entry: POST /v1/completions and any method on
// /v1/services/{service}/{path}.
//
//   auto handler = call_handler{context, config, members, store, settings, callers};
//   handler.start();
//   while (handler.in_flight() > 0) co_await sleep_for(milliseconds{20});       // graceful stop
//
// Every response has X-Call-Id; an error response also has X-Ran and the error body of docs/calls.md.

#include "hibiscuswall/calls/call_settings.hpp"
#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/membership/member_source.hpp"
#include "platform/key_value_client.hpp"

#include <memory>

namespace hibiscuswall {

class call_handler {
public:
    call_handler(process_context& context, config_source& config, member_source& members,
                 key_value_client& store, call_settings settings, http_router& callers);
    ~call_handler();
    call_handler(call_handler const&) = delete;
    auto operator=(call_handler const&) -> call_handler& = delete;

    auto start() -> void;
    // Calls in progress and claims that are still being finished.
    [[nodiscard]] auto in_flight() const -> std::size_t;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace hibiscuswall
