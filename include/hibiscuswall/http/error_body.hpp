#pragma once
// The machine-readable body of every refusal and failure, towards callers, peers and operators.
//
//   co_await out.send(error_response(fail(result_code::resource_not_found, key)));
//   auto text = error_body(problem, ran::no, call_id);
//
// {"code":1203,"name":"endpoint_draining","message":"...","ran":"no","call_id":"..."}; call_id only where
// given.

#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_message.hpp"

#include <string>
#include <string_view>

namespace hibiscuswall {

// Bytes of the message that are not UTF-8 are replaced: messages quote what callers sent.
[[nodiscard]] auto error_body(error const& problem, ran outcome, std::string_view call_id = {})
    -> std::string;

// With the status and outcome that the table gives for the code.
[[nodiscard]] auto error_response(error const& problem) -> http_response;

} // namespace hibiscuswall
