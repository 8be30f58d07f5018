#include "hibiscuswall/calls/forward_response.hpp"

namespace hibiscuswall {
namespace {

auto read_ran(std::string_view text) -> ran
{
    if (text == "no") return ran::no;
    return text == "yes" ? ran::yes : ran::unknown;
}

} // namespace

auto make_forward(caller_call const& call, call_attempt const& attempt, config_view const& view,
                  time_point now) -> http_request
{
    auto request = http_request{"POST", "/forward", {}, call.body};
    auto& headers = request.headers;
    auto const remaining = std::chrono::duration_cast<milliseconds>(call.deadline - now).count();
    headers.set("Hw-Call-Id", attempt.id);
    headers.set("Hw-Account", call.account);
    headers.set("Hw-Class", request_class_text(call.priority));
    headers.set("Hw-Deadline-Ms", std::max(1LL, static_cast<long long>(remaining)));
    headers.set("Hw-Config-Revision", static_cast<long long>(view.revision));
    headers.set("Hw-Method", call.method);
    headers.set("Hw-Target", call.target);
    headers.set("Hw-Idempotent", call.idempotent ? 1LL : 0LL);
    if (!call.idempotent) headers.set("Hw-Agent-Incarnation", std::to_string(attempt.incarnation));
    if (!attempt.last_event_id.empty()) headers.set("Last-Event-ID", attempt.last_event_id);
    if (!attempt.weights_version.empty()) headers.set("Hw-Weights-Version", attempt.weights_version);
    if (!call.content_type.empty()) headers.set("Content-Type", call.content_type);
    return request;
}

auto read_forward_answer(http_headers const& headers, std::string_view attempt_id) -> forward_answer
{
    auto told = forward_answer{};
    told.foreign = headers.find("Hw-Call-Id") != attempt_id;
    told.outcome = read_ran(headers.find("Hw-Ran"));
    auto const code = static_cast<int>(headers.number("Hw-Code", 0));
    told.code = code == 0 ? result_code::ok : result_code_from_number(code);
    told.retry_after_s = headers.number("Retry-After", 0);
    auto& report = told.report;
    report.in_flight = static_cast<int>(headers.number("Hw-In-Flight", 0));
    report.limit = static_cast<int>(headers.number("Hw-Limit", 0));
    report.incarnation = static_cast<std::uint64_t>(headers.number("Hw-Agent-Incarnation", 0));
    report.endpoint_state = std::string{headers.find("Hw-Endpoint-State")};
    report.weights_version = std::string{headers.find("Hw-Weights-Version")};
    report.refusal = told.code;
    return told;
}

auto worth_another_endpoint(result_code code) -> bool
{
    switch (code) {
    case result_code::endpoint_draining:
    case result_code::failure_domain_out:
    case result_code::no_endpoint:
    case result_code::queue_full:
    case result_code::endpoint_overloaded:
    case result_code::endpoint_cold:
    case result_code::version_mismatch:
    case result_code::agent_restarted:
    case result_code::configuration_missing:
    case result_code::configuration_unconfirmed:
    case result_code::shutting_down:
    case result_code::connect_failed:
        return true;
    default:
        return false;
    }
}

auto costs_retry_budget(result_code code) -> bool
{
    return code == result_code::queue_full || code == result_code::endpoint_overloaded;
}

} // namespace hibiscuswall
