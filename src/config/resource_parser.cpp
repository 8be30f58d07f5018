#include "hibiscuswall/config/resource_parser.hpp"

#include "hibiscuswall/core/settings_reader.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace hibiscuswall {
namespace {

constexpr auto max_name_bytes = std::size_t{63};              // bytes
constexpr auto max_requests = 100'000LL;                      // sanity limit of concurrency limits and queues
constexpr auto max_unconfirmed_upper_bound_ms = 86'400'000LL; // one day in ms

auto is_valid_name(std::string_view name) -> bool
{
    auto const allowed = [](unsigned char c) {
        return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-' || c == '.' || c == '_';
    };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::isalnum(static_cast<unsigned char>(name[0])) &&
           std::all_of(name.begin(), name.end(), allowed);
}

auto read_required_state(settings_reader& reader) -> bool
{
    if (!reader.has("state")) reader.complain("state", "is required");
    return reader.choice("state", "in", {"in", "out"}) == "in";
}

auto parse_serving(std::string const& name, settings_reader& reader) -> resource
{
    auto serving = model_serving{};
    serving.name = name;
    serving.model = reader.text("model");
    serving.adapter = reader.text("adapter", "");
    serving.version = reader.text("version");
    serving.service = reader.text("service");
    serving.failure_domains = reader.texts("failure_domains");
    if (serving.failure_domains.empty()) reader.complain("failure_domains", "must name at least one");
    auto sorted = serving.failure_domains;
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end())
        reader.complain("failure_domains", "names one failure domain twice");
    // 0 means not declared; config_document::view() replaces it by Policy.activation_batch.
    serving.batch = reader.has("batch") ? static_cast<int>(reader.integer("batch", 1, 1, max_requests)) : 0;
    return serving;
}

auto parse_failure_domain(std::string const& name, settings_reader& reader) -> resource
{
    auto domain = failure_domain_resource{};
    domain.name = name;
    domain.region = reader.text("region");
    domain.in_service = read_required_state(reader);
    return domain;
}

auto parse_host(std::string const& name, settings_reader& reader) -> resource
{
    return host_resource{name, read_required_state(reader)};
}

auto parse_route(nlohmann::json const& item, std::string const& path, std::vector<std::string>& errors)
    -> route_rule
{
    auto rule = route_rule{};
    auto reader = settings_reader{item, path, errors};
    rule.method = reader.choice("method", "*", {"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});
    rule.path_prefix = reader.text("path_prefix");
    if (!rule.path_prefix.empty() && rule.path_prefix.front() != '/')
        reader.complain("path_prefix", "must begin with '/'");
    if (!reader.has("class")) reader.complain("class", "is required");
    auto const name =
        reader.choice("class", "drafting", {request_class_names.begin(), request_class_names.end()});
    rule.priority = request_class_from_text(name).value_or(rule.priority);
    rule.idempotent = reader.boolean("idempotent", false);
    reader.finish();
    return rule;
}

auto parse_service(std::string const& name, nlohmann::json const& spec, settings_reader& reader,
                   std::string const& path, std::vector<std::string>& errors) -> resource
{
    auto service = service_resource{};
    service.name = name;
    if (!reader.has("type")) reader.complain("type", "is required");
    auto const type = reader.choice("type", "engine", {"engine", "plain"});
    service.type = type == "plain" ? service_type::plain : service_type::engine;
    service.cold_limit = static_cast<int>(reader.integer("cold_limit", service.cold_limit, 1, max_requests));
    service.max_limit = static_cast<int>(reader.integer("max_limit", service.max_limit, 1, max_requests));
    service.queue_limit =
        static_cast<int>(reader.integer("queue_limit", service.queue_limit, 0, max_requests));
    if (service.cold_limit > service.max_limit) reader.complain("cold_limit", "is above max_limit");
    if (!spec.is_object() || !spec.contains("routes")) {
        if (type == "plain") reader.complain("routes", "is required for a plain service");
        return service;
    }
    if (type == "engine" && !spec["routes"].empty())
        reader.complain("routes", "is only allowed for a plain service");
    auto const& routes = spec["routes"];
    if (!routes.is_array()) {
        reader.complain("routes", "must be a list");
        return service;
    }
    for (auto i = std::size_t{0}; i < routes.size(); ++i)
        service.routes.push_back(parse_route(routes[i], path + ".routes[" + std::to_string(i) + "]", errors));
    return service;
}

auto parse_account(std::string const& name, settings_reader& reader) -> resource
{
    auto account = account_resource{};
    account.name = name;
    account.key = reader.text("key");
    account.weight = reader.number("weight", account.weight, 0.001, 1'000'000.0);
    return account;
}

auto parse_policy(std::string const& name, settings_reader& reader) -> resource
{
    auto policy = policy_resource{};
    policy.name = name;
    policy.max_unconfirmed =
        milliseconds{reader.integer("max_unconfirmed_ms", 0, 0, max_unconfirmed_upper_bound_ms)};
    policy.retry_budget_ratio = reader.number("retry_budget_ratio", policy.retry_budget_ratio, 0.0, 1.0);
    policy.allow_account_header = reader.boolean("allow_account_header", false);
    policy.activation_batch = static_cast<int>(reader.integer("activation_batch", 1, 1, max_requests));
    return policy;
}

auto parse_spec(std::string const& kind, std::string const& name, nlohmann::json const& spec,
                std::string const& path, std::vector<std::string>& errors) -> resource
{
    auto fields =
        spec; // settings_reader cannot read lists of objects, so parse_service() reads the routes itself
    if (kind == "Service" && fields.is_object()) fields.erase("routes");
    auto reader = settings_reader{fields, path, errors};
    auto value = [&]() -> resource {
        if (kind == "ModelServing") return parse_serving(name, reader);
        if (kind == "FailureDomain") return parse_failure_domain(name, reader);
        if (kind == "Host") return parse_host(name, reader);
        if (kind == "Service") return parse_service(name, spec, reader, path, errors);
        if (kind == "Account") return parse_account(name, reader);
        return parse_policy(name, reader);
    }();
    reader.finish();
    return value;
}

} // namespace

auto is_resource_kind(std::string_view kind) -> bool
{
    constexpr auto kinds = std::array<std::string_view, 6>{"ModelServing", "FailureDomain", "Host",
                                                           "Service",      "Account",       "Policy"};
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

auto declared_resource::text() const -> std::string
{
    return nlohmann::json{{"kind", kind}, {"name", name}, {"spec", spec}}.dump();
}

auto parse_resource(nlohmann::json const& document, std::string const& path, std::vector<std::string>& errors)
    -> std::optional<declared_resource>
{
    auto const error_count_before = errors.size();
    auto const prefix = path.empty() ? std::string{} : path + ".";
    if (!document.is_object()) {
        errors.push_back((path.empty() ? "resource" : path) + ": must be an object");
        return std::nullopt;
    }
    auto reader = settings_reader{document, path, errors};
    auto parsed = declared_resource{};
    parsed.kind = reader.text("kind");
    parsed.name = reader.text("name");
    auto const has_spec = reader.has("spec");
    auto const spec = reader.child("spec"); // marks the field as read
    reader.finish();
    if (!parsed.kind.empty() && !is_resource_kind(parsed.kind))
        errors.push_back(prefix + "kind: unknown kind \"" + parsed.kind + "\"");
    if (!parsed.name.empty() && !is_valid_name(parsed.name))
        errors.push_back(prefix + "name: must be 1 to 63 lower-case letters, digits, '-', '.' or '_'");
    if (parsed.kind == "Policy" && !parsed.name.empty() && parsed.name != "default")
        errors.push_back(prefix + "name: the only Policy is named \"default\"");
    if (!has_spec) errors.push_back(prefix + "spec: is required");
    if (errors.size() != error_count_before) return std::nullopt;
    parsed.spec = document["spec"];
    parsed.value = parse_spec(parsed.kind, parsed.name, parsed.spec, prefix + "spec", errors);
    if (errors.size() != error_count_before) return std::nullopt;
    return parsed;
}

} // namespace hibiscuswall
