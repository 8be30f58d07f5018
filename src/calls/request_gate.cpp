#include "hibiscuswall/calls/request_gate.hpp"

#include "gate_state.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {
namespace {

constexpr auto drain_poll_interval = milliseconds{10};

// Releases the slot when the handler ends, however it ends.
struct running_slot {
    request_gate::state& gate;
    std::uint64_t id;
    completion_sample sample{};

    running_slot(request_gate::state& owner, std::uint64_t request) : gate{owner}, id{request} {}
    ~running_slot() { gate.finish_call(id, sample); }
    running_slot(running_slot const&) = delete;
    auto operator=(running_slot const&) -> running_slot& = delete;
};

} // namespace

request_gate::state::state(process_context& shared, config_source& source, endpoint_settings endpoint_config,
                           admission_settings limits)
    : context{shared}, config{source}, endpoint{std::move(endpoint_config)}, engine{shared.client,
                                                                                    endpoint.target_address,
                                                                                    endpoint.status_timeout},
      admission{limits}, own_incarnations{shared.self.incarnation}
{
}

// ---- requests

auto request_gate::state::check_admission(forward_request const& call) -> result_code
{
    auto const now = clock::now();
    auto const view = config.current();
    if (leaving) return result_code::endpoint_draining;
    if (view == nullptr) return result_code::configuration_missing;
    if (!config.confirmed(now)) return result_code::configuration_unconfirmed;
    if (!view->in_service(context.self.name, context.self.failure_domain))
        return result_code::failure_domain_out;
    auto const is_own = is_own_incarnation(call.incarnation);
    // An entry that knows this process only from the host list sends no incarnation and could not resolve the
    // call later. The rejection reports the incarnation, and the entry retries the call.
    if (!is_own && (!call.idempotent || call.incarnation != 0)) return result_code::agent_restarted;
    if (!engine_reached) return result_code::endpoint_cold;
    if (admission_code != result_code::ok) return admission_code;
    if (is_engine() && !call.version.empty() && call.version != ordered_weights->version)
        return result_code::version_mismatch;
    if (call.deadline <= now) return result_code::deadline_exceeded;
    return result_code::ok;
}

auto request_gate::state::handle(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto self = shared_from_this();
    report_request_traffic({request.body.size(), 0});
    auto read = read_forward_request(request, clock::now(), endpoint.default_deadline);
    auto const call_id = std::string{request.headers.find("Hw-Call-Id")};
    if (!read) {
        co_await send_error(out, call_id, read.error().code, read.error().message, ran::no, milliseconds{0});
        co_return;
    }
    auto const& call = read.value();
    auto code = check_admission(call);
    if (code == result_code::ok && !call.idempotent) {
        code = registry.begin(call.call_id, clock::now());
        if (code != result_code::ok) {
            co_await respond_to_duplicate(out, call.call_id, code);
            co_return;
        }
    }
    if (code != result_code::ok) {
        co_await send_error(out, call.call_id, code, std::string{describe(code).meaning}, ran::no,
                            milliseconds{0});
        co_return;
    }
    auto const id = next_id++;
    auto decision = co_await wait_for_admission(id, call, out);
    if (decision.code == result_code::ok) {
        co_await run_admitted(id, call, request.body, out);
        co_return;
    }
    registry.record_not_run(call.call_id);
    co_await send_error(out, call.call_id, decision.code, std::string{describe(decision.code).meaning},
                        ran::no, decision.retry_after);
}

auto request_gate::state::run_admitted(std::uint64_t id, forward_request call, std::string body,
                                       http_responder& out) -> asio::awaitable<void>
{
    auto slot = running_slot{*this, id};
    // The configuration or the engine may have changed while the request was waiting.
    auto const warm = !is_engine() || co_await is_still_warm();
    auto code = check_admission(call);
    if (code == result_code::ok && !warm) code = result_code::endpoint_cold;
    if (out.disconnected()) code = result_code::cancelled;
    if (code != result_code::ok) {
        registry.record_not_run(call.call_id);
        co_await send_error(out, call.call_id, code, std::string{describe(code).meaning}, ran::no,
                            milliseconds{0});
        co_return;
    }
    if (is_engine()) call.version = ordered_weights->version;
    context.events.record("call_forwarded", {{"call_id", call.call_id}});
    auto const started = clock::now();
    auto outcome = co_await forward(call, std::move(body), out);
    slot.sample = outcome.sample;
    record_outcome(call, outcome, clock::now() - started);
    if (outcome.relayed || outcome.code == result_code::ok) co_return;
    co_await send_error(out, call.call_id, outcome.code, outcome.message, outcome.execution, milliseconds{0});
}

auto request_gate::state::record_outcome(forward_request const& call, call_outcome const& outcome,
                                         clock::duration elapsed) -> void
{
    auto const class_name = request_class_text(call.priority);
    auto const code = std::string{describe(outcome.code).name};
    context.metrics_registry.observe("endpoint_seconds", {{"class", class_name}},
                                     std::chrono::duration<double>(elapsed).count());
    context.metrics_registry.count("forwarded_total", {{"class", class_name}, {"result", code}});
    if (outcome.code == result_code::ok) return;
    if (!call.idempotent) {
        if (outcome.execution == ran::no)
            registry.record_not_run(call.call_id);
        else
            registry.record_unknown_outcome(call.call_id);
    }
    auto const execution = std::string{ran_text(outcome.execution)};
    log_event(log_level::warning, "call_failed",
              {{"call_id", call.call_id}, {"code", code}, {"ran", execution}, {"reason", outcome.message}});
    context.events.record("call_failed", {{"call_id", call.call_id}, {"code", code}, {"ran", execution}});
}

auto request_gate::state::wait_for_admission(std::uint64_t id, forward_request call, http_responder& out)
    -> asio::awaitable<admission_decision>
{
    auto const waiter = std::make_shared<waiting_call>(context.io);
    waiting_calls[id] = waiter;
    out.on_disconnect([gate = shared_from_this(), id] {
        gate->admission.withdraw(id);
        gate->apply_decisions({{id, result_code::cancelled, milliseconds{0}}});
    });
    apply_decisions(admission.submit(
        {id, call.account, weight_of(call.account), call.priority, call.deadline}, clock::now()));
    if (!waiter->decision && admission.is_rate_limited() && !resumes_waiting_calls)
        start_task(context.io.get_executor(), "rate_limit", resume_waiting_calls(),
                   &context.metrics_registry);
    if (!waiter->decision) {
        waiter->timer.expires_at(call.deadline);
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    waiting_calls.erase(id);
    if (!waiter->decision) {
        admission.withdraw(id);
        waiter->decision = admission_decision{id, result_code::deadline_exceeded, milliseconds{0}};
    }
    co_return *waiter->decision;
}

auto request_gate::state::apply_decisions(admission_controller::decisions const& decisions) -> void
{
    for (auto const& decision : decisions) {
        auto const found = waiting_calls.find(decision.id);
        if (found == waiting_calls.end() || found->second->decision) continue;
        found->second->decision = decision;
        found->second->timer.cancel();
    }
}

auto request_gate::state::finish_call(std::uint64_t id, completion_sample sample) -> void
{
    apply_decisions(admission.finish(id, sample, clock::now()));
    auto const limit_grown = admission.limit() > admission.cold_limit();
    if (limit_grown && machine.state() == endpoint_state::warming)
        transition(endpoint_event::warm_up_finished);
    if (!limit_grown && machine.state() == endpoint_state::ready) transition(endpoint_event::serving_started);
    if (leaving && admission.in_flight() == 0) transition(endpoint_event::requests_finished);
    context.metrics_registry.set("concurrency_limit", {}, admission.limit());
    context.metrics_registry.set("in_flight", {}, static_cast<double>(admission.in_flight()));
    context.metrics_registry.set("waiting", {}, static_cast<double>(admission.waiting()));
}

auto request_gate::state::weight_of(std::string const& account) const -> double
{
    auto const view = config.current();
    if (view == nullptr) return 1.0;
    auto const found = view->accounts.find(account);
    return found == view->accounts.end() ? 1.0 : found->second.weight;
}

// ---- responses

auto request_gate::state::add_state_headers(http_headers& headers, std::string_view call_id) const -> void
{
    auto const view = config.current();
    headers.set("Hw-Call-Id", call_id);
    auto const in_flight = admission.in_flight() + admission.waiting();
    headers.set("Hw-In-Flight", static_cast<long long>(in_flight));
    headers.set("Hw-Limit", static_cast<long long>(admission.usable_limit()));
    headers.set("Hw-Endpoint-State", endpoint_state_text(machine.state()));
    headers.set("Hw-Weights-Version", ordered_weights ? ordered_weights->version : std::string{});
    headers.set("Hw-Engine-Instance", instance);
    headers.set("Hw-Config-Revision", static_cast<long long>(view == nullptr ? 0 : view->revision));
    headers.set("Hw-Agent-Incarnation", static_cast<long long>(context.self.incarnation));
}

auto request_gate::state::send_error(http_responder& out, std::string call_id, result_code code,
                                     std::string message, ran execution, milliseconds retry_after)
    -> asio::awaitable<void>
{
    auto const& info = describe(code);
    auto response =
        json_response(info.http_status, error_body(fail(code, std::move(message)), execution, call_id));
    add_state_headers(response.headers, call_id);
    response.headers.set("Hw-Ran", ran_text(execution));
    response.headers.set("Hw-Code", static_cast<long long>(code));
    if (retry_after.count() > 0)
        response.headers.set("Retry-After", static_cast<long long>((retry_after.count() + 999) / 1'000));
    context.metrics_registry.count("refused_total", {{"code", info.name}, {"ran", ran_text(execution)}});
    co_await out.send(std::move(response));
}

// Responds to a call id that is already recorded: with the first response if it is stored, otherwise with the
// reason why the call is not run again.
auto request_gate::state::respond_to_duplicate(http_responder& out, std::string call_id, result_code code)
    -> asio::awaitable<void>
{
    auto const known = registry.find(call_id);
    if (known && known->response) {
        auto response = http_response{known->response->status, {}, known->response->body};
        response.headers.set("Content-Type", known->response->content_type);
        add_state_headers(response.headers, call_id);
        response.headers.set("Hw-Ran", ran_text(ran::yes));
        response.headers.set("Hw-Code", 0LL);
        co_await out.send(std::move(response));
        co_return;
    }
    co_await send_error(out, call_id, code, std::string{describe(code).meaning}, describe(code).outcome,
                        milliseconds{0});
}

// ---- lifecycle

auto request_gate::state::transition(endpoint_event event) -> void
{
    auto const previous = machine.state();
    if (!machine.apply(event) || machine.state() == previous) return;
    auto const from = std::string{endpoint_state_text(previous)};
    auto const to = std::string{endpoint_state_text(machine.state())};
    context.events.record("endpoint_state", {{"from", from}, {"to", to}});
    log_event(log_level::info, "endpoint_state",
              {{"from", from}, {"to", to}, {"limit", std::to_string(admission.limit())}});
}

auto request_gate::state::reject_waiting_calls(result_code reason) -> void
{
    apply_decisions(admission.reject_waiting(reason));
}

auto request_gate::state::configuration_changed(config_view const& view) -> void
{
    auto const service = view.services.find(endpoint.service);
    if (service != view.services.end()) apply_decisions(admission.configure(service->second, clock::now()));

    auto const in_service = view.in_service(context.self.name, context.self.failure_domain);
    if (in_service == was_in_service) return;
    was_in_service = in_service;
    context.events.record(in_service ? "in_service" : "out_of_service",
                          {{"revision", std::to_string(view.revision)}});
    log_event(log_level::info, in_service ? "in_service" : "out_of_service",
              {{"revision", std::to_string(view.revision)}});
    if (!in_service) {
        reject_waiting_calls(result_code::failure_domain_out);
        return;
    }
    // The engine's caches may have been emptied while it was out of service, so the load must grow with the
    // limit.
    admission.reset_to_cold();
    if (machine.state() == endpoint_state::ready) transition(endpoint_event::serving_started);
}

auto request_gate::state::add_routes() -> void
{
    context.control.add("POST", "/forward",
                        [gate = shared_from_this()](http_request const& request, http_responder& out) {
                            return gate->handle(request, out);
                        });
    context.rpc.add("call.resolve", [gate = shared_from_this()](nlohmann::json const& params) {
        return gate->resolve(params);
    });
    context.rpc.add("endpoint.status",
                    [gate = shared_from_this()](nlohmann::json const& /*params*/) -> result<nlohmann::json> {
                        return gate->status();
                    });
}

// ---- public interface

request_gate::request_gate(process_context& context, config_source& config, endpoint_settings endpoint,
                           admission_settings admission)
    : state_{std::make_shared<state>(context, config, std::move(endpoint), admission)}
{
    state_->add_routes();
}

request_gate::~request_gate() = default;

auto request_gate::start() -> void
{
    state_->config.subscribe([gate = state_](config_view const& view) { gate->configuration_changed(view); });
    if (auto const view = state_->config.current()) state_->configuration_changed(*view);
    if (state_->is_engine()) {
        asio::co_spawn(state_->context.io, state_->watch_engine(), asio::detached);
        return;
    }
    state_->admission_code = result_code::ok;
    state_->transition(endpoint_event::serving_started);
}

auto request_gate::on_request_traffic(std::function<void(request_traffic const&)> callback) -> void
{
    state_->request_traffic_callback = std::move(callback);
}

auto request_gate::begin_leaving() -> void
{
    if (state_->leaving) return;
    state_->leaving = true;
    state_->context.events.record("leaving", {});
    state_->transition(endpoint_event::stop_requested);
    state_->reject_waiting_calls(result_code::endpoint_draining);
    if (state_->admission.in_flight() == 0) state_->transition(endpoint_event::requests_finished);
}

auto request_gate::in_flight() const -> std::size_t
{
    return state_->admission.in_flight() + state_->waiting_calls.size();
}

auto request_gate::drain(milliseconds timeout) -> boost::asio::awaitable<bool>
{
    auto gate = state_;
    gate->admission_code = result_code::endpoint_draining;
    gate->transition(endpoint_event::drain_started);
    gate->reject_waiting_calls(result_code::endpoint_draining);
    auto const deadline = clock::now() + timeout;
    while (gate->admission.in_flight() > 0 && clock::now() < deadline)
        co_await sleep_for(drain_poll_interval);
    co_return gate->admission.in_flight() == 0;
}

auto request_gate::serve(served_weights const& weights) -> void
{
    state_->ordered_weights = weights;
    state_->admission_code = result_code::ok;
    // The next status sets the instance. A restart before this call is detected by the digest.
    state_->instance.clear();
    state_->admission.reset_to_cold();
    state_->transition(endpoint_event::serving_started);
    state_->context.events.record("weights_served",
                                  {{"version", weights.version}, {"digest", weights.manifest_digest}});
    log_event(log_level::info, "weights_served",
              {{"model", weights.model}, {"version", weights.version}, {"digest", weights.manifest_digest}});
}

auto request_gate::close(result_code reason) -> void
{
    state_->admission_code = reason;
    state_->transition(endpoint_event::became_cold);
    state_->reject_waiting_calls(reason);
    state_->context.events.record("admission_closed", {{"code", std::string{describe(reason).name}}});
    log_event(log_level::info, "admission_closed", {{"code", std::string{describe(reason).name}}});
}

auto request_gate::serving() const -> std::optional<served_weights>
{
    auto const open = state_->admission_code == result_code::ok && !state_->leaving;
    if (!open) return std::nullopt;
    return state_->is_engine() ? state_->ordered_weights : std::optional{served_weights{}};
}

} // namespace hibiscuswall
