#include "hibiscuswall/config/config_view.hpp"

#include <algorithm>

namespace hibiscuswall {

auto config_view::in_service(std::string_view host, std::string_view failure_domain) const -> bool
{
    if (auto const found = hosts.find(host); found != hosts.end() && !found->second.in_service) return false;
    auto const found = failure_domains.find(failure_domain);
    return found == failure_domains.end() || found->second.in_service;
}

auto config_view::account_by_key(std::string_view key) const -> account_resource const*
{
    auto const found = std::find_if(accounts.begin(), accounts.end(),
                                    [&](auto const& entry) { return entry.second.key == key; });
    return found == accounts.end() || key.empty() ? nullptr : &found->second;
}

auto config_view::serving_of_model(std::string_view model) const -> model_serving const*
{
    auto const found = std::find_if(servings.begin(), servings.end(),
                                    [&](auto const& entry) { return entry.second.model == model; });
    return found == servings.end() ? nullptr : &found->second;
}

auto config_view::serving_of_service(std::string_view service, std::string_view failure_domain) const
    -> model_serving const*
{
    for (auto const& [name, serving] : servings) {
        auto const& domains = serving.failure_domains;
        auto const serves_domain = std::find(domains.begin(), domains.end(), failure_domain) != domains.end();
        if (serves_domain && serving.service == service) return &serving;
    }
    return nullptr;
}

auto config_view::route_for(service_resource const& service, std::string_view method,
                            std::string_view path) const -> route_rule const*
{
    route_rule const* longest_match = nullptr;
    for (auto const& rule : service.routes) {
        if (rule.method != "*" && rule.method != method) continue;
        if (!path.starts_with(rule.path_prefix)) continue;
        if (longest_match == nullptr || rule.path_prefix.size() > longest_match->path_prefix.size())
            longest_match = &rule;
    }
    return longest_match;
}

} // namespace hibiscuswall
