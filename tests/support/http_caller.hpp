#pragma once
// Blocking HTTP for tests, by one thread of one test.
//
//   auto answer = call(where, {"GET", "/v1/stats"});       // status 0: no whole answer; body: the reason
//   auto stats = call_json(where, "GET", "/v1/stats");     // null unless 2xx with JSON

#include "hibiscuswall/http/http_client.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace hibiscuswall {

auto call(address const& where, http_request request, milliseconds timeout = milliseconds{5'000})
    -> http_response;

// A response as far as it arrived.
struct partial_response {
    int status = 0; // 0: no header
    http_headers headers;
    std::string body;
    bool complete = false; // the length or the last chunk was reached
};

auto call_and_keep_partial(address const& where, http_request request,
                           milliseconds timeout = milliseconds{5'000}) -> partial_response;

auto call_json(address const& where, std::string method, std::string target,
               nlohmann::json const& body = nullptr) -> nlohmann::json;

// Text of a streamed completion; whole only when the done event names as many events as came.
struct streamed_response {
    int status = 0;     // 0: no answer
    bool whole = false; // event: done came, ids are 1..n without gaps
    int events = 0;     // token events
    std::string text;   // of all token events
    std::string body;   // as received
    http_headers headers;
};

auto parse_stream(http_response const& answer) -> streamed_response;

// POST /v1/completions with "stream".
auto call_completion(address const& where, std::string const& key, std::string const& model,
                     std::string const& prompt, int max_tokens, milliseconds timeout = milliseconds{20'000})
    -> streamed_response;

// Whether each token is from this prompt, numbered without gaps and all of one version and content digest.
auto text_is_consistent(std::string const& text, std::string const& prompt, int tokens) -> bool;

} // namespace hibiscuswall
