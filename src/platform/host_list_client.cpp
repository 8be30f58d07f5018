#include "hibiscuswall/platform/host_list_client.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {

auto host_list_client::hosts() -> asio::awaitable<result<std::vector<member>>>
{
    auto options = http_call_options{};
    options.timeout = timeout_;
    options.connect_timeout = timeout_;
    options.purpose = "host_list";
    auto answer = co_await client_.fetch(where_, {"GET", "/v1/hosts", {}, {}}, options);
    if (!answer) co_return answer.error();
    auto const body = nlohmann::json::parse(answer.value().body, nullptr, false);
    if (answer.value().status != 200 || !body.is_object() || !body.contains("hosts") ||
        !body["hosts"].is_array())
        co_return fail(result_code::response_malformed,
                       "host list: status " + std::to_string(answer.value().status));

    auto list = std::vector<member>{};
    for (auto const& item : body["hosts"]) {
        if (!item.is_object()) continue;
        auto entry = item;
        entry["incarnation"] =
            item.value("incarnation", std::uint64_t{0}); // the platform knows no incarnations
        if (auto parsed = member_from_json(entry)) list.push_back(*parsed);
    }
    co_return list;
}

} // namespace hibiscuswall
