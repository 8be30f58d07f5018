#pragma once
// An immutable snapshot of the configuration at one revision, and read access to the newest one.
//
//   auto view = source.current();                 // null until the first configuration was received
//   if (!view->in_service(host, failure_domain)) reject();

#include "hibiscuswall/config/resource.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace hibiscuswall {

struct config_view {
    template<class T>
    using by_name = std::map<std::string, T, std::less<>>;

    std::uint64_t revision = 0; // store revision of the root
    by_name<model_serving> servings;
    by_name<failure_domain_resource> failure_domains;
    by_name<host_resource> hosts;
    by_name<service_resource> services;
    by_name<account_resource> accounts;
    policy_resource policy;

    // Whether neither the host nor its failure domain is declared out of service. Undeclared names are in
    // service.
    [[nodiscard]] auto in_service(std::string_view host, std::string_view failure_domain) const -> bool;

    [[nodiscard]] auto account_by_key(std::string_view key) const -> account_resource const*;

    // Finds the serving of a model, or of a service in a failure domain; null if there is none.
    [[nodiscard]] auto serving_of_model(std::string_view model) const -> model_serving const*;
    [[nodiscard]] auto serving_of_service(std::string_view service, std::string_view failure_domain) const
        -> model_serving const*;

    // Finds the rule that matches the method and has the longest matching path prefix; null if none matches.
    [[nodiscard]] auto route_for(service_resource const& service, std::string_view method,
                                 std::string_view path) const -> route_rule const*;
};

using config_view_ptr = std::shared_ptr<config_view const>;

class config_source {
public:
    config_source() = default;
    config_source(config_source const&) = delete;
    auto operator=(config_source const&) -> config_source& = delete;
    virtual ~config_source() = default;

    // The newest configuration that this process received; null before the first.
    [[nodiscard]] virtual auto current() const -> config_view_ptr = 0;

    // Whether new work may be admitted: a configuration is present, it was confirmed within max_unconfirmed,
    // and it was confirmed after the last pause of this process.
    [[nodiscard]] virtual auto confirmed(time_point now) const -> bool = 0;

    // Registers a callback that runs on the network thread after each newer configuration took effect.
    virtual auto subscribe(std::function<void(config_view const&)> changed) -> void = 0;
};

} // namespace hibiscuswall
