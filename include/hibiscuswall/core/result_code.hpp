#pragma once
// Numbered result codes: every refusal, failure and exit message of the system carries one.
//
//   auto info = describe(result_code::endpoint_draining);
//   info.name, info.http_status, info.ran
//
// The table in docs/result-codes.md is checked against result_code_table() by a unit test.

#include <span>
#include <string_view>

namespace hibiscuswall {

enum class result_code : int {
    ok = 0,

    // ---- settings and command line
    settings_invalid = 1001,
    settings_unreadable = 1002,
    usage_invalid = 1003,

    // ---- configuration
    resource_invalid = 1101,
    resource_not_found = 1102,
    revision_conflict = 1103,
    write_outcome_unknown = 1104,
    store_unavailable = 1105,
    configuration_missing = 1106,
    configuration_unconfirmed = 1107,
    history_unavailable = 1108,

    // ---- calls
    request_malformed = 1201,
    request_too_large = 1202,
    endpoint_draining = 1203,
    failure_domain_out = 1204,
    no_endpoint = 1205,
    queue_full = 1206,
    deadline_exceeded = 1207,
    endpoint_overloaded = 1208,
    endpoint_cold = 1209,
    version_mismatch = 1210,
    agent_restarted = 1211,
    call_revoked = 1212,
    call_in_progress = 1213,
    outcome_unknown = 1214,
    claim_unavailable = 1215,
    idempotency_key_reused = 1216,
    unknown_model = 1217,
    unknown_account = 1218,
    unknown_service = 1219,
    answer_cut = 1220,
    retry_budget_exhausted = 1221,
    request_timeout = 1222,
    shutting_down = 1223,
    stream_interrupted = 1224,
    cancelled = 1225,
    prompt_quarantined = 1226,
    prompt_on_trial = 1227,

    // ---- weights
    manifest_invalid = 1301,
    chunk_corrupt = 1302,
    chunk_unavailable = 1303,
    weights_too_large = 1304,
    load_rejected = 1305,
    fencing_outdated = 1306,
    weights_not_whole = 1307,

    // ---- transport
    connect_failed = 1501,
    connection_lost = 1502,
    transport_timeout = 1503,
    response_malformed = 1504,
    unexpected_status = 1505,
    rpc_failed = 1506,

    internal_error = 1901,
};

// Whether the request that was refused or failed may have run.
enum class ran {
    no,
    yes,
    unknown,
};

struct result_code_info {
    result_code code = result_code::internal_error; // number
    std::string_view name = "internal_error";       // stable name, used in bodies, logs and metrics
    int http_status = 500;                          // status towards callers and operators
    ran outcome = ran::unknown;                     // default; a handler that knows more may say so
    std::string_view meaning;                       // one line for the table in the docs
};

// All codes in ascending order.
[[nodiscard]] auto result_code_table() -> std::span<result_code_info const>;

// The entry of one code; internal_error for a number that is not in the table.
[[nodiscard]] auto describe(result_code code) -> result_code_info const&;

// The code with this number; internal_error when there is none.
[[nodiscard]] auto result_code_from_number(int number) -> result_code;

// "no", "yes" or "unknown".
[[nodiscard]] auto ran_text(ran outcome) -> std::string_view;

} // namespace hibiscuswall
