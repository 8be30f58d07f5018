#pragma once
// Settings for the endpoint of an agent: its address, its type and the timeouts of calls to it.
//
//   auto settings = read_endpoint_settings(reader.child("endpoint"));

#include "hibiscuswall/config/resource.hpp"
#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/settings_reader.hpp"

namespace hibiscuswall {

struct endpoint_settings {
    address target_address;                   // "address": of the engine or plain service
    std::string service;                      // "service": name of its Service resource
    service_type type = service_type::engine; // "type": "engine" or "plain"
    // "fencing": "enforced" when the engine rejects orders with an outdated fencing number; with "ignored"
    // the agent reads the status before each request.
    bool enforces_fencing = true;
    // "status_max_age_ms": greatest age of the engine's status at which a call is still sent while more calls
    // than the cold limit are running.
    milliseconds status_max_age{20};
    milliseconds poll_interval{200};       // "poll_interval_ms": between two reads of the engine's status
    milliseconds status_timeout{1'000};    // "status_timeout_ms": for one status, order or cancel call
    milliseconds response_timeout{30'000}; // "answer_timeout_ms": for header and each piece of a response
    milliseconds default_deadline{30'000}; // "default_deadline_ms": for requests without Hw-Deadline-Ms
};

[[nodiscard]] auto read_endpoint_settings(settings_reader reader) -> endpoint_settings;

} // namespace hibiscuswall
