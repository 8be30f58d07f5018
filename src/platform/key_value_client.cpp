#include "hibiscuswall/platform/key_value_client.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

auto key_target(std::string_view key, std::optional<std::uint64_t> expect) -> std::string
{
    auto target = "/v1/kv/" + percent_encode(key);
    if (expect) target += "?expect=" + std::to_string(*expect);
    return target;
}

// Claims belong to requests; everything else is control.
auto purpose_of(std::string_view target) -> std::string_view
{
    if (target.substr(0, 9) == "/v1/watch") return "key_value_watch";
    return target.substr(0, 13) == "/v1/kv/claims" ? "claims" : "key_value";
}

auto to_entry(http_response&& answer) -> key_value_entry
{
    auto const revision = static_cast<std::uint64_t>(answer.headers.number("X-Revision", 0));
    return {std::move(answer.body), revision};
}

auto unexpected(http_response const& answer) -> error
{
    return fail(result_code::store_unavailable, "key-value service: status " + std::to_string(answer.status));
}

} // namespace

key_value_client::key_value_client(http_client& client, std::vector<address> where, milliseconds timeout)
    : client_{client}, where_{std::move(where)}, timeout_{timeout}
{
}

auto key_value_client::ask(http_request request, milliseconds timeout, bool is_write)
    -> asio::awaitable<result<http_response>>
{
    auto options = http_call_options{};
    options.connect_timeout = timeout_;
    options.timeout = timeout;
    options.fresh_connection = is_write;
    options.purpose = purpose_of(request.target);
    auto last = fail(result_code::store_unavailable, "key-value service: no address");
    for (auto tried = std::size_t{0}; tried < where_.size(); ++tried) {
        auto const index = (preferred_ + tried) % where_.size();
        auto answer = co_await client_.fetch(where_[index], request, options);
        if (answer && answer.value().status != 503) {
            preferred_ = index;
            co_return answer;
        }
        auto const sent = answer || answer.error().code != result_code::connect_failed;
        auto const refused = answer && answer.value().status == 503; // the service says that it did nothing
        if (is_write && sent && !refused)
            co_return fail(result_code::write_outcome_unknown, answer.error().message);
        last = fail(result_code::store_unavailable,
                    answer ? "key-value service: status 503" : answer.error().message);
    }
    co_return last;
}

auto key_value_client::find(std::string key) -> asio::awaitable<result<std::optional<key_value_entry>>>
{
    auto answer = co_await ask({"GET", key_target(key, std::nullopt), {}, {}}, timeout_, false);
    if (!answer) co_return answer.error();
    if (answer.value().status == 404) co_return std::optional<key_value_entry>{};
    if (answer.value().status != 200) co_return unexpected(answer.value());
    co_return std::optional{to_entry(std::move(answer).value())};
}

auto key_value_client::put(std::string key, std::string value, std::optional<std::uint64_t> expect)
    -> asio::awaitable<result<std::uint64_t>>
{
    auto answer = co_await ask({"PUT", key_target(key, expect), {}, std::move(value)}, timeout_, true);
    if (!answer) co_return answer.error();
    auto const body = nlohmann::json::parse(answer.value().body, nullptr, false);
    auto const revision = body.is_object() ? body.value("revision", std::uint64_t{0}) : 0;
    if (answer.value().status == 409)
        co_return fail(result_code::revision_conflict, key + " is at revision " + std::to_string(revision));
    if (answer.value().status == 413)
        co_return fail(result_code::resource_invalid, key + ": value over 1 MB");
    if (answer.value().status != 200)
        co_return fail(result_code::write_outcome_unknown,
                       "key-value service: status " + std::to_string(answer.value().status));
    co_return revision;
}

auto key_value_client::erase(std::string key, std::optional<std::uint64_t> expect)
    -> asio::awaitable<result<void>>
{
    auto answer = co_await ask({"DELETE", key_target(key, expect), {}, {}}, timeout_, true);
    if (!answer) co_return answer.error();
    if (answer.value().status == 409) co_return fail(result_code::revision_conflict, key);
    if (answer.value().status != 200 && answer.value().status != 404) co_return unexpected(answer.value());
    co_return success();
}

auto key_value_client::list(std::string prefix) -> asio::awaitable<result<std::vector<key_value_listing>>>
{
    auto answer = co_await ask({"GET", "/v1/list?prefix=" + percent_encode(prefix), {}, {}}, timeout_, false);
    if (!answer) co_return answer.error();
    if (answer.value().status != 200) co_return unexpected(answer.value());
    auto const body = nlohmann::json::parse(answer.value().body, nullptr, false);
    auto list = std::vector<key_value_listing>{};
    if (!body.is_object() || !body.contains("keys") || !body["keys"].is_array()) co_return list;
    for (auto const& item : body["keys"])
        list.push_back({item.value("key", std::string{}), item.value("revision", std::uint64_t{0})});
    co_return list;
}

auto key_value_client::watch(std::string key, std::uint64_t after, milliseconds wait)
    -> asio::awaitable<result<std::optional<key_value_entry>>>
{
    auto target = "/v1/watch?key=" + percent_encode(key) + "&after=" + std::to_string(after) +
                  "&wait_ms=" + std::to_string(wait.count());
    auto answer = co_await ask({"GET", std::move(target), {}, {}}, wait + timeout_, false);
    if (!answer) co_return answer.error();
    if (answer.value().status == 204) co_return std::optional<key_value_entry>{};
    if (answer.value().status != 200) co_return unexpected(answer.value());
    co_return std::optional{to_entry(std::move(answer).value())};
}

} // namespace hibiscuswall
