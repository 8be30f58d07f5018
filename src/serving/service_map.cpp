#include "hibiscuswall/serving/service_map.hpp"

#include <algorithm>
#include <cctype>

namespace hibiscuswall {

auto host_name(std::string_view header) -> std::string
{
    auto const colon = header.find(':');
    auto name = std::string{header.substr(0, colon)};
    for (auto& c : name)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return name;
}

service_map::service_map(std::uint64_t version, std::vector<call_route> routes,
                         std::vector<service_definition> services, std::vector<client_account> accounts,
                         caller_limits limits)
    : version_{version}, routes_{std::move(routes)}, services_{std::move(services)},
      accounts_{std::move(accounts)}, limits_{limits}
{
    for (auto i = std::size_t{0}; i < routes_.size(); ++i)
        route_index_.emplace(routes_[i].host + routes_[i].prefix, i);
    for (auto i = std::size_t{0}; i < accounts_.size(); ++i)
        for (auto const& key : accounts_[i].keys)
            key_index_.emplace(key, i);
}

auto service_map::route(std::string_view host, std::string_view path) const -> call_route const*
{
    auto wanted = host_name(host);
    auto const host_size = wanted.size();
    wanted += path;
    // Prefixes end in '/', so only the parts of the path that end in a slash can match.
    for (auto end = wanted.rfind('/'); end != std::string::npos && end >= host_size;) {
        wanted.resize(end + 1);
        auto const found = route_index_.find(wanted);
        if (found != route_index_.end()) return &routes_[found->second];
        if (end == 0) break;
        end = wanted.rfind('/', end - 1);
    }
    return nullptr;
}

auto service_map::service(std::string_view name) const -> service_definition const*
{
    auto const found =
        std::find_if(services_.begin(), services_.end(), [&](auto const& each) { return each.name == name; });
    return found == services_.end() ? nullptr : &*found;
}

auto service_map::account_of_key(std::string_view key) const -> client_account const*
{
    auto const found = key_index_.find(std::string{key});
    return found == key_index_.end() ? nullptr : &accounts_[found->second];
}

} // namespace hibiscuswall
