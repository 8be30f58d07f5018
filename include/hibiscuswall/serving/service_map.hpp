#pragma once
// The operators' configuration as used by the serving path: routes, services and client accounts. Immutable.
//
//   auto map = service_map{version, routes, services, accounts, limits};
//   auto const* route = map.route("a.example", "/x/y/z");    // null if no route matches the path
//   auto const* holder = map.account_of_key(key);            // null if no account has the key
//
// Among the routes of a host, the one with the longest prefix of the path is used. Prefixes start and end
// with '/'.

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscuswall {

enum class call_kind {
    idempotent,     // may run more than once
    non_idempotent, // may run at most once
    stream,         // response is a stream of server-sent events; retried only if the route is resumable
};

struct weighted_service {
    std::string name;    // name of the service
    double weight = 1.0; // share of the route's calls, relative to its other services
};

struct call_route {
    std::string name;                       // unique in the configuration
    std::string host;                       // lower case, without a port
    std::string prefix;                     // starts and ends with '/'
    call_kind kind = call_kind::idempotent; // determines whether a call may be retried
    bool resumable = false;                 // a stream may resume at another endpoint
    bool requires_key = true;               // false: callers need no key
    int max_attempts = 1;                   // maximum number of times that one call may run
    int priority = 0;                       // 0 is the most urgent
    milliseconds timeout{60'000};           // maximum duration of a call
    milliseconds target_latency{1'000};     // time to the first event, or to the complete response
    milliseconds target_gap{0};             // target for the time between two events; 0: not specified
    std::vector<weighted_service> services; // at least one
    std::vector<std::string> regions;       // regions that may serve the calls; empty: all

    [[nodiscard]] auto is_retryable() const -> bool
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
};

// Properties of an engine as declared by its service. Times apply to an engine with a slowdown of 1.
struct engine_profile {
    std::string model;                 // name of the model
    int slots = 1;                     // concurrent requests in the batch
    int layers = 1;                    // layers of the model
    std::size_t chunks = 0;            // chunks of one copy of the weights
    std::size_t chunk_bytes = 0;       // size of each chunk
    double layer_mb = 0;               // memory of one layer
    double memory_mb = 0;              // available for layers and requests
    double step_ms = 0;                // duration of one decoding step (one token per running request)
    double step_per_request_ms = 0;    // added per running request
    double step_per_context_k_ms = 0;  // added per 1,000 tokens of context
    int steps_per_pass = 1;            // decoding steps per scheduling pass while any request is generating
    double prompt_tokens_per_ms = 1;   // prompt processing speed
    int prompt_tokens_per_pass = 2048; // prompt tokens processed in one pass at most
    double mean_prompt_tokens = 0;     // mean over the service's calls
    double mean_response_tokens = 0;   // mean over the service's calls
    milliseconds load_duration{0};     // from the load order until the weights are loaded
    [[nodiscard]] auto copy_bytes() const -> std::size_t { return chunks * chunk_bytes; }
};

struct service_definition {
    std::string name;                     // unique in the configuration
    int max_connections = 0;              // total connections that one endpoint accepts
    milliseconds cold_duration{0};        // cold period after an endpoint's start
    double max_cold_rate = 0;             // calls per second that a cold endpoint can take; 0: no limit
    std::optional<engine_profile> engine; // none for a plain service
    std::optional<address> weight_origin; // source of weights; such a service receives no calls
    std::string origin_failure_domain;    // failure domain of weight_origin
};

struct client_account {
    std::string name;                 // sent to endpoints
    std::vector<std::string> keys;    // any of them identifies the account
    std::optional<int> priority;      // overrides the route's priority
    std::vector<std::string> regions; // regions that may serve the calls; empty: all
};

struct caller_limits {
    std::size_t header_bytes = 16 * 1024;     // maximum per request
    std::size_t body_bytes = 4 * 1024 * 1024; // maximum per request
    milliseconds header_timeout{3'000};       // from the first byte to the end of the header
    milliseconds idle_timeout{15'000};        // of a kept-alive connection
};

class service_map {
public:
    service_map(std::uint64_t version, std::vector<call_route> routes,
                std::vector<service_definition> services, std::vector<client_account> accounts,
                caller_limits limits);

    [[nodiscard]] auto version() const -> std::uint64_t { return version_; }
    [[nodiscard]] auto route(std::string_view host, std::string_view path) const -> call_route const*;
    [[nodiscard]] auto service(std::string_view name) const -> service_definition const*;
    [[nodiscard]] auto account_of_key(std::string_view key) const -> client_account const*;
    [[nodiscard]] auto has_accounts() const -> bool { return !accounts_.empty(); }
    [[nodiscard]] auto services() const -> std::vector<service_definition> const& { return services_; }
    [[nodiscard]] auto routes() const -> std::vector<call_route> const& { return routes_; }
    [[nodiscard]] auto limits() const -> caller_limits const& { return limits_; }

private:
    std::uint64_t version_;
    std::vector<call_route> routes_;
    std::vector<service_definition> services_;
    std::vector<client_account> accounts_;
    caller_limits limits_;
    std::unordered_map<std::string, std::size_t> route_index_; // host + prefix
    std::unordered_map<std::string, std::size_t> key_index_;
};

using service_map_ptr = std::shared_ptr<service_map const>;

// Host name of a Host header value, in lower case and without a port.
[[nodiscard]] auto host_name(std::string_view header) -> std::string;

} // namespace hibiscuswall
