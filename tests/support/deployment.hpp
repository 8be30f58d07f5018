#pragma once
// A whole system on 127.0.0.1: stand-ins, agents beside their endpoints and entries, in three failure
// domains.
//
//   auto options = deployment_options{};
//   options.engines = 3;
//   auto system = deployment{options};
//   CHECK(system.start());                       // applies default_resources() and waits until all are ready
//   auto answer = call_completion(system.entries()[0].client, "key-gor", "snow", "survey note", 8);
//   system.find("engine-0")->daemon.send_signal(SIGTERM);
//   call_json(system.proxy("key_value@gor-a"), "POST", "/v1/faults", {{"stall", true}});
//
// Hosts are dealt to the failure domains in turn. The folder with settings and logs is removed at the end; it
// is kept, and its path printed, when HW_KEEP is set.

#include "support/http_caller.hpp"
#include "support/process.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace hibiscuswall {

struct deployment_options {
    int entries = 2;
    int engines = 3;  // drafting workers: an agent and an engine each
    int bookings = 0; // agents beside the plain service "booking"
    int records = 0;  // agents beside the plain service "records"

    std::size_t model_bytes = 1'000'000;  // of snow/v1 and snow/v2, which share no chunk
    std::size_t chunk_bytes = 128 * 1024; // of weights
    double store_rate = 0;                // bytes/s of the weight store; 0: unlimited
    double origin_rate = 0;
    int cold_limit = 2; // of engines and in the Service resources
    int max_limit = 8;
    int host_list_lag_ms = 0;
    bool fencing_enforced = true;
    bool platform_proxies = false; // a fault proxy before each platform service for each failure domain
    bool endpoint_proxies = false; // a fault proxy between each agent and its endpoint
    bool link_proxies = false; // a fault proxy before each daemon's control or forward listener, and an own
                               // source IP for each daemon, so that links can be cut by caller

    std::vector<std::string> engine_arguments{"--token-ms", "5", "--prefill-ms", "5"};
    std::vector<std::string> service_arguments{"--service-ms", "5"};
    nlohmann::json entry_settings = nlohmann::json::object(); // merged over the written settings
    nlohmann::json agent_settings = nlohmann::json::object();
    std::uint64_t seed = 1;

    // Three entries, 16 drafting engines, 3 booking and 1 records services.
    static auto today() -> deployment_options;
};

struct deployment_host {
    std::string name;
    std::string role; // "entry" or "agent"
    std::string region;
    std::string failure_domain;
    std::string service;            // of an agent: "drafting", "booking" or "records"
    address client;                 // of an entry
    address control;                // of an agent: its listener
    address advertised;             // where peers reach it: control, or the proxy before it
    std::string source;             // IP of its outgoing connections; empty: chosen by the kernel
    address endpoint;               // of an agent: engine or service
    std::filesystem::path settings; // file
    process daemon;
    process endpoint_process;
};

class deployment {
public:
    static constexpr auto failure_domains = std::array{"gor-a", "sta-a", "pri-a"};

    explicit deployment(deployment_options options);
    ~deployment();
    deployment(deployment const&) = delete;
    auto operator=(deployment const&) -> deployment& = delete;

    // Starts everything, applies default_resources() and waits for /readyz of all daemons; false when that
    // failed: problem() says what.
    auto start(milliseconds bound = milliseconds{20'000}) -> bool;
    [[nodiscard]] auto problem() const -> std::string const& { return problem_; }

    [[nodiscard]] auto hosts() -> std::vector<deployment_host>& { return hosts_; }
    [[nodiscard]] auto entries() -> std::vector<deployment_host*> { return with_role("entry"); }
    [[nodiscard]] auto agents() -> std::vector<deployment_host*> { return with_role("agent"); }
    [[nodiscard]] auto find(std::string_view name) -> deployment_host*;

    // Starts a host's daemon again after it ended.
    auto restart_daemon(deployment_host& host) -> void;

    // ---- links (with link_proxies and platform_proxies)

    // Cuts a region from the other regions and the platform, both ways: connections hang. What was under way
    // arrives late, after heal_links().
    auto cut_region(std::string const& region) -> void;
    // Faults on the way to a host's listener, for callers whose IP begins with source.
    auto fault_link(std::string const& target, std::string const& source, nlohmann::json faults) -> void;
    auto heal_links() -> void;

    // ---- configuration
    [[nodiscard]] auto default_resources() const -> nlohmann::json;
    auto apply(nlohmann::json const& resources) -> http_response; // at the first entry
    auto set_failure_domain(std::string const& name, bool in_service) -> http_response;
    auto set_version(std::string const& version) -> http_response; // of snow, everywhere

    // ---- platform
    [[nodiscard]] auto key_value() const -> address { return key_value_; }
    [[nodiscard]] auto host_list() const -> address { return host_list_; }
    [[nodiscard]] auto store() const -> address { return store_; }
    [[nodiscard]] auto origin() const -> address { return origin_; }
    [[nodiscard]] auto platform_process(std::string const& name) -> process& { return platform_[name]; }

    // Control address of a fault proxy: "<service>@<failure domain>" with service key_value, host_list,
    // weight_store or origin, "endpoint@<agent>", or "link@<host>".
    [[nodiscard]] auto proxy(std::string const& name) const -> address { return proxies_.at(name).control; }

private:
    struct proxy_place {
        address listen;
        address control;
        process relay;
    };

    auto with_role(std::string_view role) -> std::vector<deployment_host*>;
    auto plan_hosts() -> void;
    auto add_host(std::string const& role, std::string const& service, int number) -> void;
    auto start_platform() -> void;
    auto start_endpoint(deployment_host& host) -> void;
    auto start_proxy(std::string const& name, address const& target) -> address;
    auto write_settings(deployment_host& host) -> void;
    auto platform_settings_of(deployment_host const& host) const -> nlohmann::json;
    auto reach(std::string const& service, address const& direct, deployment_host const& host) const
        -> address;
    auto await_path(address const& where, std::string const& path, std::string const& name,
                    time_point deadline) -> bool;

    deployment_options options_;
    std::filesystem::path folder_;
    std::vector<deployment_host> hosts_;
    std::map<std::string, proxy_place> proxies_;
    std::map<std::string, process> platform_;
    address key_value_;
    address host_list_;
    address store_;
    address origin_;
    std::string problem_;
};

} // namespace hibiscuswall
