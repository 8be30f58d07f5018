#include "hibiscuswall/serving/call_relay.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto watch_period = milliseconds{50};     // between looks at silent endpoints
constexpr auto sweep_period = seconds{1};           // between looks at kept connections
constexpr auto default_time = milliseconds{60'000}; // of a caller that states none

template<class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

auto ms_text(clock::duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

// Retry-After takes seconds; callers accept fractions.
auto seconds_text(milliseconds span) -> std::string
{
    auto const thousandths = std::to_string(1000 + span.count() % 1000).substr(1);
    return std::to_string(span.count() / 1000) + "." + thousandths;
}

auto reason_text(refusal_reason reason) -> std::string_view
{
    switch (reason) {
    case refusal_reason::no_endpoint:
        return "no usable endpoint";
    case refusal_reason::all_full:
        return "every endpoint is full";
    case refusal_reason::shed:
        return "turned away: more calls than the endpoints carry";
    }
    return "unknown";
}

auto status_of(result_code code) -> int { return describe(code).http_status; }

} // namespace

call_relay::call_relay(asio::io_context& io, declared_state& declared, endpoint_table& endpoints,
                       random_source& random, metrics& metrics_registry, std::string region,
                       relay_settings const& settings)
    : io_{io}, region_{std::move(region)}, declared_state_{declared}, endpoints_{endpoints}, random_{random},
      metrics_registry_{metrics_registry}, settings_{settings}, pool_{io}, room_{settings_.waiting.most}
{
}

auto call_relay::serve(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto call = relayed_call{request, out};
    call.arrived = request.received;
    call.read = clock::now();
    call.fields = platform::decode_call_headers(request.headers);
    call.deadline = call.arrived + call.fields.remaining_time.value_or(default_time);
    if (auto found = look_up(call); !found) {
        auto const missing = found.error().code == result_code::configuration_missing;
        co_return co_await refuse(call, found.error(), missing ? milliseconds{500} : milliseconds{0});
    }
    call.deadline = std::min(call.deadline, call.arrived + call.route->timeout);
    budget_of(call.service->name).on_call(call.read);
    set_shed(call);
    active_.insert(&call);
    out.on_disconnect([&call] {
        call.caller_gone = true;
        if (call.link != nullptr) call.link->close();
        if (call.woken != nullptr) call.woken->cancel();
    });
    co_await run(call);
    out.on_disconnect([] {});
    active_.erase(&call);
}

// Route, account and service under the newest configuration. A call that waits is looked up again, so that
// none is handled by an older configuration once a newer one was used.
auto call_relay::look_up(relayed_call& call) -> result<void>
{
    call.map = declared_state_.map();
    if (call.map == nullptr) return fail(result_code::configuration_missing, "no configuration yet");
    call.route = call.map->route(call.request.headers.find("Host"), call.request.path());
    if (call.route == nullptr) return fail(result_code::unknown_service, "no route for this host and path");
    call.account = nullptr;
    if (call.route->requires_key && call.map->has_accounts()) {
        call.account = call.map->account_of_key(call.fields.key);
        if (call.account == nullptr) return fail(result_code::unknown_account, "no account holds this key");
    }
    return choose_service(call);
}

auto call_relay::choose_service(relayed_call& call) -> result<void>
{
    auto const& parts = call.route->services;
    auto sum = 0.0;
    for (auto const& part : parts)
        sum += part.weight;
    auto left = random_.fraction() * sum;
    auto const* chosen = &parts.back();
    for (auto const& part : parts) {
        if (part.weight > left) {
            chosen = &part;
            break;
        }
        left -= part.weight;
    }
    call.service = call.map->service(chosen->name);
    if (call.service == nullptr)
        return fail(result_code::no_endpoint, "service " + chosen->name + " is unknown");
    return success();
}

auto call_relay::next_endpoint(relayed_call& call) -> placement
{
    auto wanted = placement_call{};
    wanted.service = call.service->name;
    wanted.entry = call.service;
    wanted.route_regions = call.route->regions;
    if (call.account != nullptr) wanted.account_regions = call.account->regions;
    wanted.tried = &call.tried;
    auto const now = clock::now();
    wanted.prompt_tokens = call.fields.prompt_tokens;
    wanted.region = region_;
    if (call.service->engine)
        wanted.min_version = declared_state_.min_version(call.service->engine->model, now);
    auto const candidates = endpoints_.of_service(call.service->name);
    return place(wanted, candidates, declared_state_.out_of_service(), settings_.placement, now, random_);
}

auto call_relay::run(relayed_call& call) -> asio::awaitable<void>
{
    while (!call.caller_gone) {
        if (clock::now() >= call.deadline)
            co_return co_await give_up(call, result_code::deadline_exceeded, "deadline", milliseconds{0});
        if (declared_state_.map() != call.map) {
            if (auto found = look_up(call); !found) co_return co_await end_unroutable(call, found.error());
        }
        auto const decision = co_await find_place(call);
        if (call.caller_gone) break;
        if (auto const* refusal = std::get_if<refused>(&decision)) {
            auto const reason = reason_text(refusal->reason);
            co_return co_await give_up(call, result_code::no_endpoint,
                                       std::string{reason} + ", usable=" + std::to_string(refusal->usable),
                                       refusal->retry_after);
        }
        if (call.endpoint == nullptr) take_place(call, std::get<placed>(decision).endpoint);
        if (call.arrivals > 0 && !budget_of(call.service->name).try_spend(clock::now())) {
            release_place(call);
            co_return co_await give_up(call, result_code::retry_budget_exhausted, "repeats used up",
                                       settings_.placement.longest_return);
        }
        auto const endpoint = call.endpoint;
        auto outcome = co_await send(call);
        release_place(call);
        call.tried.insert(endpoint->record.id);
        if (call.caller_gone) break;
        note_send(call, *endpoint, outcome);
        if (co_await settle(call, std::move(outcome))) co_return;
    }
    release_place(call);
    note_end(call, "caller_left", 0, "");
}

// What the send tells of the endpoint.
auto call_relay::note_send(relayed_call const& call, tracked_endpoint& endpoint, send_outcome const& outcome)
    -> void
{
    auto reason = std::string_view{};
    auto const visitor = overloaded{[&](send_unsent const& each) { reason = each.reason; },
                                    [&](send_failed const& each) { reason = each.reason; },
                                    [&](send_interrupted const& each) { reason = each.reason; },
                                    [](send_refused const&) {},
                                    [&](send_answered const&) { endpoint_table::succeeded(endpoint); },
                                    [&](send_streamed const&) { endpoint_table::succeeded(endpoint); }};
    std::visit(visitor, outcome);
    if (reason.empty() || call.moved) return;
    endpoint_table::failed(endpoint, clock::now());
    log_event(log_level::warning, "send_failed",
              {{"call", call.fields.call_id},
               {"endpoint", endpoint.record.id},
               {"reason", std::string{reason}},
               {"failures_in_row", std::to_string(endpoint.failures_in_row)},
               {"after_ms", ms_text(clock::now() - call.sent_at)}});
}

// The configuration changed between two sends and covers the call no more.
auto call_relay::end_unroutable(relayed_call& call, error why) -> asio::awaitable<void>
{
    if (call.runs == 0 && !call.answering) co_return co_await refuse(call, std::move(why), milliseconds{0});
    co_await give_up(call, result_code::outcome_unknown, why.message, milliseconds{0});
}

// Whether the call is over.
auto call_relay::settle(relayed_call& call, send_outcome outcome) -> asio::awaitable<bool>
{
    if (auto* answer = std::get_if<send_answered>(&outcome))
        co_return co_await settle_answer(call, std::move(*answer));
    if (std::holds_alternative<send_streamed>(outcome)) {
        ++call.runs;
        note_end(call, "streamed", 200, "");
        co_return true;
    }
    if (std::holds_alternative<send_unsent>(outcome)) co_return false;
    if (auto const* refusal = std::get_if<send_refused>(&outcome)) {
        metrics_registry_.count("sends_refused");
        if (call.arrivals < settings_.most_refused_sends) co_return false;
        co_await give_up(call, result_code::endpoint_overloaded,
                         "endpoints refuse: " + std::to_string(refusal->status),
                         settings_.placement.shortest_return);
        co_return true;
    }
    ++call.runs;
    if (call.may_run_again()) co_return false;
    auto reason = std::string{};
    if (auto const* bad = std::get_if<send_failed>(&outcome)) reason = bad->reason;
    if (auto const* cut = std::get_if<send_interrupted>(&outcome)) reason = cut->reason;
    co_await give_up(call, reason == "late" ? result_code::outcome_unknown : result_code::answer_cut, reason,
                     milliseconds{0});
    co_return true;
}

auto call_relay::settle_answer(relayed_call& call, send_answered answer) -> asio::awaitable<bool>
{
    ++call.runs;
    if (answer.status >= 500 && call.may_run_again() && !call.answering) {
        call.spare = std::move(answer);
        co_return false;
    }
    if (call.answering) {
        // A resumed stream was answered with a failure: what the caller has cannot be completed.
        co_await give_up(call, result_code::stream_interrupted, "resume failed", milliseconds{0});
        co_return true;
    }
    co_await deliver(call, std::move(answer));
    co_return true;
}

auto call_relay::deliver(relayed_call& call, send_answered answer) -> asio::awaitable<void>
{
    auto const status = answer.status;
    auto response = http_response{status, std::move(answer.headers), std::move(answer.body)};
    note_end(call, "answered", status, "");
    co_await call.out.send(std::move(response));
}

auto call_relay::refuse(relayed_call& call, error why, milliseconds retry_after) -> asio::awaitable<void>
{
    auto response = error_response(why);
    if (retry_after.count() > 0) response.headers.set("Retry-After", seconds_text(retry_after));
    note_end(call, "refused", response.status, why.message);
    co_await call.out.send(std::move(response));
}

// No further send: the caller gets the truest answer that is left.
auto call_relay::give_up(relayed_call& call, result_code code, std::string reason, milliseconds retry_after)
    -> asio::awaitable<void>
{
    if (call.answering) {
        note_end(call, "interrupted", status_of(result_code::stream_interrupted), reason);
        call.out.abort();
        co_return;
    }
    if (call.spare) co_return co_await deliver(call, std::move(*call.spare));
    if (call.runs == 0) {
        auto const refusal = code == result_code::deadline_exceeded ? result_code::no_endpoint : code;
        co_return co_await refuse(call, fail(refusal, std::move(reason)), retry_after);
    }
    auto const failure = code == result_code::answer_cut ? code : result_code::outcome_unknown;
    auto response = error_response(fail(failure, reason));
    note_end(call, "failed", response.status, reason);
    co_await call.out.send(std::move(response));
}

auto call_relay::budget_of(std::string const& service) -> window_retry_budget&
{
    return budgets_.try_emplace(service, settings_.retry_limits).first->second;
}

// A stream is moved only where another engine has room for it now.
auto call_relay::may_move(relayed_call& call, time_point now) -> bool
{
    if (call.moved || !is_to_move(call, settings_.silence, now)) return false;
    auto const decision = next_endpoint(call);
    return std::holds_alternative<placed>(decision);
}

auto call_relay::run_maintenance() -> asio::awaitable<void>
{
    auto swept_at = clock::now();
    while (true) {
        co_await sleep_for(watch_period);
        auto const now = clock::now();
        for (auto* call : active_) {
            if (is_silent(*call, settings_.silence, now)) {
                call->abandoned = true;
                call->link->close();
            }
            if (may_move(*call, now)) {
                call->moved = true;
                call->link->close();
            }
        }
        serve_waiting();
        step_shedders(now);
        endpoints_.remove_lapsed(now);
        if (now - swept_at < sweep_period) continue;
        swept_at = now;
        pool_.sweep(now);
        endpoints_.deal_out();
    }
}

auto call_relay::note_end(relayed_call const& call, std::string_view outcome, int status,
                          std::string_view reason) -> void
{
    auto const now = clock::now();
    auto const took = std::chrono::duration<double>(now - call.arrived).count();
    auto const service = call.service == nullptr ? std::string_view{"none"} : call.service->name;
    metrics_registry_.count("calls", {{"service", service}, {"outcome", outcome}});
    metrics_registry_.observe("call_seconds", {{"service", service}}, took);
    auto const streaming = call.first_event_at != time_point{};
    if (streaming)
        metrics_registry_.observe("first_event_seconds", {{"service", service}},
                                  std::chrono::duration<double>(call.first_event_at - call.arrived).count());
    log_event(log_level::info, "call_ended",
              {{"call", call.fields.call_id},
               {"route", call.route == nullptr ? "none" : call.route->name},
               {"account", call.account == nullptr ? "none" : call.account->name},
               {"outcome", std::string{outcome}},
               {"status", std::to_string(status)},
               {"reason", reason.empty() ? "none" : std::string{reason}},
               {"shed", call.shed ? "1" : "0"},
               {"waited_ms", std::to_string(call.waited.count())},
               {"sends", std::to_string(call.arrivals)},
               {"runs", std::to_string(call.runs)},
               {"endpoints", std::to_string(call.tried.size())},
               {"last_endpoint", call.tried.empty() ? "none" : *call.tried.rbegin()},
               {"first_ms", streaming ? ms_text(call.first_event_at - call.arrived) : "none"},
               {"longest_gap_ms", ms_text(call.longest_gap)},
               {"unread_ms", ms_text(call.read - call.arrived)},
               {"total_ms", ms_text(now - call.arrived)},
               {"config_version", call.map == nullptr ? "none" : std::to_string(call.map->version())}});
}

} // namespace hibiscuswall
