#include "hibiscuswall/platform/engine_client.hpp"

#include "hibiscuswall/core/checked_json.hpp"
#include "platform/call_headers.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {
namespace {

// The engine responds to a load order only after it has read the weights from the agent.
constexpr auto load_timeout = milliseconds{120'000};
constexpr auto max_calls = 1'000'000; // at one engine

auto to_state(std::string const& text) -> engine_state
{
    if (text == "ready") return engine_state::ready;
    if (text == "warming") return engine_state::warming;
    return engine_state::cold;
}

auto to_status(nlohmann::json const& body) -> engine_status
{
    auto status = engine_status{};
    status.instance = body.value("instance", "");
    status.state = to_state(body.value("state", ""));
    status.model = body.value("model", "");
    status.adapter = body.value("adapter", "");
    status.version = body.value("version", "");
    status.manifest_digest = body.value("manifest_digest", "");
    status.fencing = body.contains("fencing") ? integer_field<std::uint64_t>(body, "fencing") : 0;
    status.running = integer_field(body, "running", 0, max_calls, 0);
    status.queued = integer_field(body, "queued", 0, max_calls, 0);
    status.load_age = duration_field(body, "load_age_ms", milliseconds{0});
    return status;
}

} // namespace

auto engine_client::status() -> asio::awaitable<result<engine_status>>
{
    auto options = http_call_options{};
    options.timeout = timeout_;
    options.connect_timeout = timeout_;
    options.purpose = "endpoint_status";
    auto response = co_await client_.fetch(address_, {"GET", "/v1/status", {}, {}}, options);
    if (!response) co_return response.error();
    if (response.value().status != 200)
        co_return fail(result_code::unexpected_status, "engine status: expected HTTP status 200, got " +
                                                           std::to_string(response.value().status));
    try {
        auto status = to_status(nlohmann::json::parse(response.value().body));
        status.rate = platform::decode_rate(response.value().headers);
        co_return status;
    } catch (std::exception const& problem) {
        co_return fail(result_code::response_malformed, "engine status: " + short_reason(problem));
    }
}

auto engine_client::load(load_order order, time_point send_by) -> asio::awaitable<result<void>>
{
    auto const body = nlohmann::json{{"order", "load"},
                                     {"model", order.model},
                                     {"adapter", order.adapter},
                                     {"version", order.version},
                                     {"manifest_digest", order.manifest_digest},
                                     {"fencing", order.fencing},
                                     {"source", order.source.text()}};
    auto request = http_request{"POST", "/v1/orders", {}, body.dump()};
    request.headers.set("Content-Type", "application/json");
    auto options = http_call_options{};
    options.timeout = load_timeout;
    options.connect_timeout = timeout_;
    options.fresh_connection = true;
    options.send_by = send_by;
    auto response = co_await client_.fetch(address_, std::move(request), options);
    if (!response) co_return response.error();
    if (response.value().status == 409)
        co_return fail(result_code::fencing_outdated,
                       "the engine has seen this or a higher fencing number: " +
                           std::to_string(order.fencing));
    if (response.value().status != 200)
        co_return fail(result_code::load_rejected, "load order: expected HTTP status 200, got " +
                                                       std::to_string(response.value().status) + ": " +
                                                       response.value().body.substr(0, 200));
    co_return success();
}

auto engine_client::cancel(std::string request_id) -> asio::awaitable<result<void>>
{
    auto options = http_call_options{};
    options.timeout = timeout_;
    options.connect_timeout = timeout_;
    auto request = http_request{"POST", "/v1/cancel/" + percent_encode(request_id)};
    auto response = co_await client_.fetch(address_, std::move(request), options);
    if (!response) co_return response.error();
    if (response.value().status != 200 && response.value().status != 404)
        co_return fail(result_code::unexpected_status, "cancel: expected HTTP status 200 or 404, got " +
                                                           std::to_string(response.value().status));
    co_return success();
}

} // namespace hibiscuswall
