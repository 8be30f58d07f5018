#include "hibiscuswall/core/result_code.hpp"

#include <algorithm>
#include <array>

namespace hibiscuswall {
namespace {

using rc = result_code;

constexpr auto table = std::to_array<result_code_info>({
    {rc::ok, "ok", 200, ran::yes, "success"},
    {rc::settings_invalid, "settings_invalid", 500, ran::no,
     "a settings field is unknown, missing or has a wrong type or value"},
    {rc::settings_unreadable, "settings_unreadable", 500, ran::no,
     "the settings file is missing or is not JSON"},
    {rc::usage_invalid, "usage_invalid", 400, ran::no, "the command line is wrong"},
    {rc::resource_invalid, "resource_invalid", 422, ran::no,
     "a resource failed validation; the message names the field"},
    {rc::resource_not_found, "resource_not_found", 404, ran::no, "no such resource"},
    {rc::revision_conflict, "revision_conflict", 409, ran::no,
     "another write came first; the message names its revision"},
    {rc::write_outcome_unknown, "write_outcome_unknown", 504, ran::unknown,
     "the store did not answer and the write could not be read back"},
    {rc::store_unavailable, "store_unavailable", 503, ran::no,
     "the key-value service cannot be reached; nothing was written"},
    {rc::configuration_missing, "configuration_missing", 503, ran::no,
     "the process has no configuration yet"},
    {rc::configuration_unconfirmed, "configuration_unconfirmed", 503, ran::no,
     "the configuration was not confirmed within max_unconfirmed_ms or since a pause"},
    {rc::history_unavailable, "history_unavailable", 503, ran::no,
     "the store no longer holds the changes since that revision; read the whole range again"},
    {rc::request_malformed, "request_malformed", 400, ran::no,
     "the request is not valid HTTP or JSON, or lacks a field"},
    {rc::request_too_large, "request_too_large", 413, ran::no, "header or body exceeds the limit"},
    {rc::endpoint_draining, "endpoint_draining", 503, ran::no,
     "the endpoint is leaving or draining and takes no new work"},
    {rc::failure_domain_out, "failure_domain_out", 503, ran::no,
     "the failure domain or host is declared out"},
    {rc::no_endpoint, "no_endpoint", 503, ran::no, "no endpoint can take the request now"},
    {rc::queue_full, "queue_full", 429, ran::no,
     "the queue is full or the request was shed for a higher class or a fairer share"},
    {rc::deadline_exceeded, "deadline_exceeded", 504, ran::no, "the deadline passed before the work started"},
    {rc::endpoint_overloaded, "endpoint_overloaded", 503, ran::no,
     "the endpoint's concurrency limit is reached"},
    {rc::endpoint_cold, "endpoint_cold", 503, ran::no,
     "the endpoint has no weights loaded or is starting cold"},
    {rc::version_mismatch, "version_mismatch", 503, ran::no,
     "the endpoint does not serve the weights version asked for"},
    {rc::agent_restarted, "agent_restarted", 503, ran::no,
     "the call must run at most once and does not name the agent's present incarnation"},
    {rc::call_revoked, "call_revoked", 409, ran::no, "the call was revoked before it arrived"},
    {rc::call_in_progress, "call_in_progress", 409, ran::unknown,
     "an earlier request with this idempotency key is still running"},
    {rc::outcome_unknown, "outcome_unknown", 504, ran::unknown,
     "the request may have run; it is not sent again"},
    {rc::claim_unavailable, "claim_unavailable", 503, ran::no,
     "the claim for the idempotency key could not be stored"},
    {rc::idempotency_key_reused, "idempotency_key_reused", 422, ran::no,
     "the idempotency key was used for a different request"},
    {rc::unknown_model, "unknown_model", 404, ran::no, "no ModelServing resource names the model"},
    {rc::unknown_account, "unknown_account", 401, ran::no, "no Account resource has this key"},
    {rc::unknown_service, "unknown_service", 404, ran::no, "no Service resource or route matches"},
    {rc::answer_cut, "answer_cut", 502, ran::unknown, "the answer ended before its length or end marker"},
    {rc::retry_budget_exhausted, "retry_budget_exhausted", 503, ran::no, "the retry budget is used up"},
    {rc::request_timeout, "request_timeout", 408, ran::no, "the request was not received in time"},
    {rc::shutting_down, "shutting_down", 503, ran::no, "the process is stopping"},
    {rc::stream_interrupted, "stream_interrupted", 502, ran::unknown,
     "a stream ended early and could not be resumed"},
    {rc::cancelled, "cancelled", 499, ran::unknown, "the caller closed the connection"},
    {rc::prompt_quarantined, "prompt_quarantined", 400, ran::unknown,
     "a segment of the prompt has crashed several engines; the request is not sent to another one"},
    {rc::prompt_on_trial, "prompt_on_trial", 503, ran::no,
     "a segment of the prompt may crash engines and another request is trying it"},
    {rc::manifest_invalid, "manifest_invalid", 502, ran::no,
     "the manifest is malformed or does not match its digest"},
    {rc::chunk_corrupt, "chunk_corrupt", 502, ran::no, "a chunk's SHA-256 does not match the manifest"},
    {rc::chunk_unavailable, "chunk_unavailable", 404, ran::no, "the chunk is not held here or by any source"},
    {rc::weights_too_large, "weights_too_large", 507, ran::no,
     "the version does not fit the memory for staged weights"},
    {rc::load_rejected, "load_rejected", 502, ran::no, "the engine refused or failed a load order"},
    {rc::fencing_outdated, "fencing_outdated", 409, ran::no, "the order carried an old fencing number"},
    {rc::weights_not_whole, "weights_not_whole", 409, ran::no,
     "the version is not complete and verified yet"},
    {rc::connect_failed, "connect_failed", 502, ran::no, "no connection; no byte was sent"},
    {rc::connection_lost, "connection_lost", 502, ran::unknown, "the connection ended before a whole answer"},
    {rc::transport_timeout, "transport_timeout", 504, ran::unknown, "no answer in time"},
    {rc::response_malformed, "response_malformed", 502, ran::unknown, "the answer could not be parsed"},
    {rc::unexpected_status, "unexpected_status", 502, ran::unknown, "the answer had an unexpected status"},
    {rc::rpc_failed, "rpc_failed", 502, ran::unknown, "a peer answered with a JSON-RPC error"},
    {rc::internal_error, "internal_error", 500, ran::unknown, "a fault of the program"},
});

} // namespace

auto result_code_table() -> std::span<result_code_info const> { return table; }

auto describe(result_code code) -> result_code_info const&
{
    auto const* found =
        std::find_if(table.begin(), table.end(), [&](auto const& info) { return info.code == code; });
    return found == table.end() ? table.back() : *found;
}

auto result_code_from_number(int number) -> result_code
{
    auto const* found = std::find_if(table.begin(), table.end(),
                                     [&](auto const& info) { return static_cast<int>(info.code) == number; });
    return found == table.end() ? result_code::internal_error : found->code;
}

auto ran_text(ran outcome) -> std::string_view
{
    switch (outcome) {
    case ran::no:
        return "no";
    case ran::yes:
        return "yes";
    case ran::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace hibiscuswall
