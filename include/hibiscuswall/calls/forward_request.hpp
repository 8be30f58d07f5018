#pragma once
// A POST /forward request of an entry, read from its Hw- headers (docs/design.md, section 4.2).
//
//   auto read = read_forward_request(request, clock::now(), milliseconds{30'000});

#include "hibiscuswall/config/resource.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_message.hpp"

#include <cstdint>
#include <string>

namespace hibiscuswall {

struct forward_request {
    std::string call_id;                              // Hw-Call-Id
    std::string account;                              // Hw-Account
    request_class priority = request_class::drafting; // Hw-Class
    time_point deadline;                              // Time of arrival plus Hw-Deadline-Ms.
    std::string method;                               // Hw-Method: HTTP method for the endpoint.
    std::string target;                               // Hw-Target: path and query for the endpoint.
    bool idempotent = false;                          // Hw-Idempotent
    std::uint64_t incarnation = 0;                    // Hw-Agent-Incarnation; 0: any
    std::string version;                              // Hw-Weights-Version; empty: any
    std::string last_event_id;                        // Last-Event-ID; empty: not a resume
    std::string content_type;                         // Content-Type of the caller's body.
};

// Fails with request_malformed, naming the missing or invalid header.
[[nodiscard]] auto read_forward_request(http_request const& request, time_point now,
                                        milliseconds default_deadline) -> result<forward_request>;

} // namespace hibiscuswall
