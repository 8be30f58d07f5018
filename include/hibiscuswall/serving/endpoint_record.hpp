#pragma once
// An endpoint as listed in the platform's store.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscuswall {

// Model layers loaded in an engine: [first_layer, end_layer) of one weights version.
struct loaded_weights {
    std::string model;         // model name
    std::uint64_t version = 0; // weights version, starts at 1
    int first_layer = 0;       // inclusive
    int end_layer = 0;         // exclusive
};

struct endpoint_record {
    std::string id;                  // identifies one run of the endpoint; a restart usually gets a new id
    std::string service;             // service that the endpoint serves
    address where;                   // address that accepts calls
    std::string failure_domain;      // failure domain of its host
    int slots = 1;                   // maximum number of concurrent calls
    bool draining = false;           // the endpoint has announced that it is leaving
    milliseconds cold_remaining{0};  // cold period that remained when the record was written
    std::uint64_t started_at_ms = 0; // wall clock at start; distinguishes restarts that reuse an id
    std::optional<loaded_weights> weights; // engines only; none if no weights are loaded
};

} // namespace hibiscuswall
