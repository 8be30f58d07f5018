#include "hibiscuswall/serving/call_relay.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto maintenance_interval = milliseconds{50}; // between rounds of run_maintenance()
// Between sweeps of the connection pool, and between assignments of preferred entries.
constexpr auto expiry_interval = seconds{1};
constexpr auto max_seeking = std::size_t{1'024};       // calls at stalled endpoints that seek another one
constexpr auto default_timeout = milliseconds{60'000}; // for callers that send no timeout

template<class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};
template<class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

// Formats a Retry-After value in seconds; callers accept fractions.
auto seconds_text(milliseconds span) -> std::string
{
    auto const thousandths = std::to_string(1000 + span.count() % 1000).substr(1);
    return std::to_string(span.count() / 1000) + "." + thousandths;
}

auto reason_text(rejected const& rejection) -> std::string
{
    auto const usable = ", usable=" + std::to_string(rejection.usable);
    switch (rejection.reason) {
    case rejection_reason::no_endpoint:
        return "no usable endpoint" + usable;
    case rejection_reason::all_endpoints_full:
        return "no usable endpoint can take a call now: each is full, avoided after failures, or at its call "
               "limit" +
               usable;
    case rejection_reason::all_endpoints_back_off:
        return "each usable endpoint has asked this host to send nothing for a while" + usable;
    case rejection_reason::all_endpoints_limited:
        return "each usable endpoint takes only so many calls per second, and this entry has used its share" +
               usable + ", own_calls_per_second=" + std::to_string(rejection.limited_rate);
    case rejection_reason::shed:
        return "shed: more calls arrive than the endpoints can serve" + usable;
    }
    return "unknown";
}

auto status_of(result_code code) -> int { return describe(code).http_status; }

} // namespace

call_relay::call_relay(asio::io_context& io, declared_state& declared, endpoint_table& endpoints,
                       prompt_quarantine& quarantine, random_source& random, metrics& metrics_registry,
                       std::string region, relay_settings const& settings)
    : io_{io}, region_{std::move(region)}, declared_state_{declared}, endpoints_{endpoints},
      quarantine_{quarantine}, random_{random},
      metrics_registry_{metrics_registry}, settings_{settings}, pool_{io}, responses_{settings_.responses},
      wait_queue_{settings_.waiting.max_waiting}, replacement_queue_{max_seeking}
{
}

// Ends with the call, also if an exception ends it: nothing may refer to it afterwards.
struct call_relay::registered_call {
    call_relay& relay;
    relayed_call& call;

    registered_call(call_relay& owner, relayed_call& each) : relay{owner}, call{each}
    {
        relay.active_.insert(&call);
    }
    registered_call(registered_call const&) = delete;
    auto operator=(registered_call const&) -> registered_call& = delete;
    ~registered_call()
    {
        call.out.on_disconnect([] {});
        relay.end_trial(call);
        relay.stop_takeover(call, "the call has ended");
        relay.active_.erase(&call);
        relay.waiting_calls_.erase(&call.queue_entry);
        relay.wait_queue_.remove(call.queue_entry);
        relay.replacement_queue_.remove(call.queue_entry);
        if (call.replacement != nullptr) endpoint_table::record_end(*call.replacement);
        if (call.endpoint == nullptr) return;
        call.on_prompt_processed();
        endpoint_table::record_end(*std::exchange(call.endpoint, nullptr));
    }
};

auto call_relay::serve(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto call = relayed_call{request, out, responses_};
    call.arrived_at = request.received;
    call.read_at = clock::now();
    call.fields = platform::decode_call_headers(request.headers);
    call.deadline = call.arrived_at + call.fields.remaining_time.value_or(default_timeout);
    if (auto found = look_up(call); !found) {
        auto const missing = found.error().code == result_code::configuration_missing;
        co_return co_await reject(call, found.error(), missing ? milliseconds{500} : milliseconds{0});
    }
    call.deadline = std::min({call.deadline, call.arrived_at + call.route->timeout, latest_deadline_});
    retry_budget_for(call.service->name).on_call(call.read_at);
    set_shed_decision(call);
    admissions_[call.service->name].on_call(priority_of(call), call.read_at);
    auto const registration = registered_call{*this, call};
    out.on_disconnect([this, &call] {
        call.caller_disconnected = true;
        stop_takeover(call, "caller disconnected");
        if (call.connection != nullptr) call.connection->close();
        if (call.wait_timer != nullptr) call.wait_timer->cancel();
    });
    try {
        co_await run(call);
    } catch (std::exception const& problem) {
        log_incomplete(call, problem.what());
        throw;
    }
    if (out.progress() != answer_progress::complete && !call.caller_disconnected)
        log_incomplete(call, out.failure());
}

// Finds route, account and service in the newest configuration. A call that waits is looked up again, so that
// no call is handled by an older configuration once a newer one has been used. If that fails, the call ends
// with its earlier match, which the log names.
auto call_relay::look_up(relayed_call& call) -> result<void>
{
    auto match = route_match{};
    auto found = find_match(call, match);
    if (found || call.map == nullptr) static_cast<route_match&>(call) = std::move(match);
    return found;
}

auto call_relay::find_match(relayed_call const& call, route_match& match) -> result<void>
{
    match.map = declared_state_.map();
    if (match.map == nullptr)
        return fail(result_code::configuration_missing,
                    "this entry has received no configuration yet; the call was not run");
    match.route = match.map->route(call.request.headers.find("Host"), call.request.path());
    if (match.route == nullptr)
        return fail(result_code::unknown_service, "no route matches this host and path");
    if (match.route->requires_key && match.map->has_accounts()) {
        match.account = match.map->account_of_key(call.fields.key);
        if (match.account == nullptr)
            return fail(result_code::unknown_account, "no client account has this key");
    }
    return choose_service(match);
}

auto call_relay::choose_service(route_match& match) -> result<void>
{
    auto const& services = match.route->services;
    if (services.empty())
        return fail(result_code::no_endpoint, "the route names no service in the configuration");
    auto sum = 0.0;
    for (auto const& each : services)
        sum += each.weight;
    auto remaining = random_.fraction() * sum;
    auto const* chosen = &services.back();
    for (auto const& each : services) {
        if (each.weight > remaining) {
            chosen = &each;
            break;
        }
        remaining -= each.weight;
    }
    match.service = match.map->service(chosen->name);
    if (match.service == nullptr)
        return fail(result_code::no_endpoint,
                    "the route names service " + chosen->name + ", which is not in the configuration");
    return success();
}

auto call_relay::run(relayed_call& call) -> asio::awaitable<void>
{
    while (!call.caller_disconnected) {
        if (clock::now() >= call.deadline)
            co_return co_await end_without_retry(call, result_code::deadline_exceeded,
                                                 call.ended_by_stop ? "this entry stops" : "deadline",
                                                 milliseconds{0});
        if (declared_state_.map() != call.map) {
            if (auto found = look_up(call); !found)
                co_return co_await end_unroutable_call(call, found.error());
        }
        if (co_await end_if_quarantined(call)) co_return;
        auto const is_replaced = take_replacement(call);
        auto decision = placement{placed{call.endpoint}};
        if (!is_replaced) decision = co_await select_endpoint(call);
        if (call.caller_disconnected) break;
        if (auto const* rejection = std::get_if<rejected>(&decision)) {
            if (should_wait_to_resume(call, clock::now())) {
                co_await pause_before_resuming(call);
                continue;
            }
            co_return co_await end_without_retry(call, result_code::no_endpoint, reason_text(*rejection),
                                                 retry_after(call, *rejection, clock::now()));
        }
        if (call.endpoint == nullptr) reserve_slot(call, std::get<placed>(decision).endpoint);
        auto const needs_retry = call.send_count > 0 && !is_replaced;
        if (needs_retry && !retry_budget_for(call.service->name).try_spend(clock::now())) {
            release_slot(call);
            if (should_wait_to_resume(call, clock::now())) {
                co_await pause_before_resuming(call);
                continue;
            }
            co_return co_await end_without_retry(
                call, result_code::retry_budget_exhausted,
                "retry budget of this entry is used up; the call is not sent again",
                settings_.placement.max_retry_after);
        }
        auto outcome = co_await send_and_follow(call);
        auto const endpoint = call.endpoint;
        stop_seeking_replacement(call);
        release_slot(call);
        call.tried_endpoints.insert(endpoint->record.id);
        remember_unwilling_endpoint(call, *endpoint, outcome, clock::now());
        remember_lost_connection(call, *endpoint, outcome);
        if (call.caller_disconnected) break;
        record_send_outcome(call, *endpoint, outcome);
        if (co_await end_after_lost_connection(call, endpoint, outcome)) co_return;
        if (call.caller_disconnected) break;
        if (co_await handle_outcome(call, std::move(outcome))) co_return;
    }
    release_slot(call);
    record_end(call, "caller_left", 0, call.out.failure());
}

// Updates the endpoint's failure statistics with the outcome of a send.
auto call_relay::record_send_outcome(relayed_call const& call, tracked_endpoint& endpoint,
                                     send_outcome const& outcome) -> void
{
    auto reason = std::string_view{};
    auto const visitor = overloaded{[&](send_not_sent const& each) { reason = each.reason; },
                                    [&](send_failed const& each) { reason = each.reason; },
                                    [&](send_interrupted const& each) { reason = each.reason; },
                                    [](send_withheld const&) {},
                                    [&](send_rejected const& each) {
                                        if (call.response_started)
                                            log_rejected_resume(call, endpoint.record, each.status);
                                    },
                                    [&](send_responded const&) { endpoint_table::record_success(endpoint); },
                                    [&](send_streamed const&) { endpoint_table::record_success(endpoint); }};
    std::visit(visitor, outcome);
    if (reason.empty() || reason == "moved" || call.recalled || call.ended_by_stop) return;
    endpoint_table::record_failure(endpoint, clock::now());
    log_event(log_level::warning, "send_failed",
              {{"call", call.fields.call_id},
               {"endpoint", endpoint.record.id},
               {"reason", std::string{reason}},
               {"failures_in_row", std::to_string(endpoint.failures_in_row)},
               {"after_ms", milliseconds_text(clock::now() - call.sent_at)}});
}

// The configuration changed between two sends and no longer has a route for the call.
auto call_relay::end_unroutable_call(relayed_call& call, error why) -> asio::awaitable<void>
{
    if (call.run_count == 0 && !call.response_started)
        co_return co_await reject(call, std::move(why), milliseconds{0});
    co_await end_without_retry(call, result_code::outcome_unknown, why.message, milliseconds{0});
}

// Returns whether the call has ended.
auto call_relay::handle_outcome(relayed_call& call, send_outcome outcome) -> asio::awaitable<bool>
{
    if (auto* response = std::get_if<send_responded>(&outcome))
        co_return co_await handle_response(call, std::move(*response));
    if (std::holds_alternative<send_streamed>(outcome)) {
        ++call.run_count;
        record_end(call, "streamed", 200, "");
        co_return true;
    }
    if (std::holds_alternative<send_not_sent>(outcome)) co_return false;
    if (std::holds_alternative<send_withheld>(outcome)) co_return false;
    if (auto const* rejection = std::get_if<send_rejected>(&outcome)) {
        metrics_registry_.count("sends_refused");
        if (call.can_still_resume(clock::now())) {
            co_await pause_before_resuming(call);
            ++call.rejected_resumes;
            co_return false;
        }
        if (call.send_count < settings_.max_rejected_sends) co_return false;
        co_await end_without_retry(call, result_code::endpoint_overloaded,
                                   "endpoints rejected the call; last status " +
                                       std::to_string(rejection->status),
                                   settings_.placement.min_retry_after);
        co_return true;
    }
    ++call.run_count;
    if (call.may_run_again()) co_return false;
    auto reason = std::string{};
    if (auto const* failed = std::get_if<send_failed>(&outcome)) reason = failed->reason;
    if (auto const* interrupted = std::get_if<send_interrupted>(&outcome)) reason = interrupted->reason;
    // "late" is the reason that read_response() and relay_events() give when the deadline passed.
    co_await end_without_retry(call,
                               reason == "late" ? result_code::outcome_unknown : result_code::answer_cut,
                               reason, milliseconds{0});
    co_return true;
}

auto call_relay::handle_response(relayed_call& call, send_responded response) -> asio::awaitable<bool>
{
    ++call.run_count;
    if (call.can_still_resume(clock::now())) co_return false;
    if (response.status >= 500 && call.may_run_again() && !call.response_started) {
        call.fallback_response = std::move(response);
        co_return false;
    }
    if (call.response_started) {
        // Resuming the stream failed, so the response that the caller has received cannot be completed.
        co_await end_without_retry(call, result_code::stream_interrupted,
                                   "stream could not be resumed at another endpoint", milliseconds{0});
        co_return true;
    }
    co_await deliver(call, std::move(response));
    co_return true;
}

auto call_relay::deliver(relayed_call& call, send_responded response) -> asio::awaitable<void>
{
    auto const status = response.status;
    auto message = http_response{status, std::move(response.headers), std::move(response.body)};
    record_end(call, "answered", status, "");
    co_await call.out.send(std::move(message));
}

auto call_relay::reject(relayed_call& call, error why, milliseconds retry_after) -> asio::awaitable<void>
{
    auto response = error_response(why);
    if (retry_after.count() > 0) response.headers.set("Retry-After", seconds_text(retry_after));
    record_end(call, "refused", response.status, why.message);
    co_await call.out.send(std::move(response));
}

// Ends a call that is not sent again. The caller gets the most accurate response available: an endpoint's
// earlier error response, a rejection if the call was never run, or an error that says that it may have run.
auto call_relay::end_without_retry(relayed_call& call, result_code code, std::string reason,
                                   milliseconds retry_after) -> asio::awaitable<void>
{
    if (call.response_started) {
        record_end(call, "interrupted", status_of(result_code::stream_interrupted), reason);
        call.out.abort();
        co_return;
    }
    if (call.fallback_response) co_return co_await deliver(call, std::move(*call.fallback_response));
    if (call.run_count == 0) {
        auto const rejection = code == result_code::deadline_exceeded ? result_code::no_endpoint : code;
        co_return co_await reject(call, fail(rejection, std::move(reason)), retry_after);
    }
    auto const failure = code == result_code::answer_cut ? code : result_code::outcome_unknown;
    auto response = error_response(fail(failure, reason));
    record_end(call, "failed", response.status, reason);
    co_await call.out.send(std::move(response));
}

auto call_relay::retry_budget_for(std::string const& service) -> window_retry_budget&
{
    return budgets_.try_emplace(service, settings_.retry_limits).first->second;
}

auto call_relay::set_entry_count(int entries) -> void
{
    settings_.retry_limits.entries = entries;
    for (auto& [service, budget] : budgets_)
        budget.set_entries(entries);
}

auto call_relay::run_maintenance() -> asio::awaitable<void>
{
    auto last_expiry = clock::now();
    while (true) {
        co_await sleep_for(maintenance_interval);
        auto const now = clock::now();
        for (auto* call : active_)
            check_progress(*call, now);
        for (auto* call : active_)
            recall_if_quarantined(*call, now);
        endpoints_.update_assignment(now);
        dispatch_waiting();
        update_shedders(now);
        endpoints_.remove_expired(now);
        if (now - last_expiry < expiry_interval) continue;
        last_expiry = now;
        pool_.close_expired(now);
        endpoints_.assign_preferred_entries();
        log_quarantine_changes(now);
    }
}

} // namespace hibiscuswall
