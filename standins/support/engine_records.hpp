#pragma once
// Settings and state of the stand-in engine: what it has loaded and what it ran.

#include "hibiscuswall/core/time.hpp"

#include <string>

namespace hibiscuswall {

struct engine_settings {
    milliseconds token_time{10};
    milliseconds prefill_time{10};
    milliseconds load_duration{0};   // added to the reading of the weights
    milliseconds cold_duration{300}; // after which an engine that was turned cold warms up
    milliseconds warm_time{10'000};  // after which a warming engine is ready at the latest
    milliseconds load_report_lag{0};
    int warm_requests = 8; // completed requests after which a warming engine is ready
    int cold_limit = 1;    // requests at a time that a cold or warming engine can handle
    std::size_t prefix_cache = 64;
    bool enforces_fencing = true;
};

struct loaded_weights {
    std::string model;
    std::string adapter;
    std::string version;
    std::string manifest_digest; // as ordered
    std::string content_sha256;  // of the bytes that were read
};

struct run_record {
    std::string request_id;
    long long arrived_ms = 0; // wall clock
    std::string version;
    std::string content_sha256;
    int tokens = 0;
    int resumed_after = 0; // Last-Event-ID
    std::string state = "running";
};

} // namespace hibiscuswall
