#pragma once
// The platform's host list: live and leaving hosts, with a lag (docs/platform.md).
//
//   auto hosts = co_await host_list.hosts();      // member.state is alive or leaving

#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/membership/member.hpp"

#include <vector>

namespace hibiscuswall {

class host_list_client {
public:
    host_list_client(http_client& client, address where, milliseconds timeout)
        : client_{client}, where_{std::move(where)}, timeout_{timeout}
    {
    }

    // Entries that cannot be parsed are left out.
    auto hosts() -> asio::awaitable<result<std::vector<member>>>;

private:
    http_client& client_;
    address where_;
    milliseconds timeout_;
};

} // namespace hibiscuswall
