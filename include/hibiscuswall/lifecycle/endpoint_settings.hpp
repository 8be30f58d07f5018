#pragma once
// The endpoint beside an agent: where it is and how it is asked.
//
//   auto settings = read_endpoint_settings(reader.child("endpoint"));

#include "hibiscuswall/config/resource.hpp"
#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/settings_reader.hpp"

namespace hibiscuswall {

struct endpoint_settings {
    address target_address;                   // "address" of the engine or plain service
    std::string service;                      // "service": name of its Service resource
    service_type type = service_type::engine; // "type": "engine" or "plain"
    bool enforces_fencing = true;          // "fencing": "enforced" when the engine refuses orders with an old
                                           // number; without it the status is read before each request
    milliseconds status_max_age{20};       // "status_max_age_ms": oldest status on which a call is sent while
                                           // more than the cold limit runs
    milliseconds poll_interval{200};       // "poll_interval_ms": between two reads of the engine's status
    milliseconds status_timeout{1'000};    // "status_timeout_ms": of one status, order or cancel call
    milliseconds response_timeout{30'000}; // "answer_timeout_ms": header and each piece of an answer
    milliseconds default_deadline{30'000}; // "default_deadline_ms": of a request without Hw-Deadline-Ms
};

[[nodiscard]] auto read_endpoint_settings(settings_reader reader) -> endpoint_settings;

} // namespace hibiscuswall
