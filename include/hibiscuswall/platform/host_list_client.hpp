#pragma once
// Reads the platform's host list: alive and leaving hosts. The list lags behind
// (docs/platform.md).
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
        : client_{client}, address_{std::move(where)}, timeout_{timeout}
    {
    }

    // Skips list items that cannot be parsed.
    auto hosts() -> asio::awaitable<result<std::vector<member>>>;

private:
    http_client& client_;
    address address_;
    milliseconds timeout_;
};

} // namespace hibiscuswall
