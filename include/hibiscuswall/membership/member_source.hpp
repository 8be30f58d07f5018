#pragma once
// Read access to the member table for routing, weights and configuration.

#include "hibiscuswall/membership/member.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace hibiscuswall {

class member_source {
public:
    member_source() = default;
    member_source(member_source const&) = delete;
    auto operator=(member_source const&) -> member_source& = delete;
    virtual ~member_source() = default;

    // All known members except this process; dead ones are included until they are removed.
    [[nodiscard]] virtual auto members() const -> std::vector<member> = 0;

    [[nodiscard]] virtual auto find(std::string_view name) const -> member const* = 0;

    // Called on the network thread after a member was added or changed state or incarnation; not on removal.
    virtual auto subscribe(std::function<void(member const&)> changed) -> void = 0;
};

} // namespace hibiscuswall
