#pragma once
// Structs of the resources that operators declare. Parsed and validated by config/resource_parser.hpp.

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

// Returns no value for a text that names no class.
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

// Declares which model, adapter and weights version serves which failure domains.
struct model_serving {
    std::string name;                         // resource name
    std::string model;                        // name that callers send as "model"
    std::string adapter;                      // empty: none
    std::string version;                      // weights version
    std::string service;                      // service whose endpoints serve the model
    std::vector<std::string> failure_domains; // failure domains that serve the model
    // Hosts of one failure domain that may switch versions at a time; Policy.activation_batch if not
    // declared.
    int batch = 1;
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
    std::string path_prefix = "/";                    // the longest matching prefix applies
    request_class priority = request_class::drafting; // spec field "class"
    bool idempotent = false;                          // may be retried after an unknown outcome
};

struct service_resource {
    std::string name;
    service_type type = service_type::engine; // spec.type "engine" or "plain"
    int cold_limit = 1;                       // max. concurrent requests of a cold endpoint
    int max_limit = 16;                       // max. concurrent requests of a warm endpoint
    int queue_limit = 32;                     // max. requests waiting at an agent
    std::vector<route_rule>
        routes; // plain services only; an engine's completions are idempotent and of class drafting
};

struct account_resource {
    std::string name;
    std::string key;     // bearer token
    double weight = 1.0; // share of this account relative to other accounts
};

struct policy_resource {
    std::string name = "default";
    milliseconds max_unconfirmed{0};   // 0: no limit, keeps serving while the store is unreachable
    double retry_budget_ratio = 0.1;   // retries allowed, as a fraction of requests
    bool allow_account_header = false; // accept the header X-Account instead of a bearer key
    int activation_batch = 1;          // batch of each ModelServing that declares none
};

using resource = std::variant<model_serving, failure_domain_resource, host_resource, service_resource,
                              account_resource, policy_resource>;

} // namespace hibiscuswall
