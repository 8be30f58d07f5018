#include "hibiscuswall/fleet/agent_list.hpp"

#include "hibiscuswall/core/checked_json.hpp"
#include "hibiscuswall/serving/endpoint_table.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <set>

namespace hibiscuswall {
namespace {

constexpr auto list_path = std::string_view{"/fleet/agents"};
constexpr auto connect_timeout = milliseconds{300};
constexpr auto fetch_timeout = milliseconds{500}; // for a few kilobytes from a host nearby
constexpr auto max_agents = std::size_t{20'000};

auto agents_of(endpoint_table const& endpoints, std::string_view service) -> std::vector<listed_agent>
{
    auto agents = std::vector<listed_agent>{};
    // After a loss of power, the record of an engine's former run remains until its lease ends.
    auto addresses = std::set<std::string_view>{};
    for (auto const& [id, endpoint] : endpoints.all()) {
        auto const& record = endpoint->record;
        if (record.service != service || !addresses.insert(record.where.ip).second) continue;
        agents.push_back({record.where.ip, record.failure_domain});
    }
    return agents;
}

auto is_address(std::string const& ip) -> bool
{
    auto code = boost::system::error_code{};
    asio::ip::make_address_v4(ip, code);
    return !code;
}

} // namespace

auto encode(std::vector<listed_agent> const& agents) -> std::string
{
    auto by_domain = nlohmann::json::object();
    for (auto const& agent : agents)
        by_domain[agent.failure_domain].push_back(agent.ip);
    return by_domain.dump();
}

auto decode_agent_list(std::string_view text) -> result<std::vector<listed_agent>>
{
    try {
        auto agents = std::vector<listed_agent>{};
        auto const by_domain = parse_bounded(text).get<std::map<std::string, std::vector<std::string>>>();
        for (auto const& [domain, addresses] : by_domain)
            for (auto const& ip : addresses) {
                if (!is_address(ip) || agents.size() >= max_agents)
                    return fail(result_code::response_malformed, "list of agents: " + ip.substr(0, 40));
                agents.push_back({ip, domain});
            }
        return agents;
    } catch (std::exception const& problem) {
        return fail(result_code::response_malformed, "list of agents: " + short_reason(problem));
    }
}

auto add_agent_list_route(http_router& control, endpoint_table const& endpoints,
                          std::function<bool()> is_known) -> void
{
    control.add("GET", list_path,
                [&endpoints, is_known = std::move(is_known)](http_request const& request,
                                                             http_responder& out) -> asio::awaitable<void> {
                    auto response = http_response{503, {}, ""};
                    if (is_known())
                        response = json_response(200, encode(agents_of(endpoints, request.query("service"))));
                    co_await out.send(std::move(response));
                });
}

auto fetch_agent_list(http_client& client, address entry, std::string service)
    -> asio::awaitable<result<std::vector<listed_agent>>>
{
    auto options = http_call_options{};
    options.connect_timeout = connect_timeout;
    options.timeout = fetch_timeout;
    options.purpose = "agent_list";
    auto const target = std::string{list_path} + "?service=" + percent_encode(service);
    auto const response = co_await client.fetch(entry, {"GET", target}, options);
    if (!response) co_return response.error();
    if (response.value().status != 200)
        co_return fail(result_code::store_unavailable,
                       entry.text() + ": status " + std::to_string(response.value().status));
    co_return decode_agent_list(response.value().body);
}

} // namespace hibiscuswall
