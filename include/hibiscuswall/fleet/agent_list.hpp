#pragma once
// The agents of one service, as entries tell them to agents. Entries follow the endpoint records in the store
// anyway. Their list names addresses only and crosses no link between regions; the records of hundreds of
// endpoints, read from the store by hundreds of agents at the moment at which new weights are declared, fill
// every link out of the store's region for seconds.
//
//   add_agent_list_route(context.control, endpoints, [&] { return has_listing; });       // entry
//   auto agents = co_await fetch_agent_list(client, entry, "chat");                      // agent

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_client.hpp"
#include "hibiscuswall/http/http_router.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

class endpoint_table;

struct listed_agent {
    std::string ip;             // of its engine, and of itself
    std::string failure_domain; // of its host
};

// A JSON object: the IP addresses by failure domain.
[[nodiscard]] auto encode(std::vector<listed_agent> const& agents) -> std::string;

// Errors: response_malformed, also for an address that is none.
[[nodiscard]] auto decode_agent_list(std::string_view text) -> result<std::vector<listed_agent>>;

// Answers GET /fleet/agents?service=NAME; with 503 as long as the endpoints are not known.
auto add_agent_list_route(http_router& control, endpoint_table const& endpoints,
                          std::function<bool()> is_known) -> void;

// Errors: response_malformed, store_unavailable for an entry that does not know the endpoints, and those of
// http_client::fetch().
[[nodiscard]] auto fetch_agent_list(http_client& client, address entry, std::string service)
    -> asio::awaitable<result<std::vector<listed_agent>>>;

} // namespace hibiscuswall
