#pragma once
// The operators' resources as plain structs. Parsing and validation: config/resource_parser.hpp.

#include "hibiscuswall/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hibiscuswall {

// Request classes from the lowest to the highest priority.
enum class request_class {
    drafting,
    status,
    booking,
};

inline constexpr auto request_class_names = std::array<std::string_view, 3>{"drafting", "status", "booking"};

[[nodiscard]] constexpr auto request_class_text(request_class priority) -> std::string_view
{
    return request_class_names.at(static_cast<std::size_t>(priority));
}

// Nothing for a text that names no class.
[[nodiscard]] constexpr auto request_class_from_text(std::string_view text) -> std::optional<request_class>
{
    for (auto i = std::size_t{0}; i < request_class_names.size(); ++i)
        if (request_class_names.at(i) == text) return static_cast<request_class>(i);
    return std::nullopt;
}

enum class service_type {
    engine,
    plain,
};

// Which model, adapter and version serves which failure domains.
struct model_serving {
    std::string name;                         // resource name
    std::string model;                        // as callers name it in "model"
    std::string adapter;                      // empty: none
    std::string version;                      // weights version
    std::string service;                      // service whose endpoints serve it
    std::vector<std::string> failure_domains; // where it is served
    int batch =
        1; // hosts of one failure domain that may switch at a time; Policy.activation_batch when absent
};

struct failure_domain_resource {
    std::string name;
    std::string region;
    bool in_service = true; // spec.state "in" or "out"
};

struct host_resource {
    std::string name;
    bool in_service = true; // spec.state "in" or "out"
};

struct route_rule {
    std::string method = "GET";                       // "*": any
    std::string path_prefix = "/";                    // longest prefix wins
    request_class priority = request_class::drafting; // spec field "class"
    bool idempotent = false;                          // may be sent again after an unknown outcome
};

struct service_resource {
    std::string name;
    service_type type = service_type::engine; // spec.type "engine" or "plain"
    int cold_limit = 1;                       // requests at a time that a cold endpoint can handle
    int max_limit = 16;                       // requests at a time of a warm endpoint at most
    int queue_limit = 32;                     // requests that wait at an agent
    std::vector<route_rule> routes; // plain services; an engine's completions are idempotent drafting
};

struct account_resource {
    std::string name;
    std::string key;     // bearer token
    double weight = 1.0; // share relative to other accounts
};

struct policy_resource {
    std::string name = "default";
    milliseconds max_unconfirmed{0};   // 0: serve on while the store cannot be reached
    double retry_budget_ratio = 0.1;   // retries per request
    bool allow_account_header = false; // accept X-Account in place of a bearer key
    int activation_batch = 1;          // batch of every ModelServing that declares none
};

using resource = std::variant<model_serving, failure_domain_resource, host_resource, service_resource,
                              account_resource, policy_resource>;

} // namespace hibiscuswall
