#include "hibiscuswall/platform/host_list_client.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {

auto host_list_client::hosts() -> asio::awaitable<result<std::vector<member>>>
{
    auto options = http_call_options{};
    options.timeout = timeout_;
    options.connect_timeout = timeout_;
    options.purpose = "host_list";
    auto response = co_await client_.fetch(address_, {"GET", "/v1/hosts", {}, {}}, options);
    if (!response) co_return response.error();
    auto const body = nlohmann::json::parse(response.value().body, nullptr, false);
    if (response.value().status != 200 || !body.is_object() || !body.contains("hosts") ||
        !body["hosts"].is_array())
        co_return fail(result_code::response_malformed,
                       "host list: expected HTTP status 200 and an array of hosts, got status " +
                           std::to_string(response.value().status));

    auto list = std::vector<member>{};
    for (auto const& item : body["hosts"]) {
        if (!item.is_object()) continue;
        auto host = item;
        host["incarnation"] =
            item.value("incarnation", std::uint64_t{0}); // the platform does not send incarnations
        if (auto parsed = member_from_json(host)) list.push_back(*parsed);
    }
    co_return list;
}

} // namespace hibiscuswall
