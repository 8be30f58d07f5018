#pragma once
// The operators' configuration as the serving path uses it: routes, services and client accounts, immutable.
//
//   auto map = service_map{version, routes, services, accounts, limits};
//   auto const* route = map.route("a.example", "/x/y/z");    // null: no route covers the path
//   auto const* holder = map.account_of_key(key);            // null: no account holds the key
//
// Among the routes of a host, the longest prefix that starts the path wins. A prefix starts and ends with
// '/'.

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
    non_idempotent, // may run once at most
    stream,         // answered by server-sent events; may run again only where the route says so
};

struct weighted_service {
    std::string name;    // service that takes this part of the calls
    double weight = 1.0; // relative to the other parts of the route
};

struct call_route {
    std::string name;                       // unique in the configuration
    std::string host;                       // lower case, without a port
    std::string prefix;                     // starts and ends with '/'
    call_kind kind = call_kind::idempotent; // what may be repeated
    bool resumable = false;                 // a stream may go on at another endpoint
    bool requires_key = true;               // false: open to callers without a key
    int max_attempts = 1;                   // endpoints that one call may be sent to
    int priority = 0;                       // 0 is the most urgent
    milliseconds timeout{60'000};           // longest time that a call may be kept waiting
    milliseconds target_latency{1'000};     // first event or whole answer
    milliseconds target_gap{0};             // longest pause between two events; 0: none stated
    std::vector<weighted_service> services; // at least one
    std::vector<std::string> regions;       // regions that may serve it; empty: all

    [[nodiscard]] auto is_retryable() const -> bool
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
};

// What an engine can do, as its service declares it. Times hold for an engine of pace 1.
struct engine_profile {
    std::string model;                 // the model that it serves
    int slots = 1;                     // requests in one batch
    int layers = 1;                    // of the model
    std::size_t chunks = 0;            // of one copy of the weights
    std::size_t chunk_bytes = 0;       // size of each
    double layer_mb = 0;               // memory of one layer
    double memory_mb = 0;              // for layers and requests
    double step_ms = 0;                // one token for each running request
    double step_per_request_ms = 0;    // added for each running request
    double step_per_context_k_ms = 0;  // added for 1,000 tokens of context
    int steps_per_pass = 1;            // while any request writes
    double prompt_tokens_per_ms = 1;   // reading of prompts
    int prompt_tokens_per_pass = 2048; // most that one pass reads
    double mean_prompt_tokens = 0;     // mean of the service's calls
    double mean_response_tokens = 0;   // mean of the service's calls
    milliseconds load_duration{0};     // from the order to the loaded weights
    [[nodiscard]] auto copy_bytes() const -> std::size_t { return chunks * chunk_bytes; }
};

struct service_definition {
    std::string name;                     // unique in the configuration
    int max_connections = 0;              // each endpoint accepts from all callers together
    milliseconds cold_duration{0};        // after an endpoint's start
    double max_cold_rate = 0;             // calls a second that a cold endpoint bears; 0: no limit
    std::optional<engine_profile> engine; // none: a plain service
    std::optional<address> weight_origin; // where weights come from; such a service takes no calls
    std::string origin_failure_domain;    // failure domain of the origin
};

struct client_account {
    std::string name;                 // told to endpoints
    std::vector<std::string> keys;    // any of them names the account
    std::optional<int> priority;      // goes before the route's
    std::vector<std::string> regions; // regions that may serve it; empty: all
};

struct caller_limits {
    std::size_t header_bytes = 16 * 1024;     // of one request
    std::size_t body_bytes = 4 * 1024 * 1024; // of one request
    milliseconds header_timeout{3'000};       // first byte to the end of the header
    milliseconds idle_timeout{15'000};        // of a kept connection
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

// Host of a Host header: lower case, without a port.
[[nodiscard]] auto host_name(std::string_view header) -> std::string;

} // namespace hibiscuswall
