#include "hibiscuswall/http/http_router.hpp"

#include <algorithm>

namespace hibiscuswall {

auto http_router::add(std::string_view method, std::string_view prefix, http_handler handler) -> void
{
    routes_.push_back({std::string{method}, std::string{prefix}, std::move(handler)});
    std::stable_sort(routes_.begin(), routes_.end(), [](auto const& left, auto const& right) {
        return left.prefix.size() > right.prefix.size();
    });
}

auto http_router::match(std::string_view method, std::string_view path) const -> http_handler const*
{
    for (auto const& entry : routes_) {
        auto const below = entry.prefix.ends_with('/') && path.starts_with(entry.prefix);
        if (!below && path != entry.prefix) continue;
        if (entry.method == "*" || entry.method == method) return &entry.handler;
    }
    return nullptr;
}

} // namespace hibiscuswall
