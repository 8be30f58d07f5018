#pragma once
// An endpoint as the platform's store lists it.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscuswall {

// Layers of a model that an engine holds: [first, end) of one weights version.
struct loaded_weights {
    std::string model;         // name
    std::uint64_t version = 0; // weights version, starts at 1
    int first_layer = 0;       // included
    int end_layer = 0;         // not included
};

struct endpoint_record {
    std::string id;                        // of this start; a restart usually has another
    std::string service;                   // that it serves
    address where;                         // takes calls
    std::string failure_domain;            // where it stands
    int slots = 1;                         // calls processed at the same time
    bool draining = false;                 // announced that it leaves
    milliseconds cold_remaining{0};        // how long it stays cold, from when the record was written
    std::uint64_t started_at_ms = 0;       // wall clock of its start; tells restarts under one id apart
    std::optional<loaded_weights> weights; // engines only; none: holds nothing
};

} // namespace hibiscuswall
