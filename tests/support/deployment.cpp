#include "support/deployment.hpp"

#include "support/await_condition.hpp"
#include "support/port_pool.hpp"
#include "support/unprotected.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace hibiscuswall {
namespace {

constexpr auto regions = std::array{"gorenjska", "stajerska", "primorska"};

// Of the source IPs of a region's hosts.
auto source_prefix(std::size_t region) -> std::string
{
    constexpr auto first_network = std::size_t{10}; // 127.0.0.x stays for the test and the platform
    return "127.0." + std::to_string(first_network + region) + ".";
}

auto new_folder() -> std::filesystem::path
{
    static auto number = 0;
    auto path = std::filesystem::temp_directory_path() /
                ("hibiscuswall-test-" + std::to_string(getpid()) + "-" + std::to_string(number++));
    std::filesystem::create_directories(path);
    return path;
}

auto write_json(std::filesystem::path const& path, nlohmann::json const& document) -> void
{
    std::ofstream{path} << document.dump(2) << '\n';
}

} // namespace

auto deployment_options::today() -> deployment_options
{
    auto options = deployment_options{};
    options.entries = 3;
    options.engines = 16;
    options.bookings = 3;
    options.records = 1;
    return options;
}

deployment::deployment(deployment_options options) : options_{std::move(options)}, folder_{new_folder()}
{
    plan_hosts();
}

deployment::~deployment()
{
    // Daemons first: they would log the end of the platform as faults.
    for (auto& host : hosts_)
        host.daemon.kill();
    if (std::getenv("HW_KEEP") != nullptr) {
        std::cerr << "kept " << folder_.string() << '\n';
        return;
    }
    auto ignored = std::error_code{};
    std::filesystem::remove_all(folder_, ignored);
}

auto deployment::with_role(std::string_view role) -> std::vector<deployment_host*>
{
    auto found = std::vector<deployment_host*>{};
    for (auto& host : hosts_)
        if (host.role == role) found.push_back(&host);
    return found;
}

auto deployment::find(std::string_view name) -> deployment_host*
{
    for (auto& host : hosts_)
        if (host.name == name) return &host;
    return nullptr;
}

// ---- start

auto deployment::plan_hosts() -> void
{
    key_value_ = port_pool::next();
    host_list_ = port_pool::next();
    store_ = port_pool::next();
    origin_ = port_pool::next();
    for (auto i = 0; i < options_.engines; ++i)
        add_host("agent", "drafting", i);
    for (auto i = 0; i < options_.bookings; ++i)
        add_host("agent", "booking", i);
    for (auto i = 0; i < options_.records; ++i)
        add_host("agent", "records", i);
    for (auto i = 0; i < options_.entries; ++i)
        add_host("entry", "", i);
}

auto deployment::add_host(std::string const& role, std::string const& service, int number) -> void
{
    auto const domain = static_cast<std::size_t>(number) % failure_domains.size();
    auto host = deployment_host{};
    host.role = role;
    host.service = service;
    host.name = (role == "entry" ? "entry" : service) + "-" + std::to_string(number);
    host.region = regions[domain];
    host.failure_domain = failure_domains[domain];
    host.control = port_pool::next();
    host.advertised = host.control;
    if (options_.link_proxies) host.source = source_prefix(domain) + std::to_string(hosts_.size() + 1);
    if (role == "entry")
        host.client = port_pool::next();
    else
        host.endpoint = port_pool::next();
    host.settings = folder_ / (host.name + ".json");
    hosts_.push_back(std::move(host));
}

auto deployment::start_proxy(std::string const& name, address const& target) -> address
{
    auto place = proxy_place{port_pool::next(), port_pool::next(), {}};
    place.relay = process{"fault-proxy",
                          {"--listen", place.listen.text(), "--target", target.text(), "--control",
                           place.control.text(), "--seed", std::to_string(options_.seed)},
                          folder_ / ("proxy-" + name + ".log")};
    auto const listen = place.listen;
    proxies_[name] = std::move(place);
    return listen;
}

auto deployment::start_platform() -> void
{
    if (options_.link_proxies)
        for (auto& host : hosts_)
            host.advertised = start_proxy("link@" + host.name, host.control);
    auto list = nlohmann::json::array();
    for (auto const& host : hosts_)
        list.push_back({{"name", host.name},
                        {"role", host.role},
                        {"address", host.advertised.text()},
                        {"region", host.region},
                        {"failure_domain", host.failure_domain},
                        {"service", host.service},
                        {"state", "live"}});
    write_json(folder_ / "hosts.json", {{"hosts", list}});

    auto const log = [&](std::string const& name) { return folder_ / (name + ".log"); };
    auto const size = std::to_string(options_.model_bytes);
    auto const weights = [&](address const& where, double rate) {
        return std::vector<std::string>{"--listen",      where.text(),
                                        "--model",       "snow/v1:" + size + ":1",
                                        "--model",       "snow/v2:" + size + ":2",
                                        "--chunk-bytes", std::to_string(options_.chunk_bytes),
                                        "--rate",        std::to_string(rate)};
    };
    platform_["key_value"] = process{"standin-kv", {"--listen", key_value_.text()}, log("key_value")};
    platform_["host_list"] =
        process{"standin-hosts",
                {"--listen", host_list_.text(), "--hosts", (folder_ / "hosts.json").string(), "--lag-ms",
                 std::to_string(options_.host_list_lag_ms)},
                log("host_list")};
    platform_["weight_store"] =
        process{"standin-weights", weights(store_, options_.store_rate), log("weight_store")};
    platform_["origin"] = process{"standin-weights", weights(origin_, options_.origin_rate), log("origin")};
    if (!options_.platform_proxies) return;
    for (auto const* domain : failure_domains) {
        auto const at = std::string{"@"} + domain;
        start_proxy("key_value" + at, key_value_);
        start_proxy("host_list" + at, host_list_);
        start_proxy("weight_store" + at, store_);
        start_proxy("origin" + at, origin_);
    }
}

auto deployment::start_endpoint(deployment_host& host) -> void
{
    auto arguments = std::vector<std::string>{"--listen", host.endpoint.text(), "--seed",
                                              std::to_string(options_.seed + host.endpoint.port)};
    auto const engine = host.service == "drafting";
    if (engine) {
        arguments.insert(arguments.end(), {"--cold-limit", std::to_string(options_.cold_limit), "--fencing",
                                           options_.fencing_enforced ? "enforced" : "ignored"});
    } else {
        arguments.insert(arguments.end(), {"--name", host.service});
    }
    auto const& more = engine ? options_.engine_arguments : options_.service_arguments;
    arguments.insert(arguments.end(), more.begin(), more.end());
    host.endpoint_process = process{engine ? "standin-engine" : "standin-service", arguments,
                                    folder_ / (host.name + "-endpoint.log")};
}

auto deployment::reach(std::string const& service, address const& direct, deployment_host const& host) const
    -> address
{
    auto const found = proxies_.find(service + "@" + host.failure_domain);
    return found == proxies_.end() ? direct : found->second.listen;
}

auto deployment::platform_settings_of(deployment_host const& host) const -> nlohmann::json
{
    return {{"key_value", nlohmann::json::array({reach("key_value", key_value_, host).text()})},
            {"host_list", reach("host_list", host_list_, host).text()},
            {"weight_store", reach("weight_store", store_, host).text()},
            {"origin", reach("origin", origin_, host).text()},
            {"timeout_ms", 1000}};
}

auto deployment::write_settings(deployment_host& host) -> void
{
    auto settings = nlohmann::json{{"name", host.name},
                                   {"region", host.region},
                                   {"failure_domain", host.failure_domain},
                                   {"platform", platform_settings_of(host)},
                                   {"stop", {{"balancer_delay_ms", 300}, {"drain_timeout_ms", 20'000}}},
                                   {"log_level", "info"}};
    if (!host.source.empty()) {
        settings["connect_from"] = host.source;
        settings["advertise"] = host.advertised.text();
    }
    if (host.role == "entry") {
        settings["client_listen"] = host.client.text();
        settings["control_listen"] = host.control.text();
        settings.merge_patch(options_.entry_settings);
    } else {
        auto const direct =
            options_.endpoint_proxies ? start_proxy("endpoint@" + host.name, host.endpoint) : host.endpoint;
        settings["listen"] = host.control.text();
        settings["endpoint"] = {{"type", host.service == "drafting" ? "engine" : "plain"},
                                {"address", direct.text()},
                                {"service", host.service},
                                {"fencing", options_.fencing_enforced ? "enforced" : "ignored"}};
        settings.merge_patch(options_.agent_settings);
    }
    remove_protection(settings, host.role);
    write_json(host.settings, settings);
}

auto deployment::restart_daemon(deployment_host& host) -> void
{
    host.daemon = process{
        host.role == "entry" ? "hibiscus-entry" : "hibiscus-agent",
        {"--settings", host.settings.string(), "--seed", std::to_string(options_.seed + host.control.port)},
        folder_ / (host.name + ".log")};
}

auto deployment::await_path(address const& where, std::string const& path, std::string const& name,
                            time_point deadline) -> bool
{
    auto last = http_response{};
    auto const reached =
        await_condition(std::chrono::duration_cast<milliseconds>(deadline - clock::now()), [&] {
            last = call(where, {"GET", path}, milliseconds{1'000});
            return last.status == 200;
        });
    if (!reached) problem_ = name + " " + path + ": status " + std::to_string(last.status) + " " + last.body;
    return reached;
}

auto deployment::start(milliseconds bound) -> bool
{
    auto const deadline = clock::now() + bound;
    start_platform();
    for (auto const& where : {key_value_, host_list_, store_, origin_})
        if (!await_path(where, "/readyz", "platform", deadline)) return false;
    for (auto& host : hosts_) {
        write_settings(host);
        if (host.role == "agent") start_endpoint(host);
        restart_daemon(host);
    }
    if (!await_path(entries().front()->control, "/healthz", "entry-0", deadline)) return false;
    auto const applied = apply(default_resources());
    if (applied.status != 200) {
        problem_ = "apply: status " + std::to_string(applied.status) + " " + applied.body;
        return false;
    }
    for (auto const& host : hosts_)
        if (!await_path(host.control, "/readyz", host.name, deadline)) return false;
    return true;
}

// ---- links

auto deployment::fault_link(std::string const& target, std::string const& source, nlohmann::json faults)
    -> void
{
    if (!source.empty()) faults["source"] = source;
    call_json(proxy("link@" + target), "POST", "/v1/faults", faults);
}

auto deployment::cut_region(std::string const& region) -> void
{
    for (auto const& host : hosts_) {
        for (auto i = std::size_t{0}; i < regions.size(); ++i)
            if (host.region != regions[i] && (host.region == region || region == regions[i]))
                fault_link(host.name, source_prefix(i), {{"stall", true}});
        if (host.region != region) continue;
        for (auto const* service : {"key_value", "host_list", "weight_store", "origin"})
            call_json(proxy(service + ("@" + host.failure_domain)), "POST", "/v1/faults", {{"stall", true}});
    }
}

auto deployment::heal_links() -> void
{
    for (auto const& [name, place] : proxies_)
        call(place.control, {"POST", "/v1/clear"});
}

// ---- configuration

auto deployment::default_resources() const -> nlohmann::json
{
    auto domains = nlohmann::json::array();
    auto list = nlohmann::json::array();
    auto const add = [&](std::string const& kind, std::string const& name, nlohmann::json const& spec) {
        list.push_back({{"kind", kind}, {"name", name}, {"spec", spec}});
    };
    for (auto i = std::size_t{0}; i < failure_domains.size(); ++i) {
        domains.push_back(failure_domains[i]);
        add("FailureDomain", failure_domains[i], {{"region", regions[i]}, {"state", "in"}});
    }
    auto const limits =
        nlohmann::json{{"cold_limit", unprotected("cold_limit") ? options_.max_limit : options_.cold_limit},
                       {"max_limit", options_.max_limit},
                       {"queue_limit", 64}};
    auto const service = [&](std::string const& name, std::string const& type, nlohmann::json const& routes) {
        auto spec = limits;
        spec["type"] = type;
        if (!routes.empty()) spec["routes"] = routes; // an engine has none
        add("Service", name, spec);
    };
    auto const route = [](char const* method, char const* priority, bool idempotent) {
        return nlohmann::json{
            {"method", method}, {"path_prefix", "/"}, {"class", priority}, {"idempotent", idempotent}};
    };
    service("drafting", "engine", nlohmann::json::array());
    service("booking", "plain",
            nlohmann::json::array({route("POST", "booking", false), route("GET", "status", true)}));
    service("records", "plain", nlohmann::json::array({route("GET", "status", true)}));
    add("ModelServing", "snow",
        {{"model", "snow"},
         {"adapter", ""},
         {"version", "v1"},
         {"failure_domains", domains},
         {"batch", 1},
         {"service", "drafting"}});
    add("Account", "drustvo", {{"key", "key-drustvo"}, {"weight", 1}});
    add("Account", "guild", {{"key", "key-guild"}, {"weight", 1}});
    return list;
}

auto deployment::apply(nlohmann::json const& resources) -> http_response
{
    auto request = http_request{"POST", "/v1/apply"};
    request.body = nlohmann::json{{"resources", resources}}.dump();
    return call(entries().front()->control, std::move(request));
}

auto deployment::set_failure_domain(std::string const& name, bool in_service) -> http_response
{
    for (auto resource : default_resources()) {
        if (resource["kind"] != "FailureDomain" || resource["name"] != name) continue;
        resource["spec"]["state"] = in_service ? "in" : "out";
        return apply(nlohmann::json::array({resource}));
    }
    return {0, {}, "no such failure domain"};
}

auto deployment::set_version(std::string const& version) -> http_response
{
    for (auto resource : default_resources()) {
        if (resource["kind"] != "ModelServing") continue;
        resource["spec"]["version"] = version;
        return apply(nlohmann::json::array({resource}));
    }
    return {0, {}, "no ModelServing"};
}

} // namespace hibiscuswall
