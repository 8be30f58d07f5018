// Keeps the calls to the endpoint to the rate that it names in its responses. All of them pass this gate.
#include "gate_state.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "platform/call_headers.hpp"

namespace hibiscuswall {
namespace {

constexpr auto min_resume_delay = milliseconds{10};

auto rate_text(std::optional<double> calls_per_second) -> std::string
{
    return calls_per_second ? std::to_string(*calls_per_second) : "none";
}

} // namespace

auto request_gate::state::on_response_head(forward_request const& call, http_headers const& headers,
                                           time_point requested_at) -> void
{
    auto const answered = headers.find("X-Request-Id");
    auto const is_own = answered.empty() || answered == call.call_id;
    auto const stated = platform::decode_rate(headers);
    if (is_own || !std::holds_alternative<no_rate_limit>(stated)) on_rate_statement(stated, requested_at);
}

// Whether engines name limits in their status as they do in responses to calls is known once one has done so.
auto request_gate::state::on_status_head(rate_statement const& stated, time_point requested_at) -> void
{
    if (std::holds_alternative<rate_limit>(stated)) status_names_limits = true;
    if (status_names_limits) on_rate_statement(stated, requested_at);
}

auto request_gate::state::on_rate_statement(rate_statement const& stated, time_point requested_at) -> void
{
    if (std::holds_alternative<unreadable_rate_limit>(stated)) {
        context.metrics_registry.count("unreadable_rate_limits");
        log_event(log_level::warning, "endpoint_limit_unreadable",
                  {{"endpoint", endpoint.target_address.text()}});
    }
    auto const before = rate.limit();
    rate.on_response(stated, requested_at, clock::now());
    apply_rate_limit(before);
}

// Another run of the endpoint has named no limit yet.
auto request_gate::state::forget_rate_limit() -> void
{
    auto const before = rate.limit();
    rate = {};
    status_names_limits = false;
    apply_rate_limit(before);
}

auto request_gate::state::apply_rate_limit(std::optional<double> before) -> void
{
    auto const limit = rate.limit();
    if (limit == before) return;
    auto const* event = !before ? "endpoint_limit_named"
                        : limit ? "endpoint_limit_changed"
                                : "endpoint_limit_ended";
    log_event(log_level::info, event,
              {{"calls_per_second", rate_text(limit)}, {"before", rate_text(before)}});
    context.events.record(event, {{"calls_per_second", rate_text(limit)}});
    context.metrics_registry.set("endpoint_rate_limit", {}, limit.value_or(0));
    apply_decisions(admission.set_rate_limit(limit, clock::now()));
}

// Starts the waiting calls at the rate of the limit, until none waits.
auto request_gate::state::resume_waiting_calls() -> asio::awaitable<void>
{
    auto self = shared_from_this();
    resumes_waiting_calls = true;
    while (admission.waiting() > 0 && admission.is_rate_limited()) {
        auto const wait = std::chrono::ceil<milliseconds>(admission.resumes_at(clock::now()) - clock::now());
        co_await sleep_for(std::max(wait, min_resume_delay));
        apply_decisions(admission.resume(clock::now()));
    }
    resumes_waiting_calls = false;
}

} // namespace hibiscuswall
