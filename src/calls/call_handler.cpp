#include "hibiscuswall/calls/call_handler.hpp"

#include "call_run.hpp"

#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace hibiscuswall {
namespace {

auto early_rejection(error const& problem, std::string const& call_id) -> http_response
{
    auto const& info = describe(problem.code);
    auto response = json_response(info.http_status, error_body(problem, ran::no, call_id));
    response.headers.set("X-Call-Id", call_id);
    response.headers.set("X-Ran", "no");
    if (info.http_status == 503) response.headers.set("Retry-After", 1LL);
    return response;
}

// ---- plain functions, since GCC 12 destroys the temporaries of a braced list inside a coroutine twice

auto count_early_rejection(process_context& context, error const& problem) -> void
{
    context.metrics_registry.count("calls_total", {{"result", describe(problem.code).name}, {"ran", "no"}});
}

auto observe_duration(process_context& context, request_class priority, time_point started) -> void
{
    auto const took = std::chrono::duration<double>(clock::now() - started).count();
    context.metrics_registry.observe("call_seconds", {{"class", request_class_text(priority)}}, took);
}

auto log_unfinished_claim(std::string const& call_id, error const& problem) -> void
{
    log_event(log_level::warning, "claim_not_finished", {{"call_id", call_id}, {"reason", problem.message}});
}

} // namespace

auto call_handler::state::handle(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto self = shared_from_this();
    auto const started = clock::now();
    auto const id = context.random.id();
    auto view = config.current();
    if (view == nullptr) {
        auto missing = fail(result_code::configuration_missing,
                            "this entry has not received a configuration yet; the call was not run");
        auto rejection = early_rejection(missing, id);
        co_await out.send(std::move(rejection));
        co_return;
    }
    auto read = read_caller_call(request, *view, settings, started);
    if (!read) {
        count_early_rejection(context, read.error());
        auto rejection = early_rejection(read.error(), id);
        co_await out.send(std::move(rejection));
        co_return;
    }
    auto call = std::move(read).value();
    call.id = id;
    auto const priority = call.priority;
    budget.on_request(view->policy.retry_budget_ratio);
    ++in_flight;
    try {
        auto run = call_run{self, std::move(call), out};
        co_await run.run();
    } catch (...) {
        --in_flight;
        throw;
    }
    --in_flight;
    observe_duration(context, priority, started);
}

auto call_handler::state::finish_claim(std::string key, std::string call_id, claim_state final_state,
                                       std::optional<claim_response> response) -> asio::awaitable<void>
{
    auto self = shared_from_this();
    ++in_flight; // A graceful stop waits for it.
    auto stored = co_await claims.finish(std::move(key), call_id, final_state, std::move(response));
    --in_flight;
    if (!stored) log_unfinished_claim(call_id, stored.error());
}

call_handler::call_handler(process_context& context, config_source& config, member_source& members,
                           key_value_client& store, call_settings settings, http_router& callers)
    : state_{std::make_shared<state>(context, config, members, store, settings)}
{
    auto const handler = [shared = state_](http_request const& request,
                                           http_responder& out) -> asio::awaitable<void> {
        return shared->handle(request, out);
    };
    callers.add("POST", "/v1/completions", handler);
    callers.add("*", "/v1/services/", handler);
}

call_handler::~call_handler() = default;

auto call_handler::start() -> void
{
    auto const refresh = [shared = state_] {
        auto const all = shared->members.members();
        shared->router.update(all);
    };
    state_->members.subscribe([refresh](member const& /*changed*/) { refresh(); });
    refresh();
    asio::co_spawn(state_->context.io, state_->probe_loop(), asio::detached);
    start_loop(
        state_->context.io.get_executor(), "claims",
        [shared = state_] { return shared->claims.run_rewrites(); }, &state_->context.metrics_registry);
}

auto call_handler::in_flight() const -> std::size_t { return state_->in_flight; }

} // namespace hibiscuswall
