#include "hibiscuswall/calls/caller_call.hpp"

#include "hibiscuswall/core/sha256.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto services_prefix = std::string_view{"/v1/services/"};
constexpr auto completions_path = std::string_view{"/v1/completions"};
constexpr auto max_key_bytes = std::size_t{200}; // The key is stored with each claim, so its size is bounded.

auto read_account(http_request const& request, config_view const& view) -> result<std::string>
{
    constexpr auto scheme = std::string_view{"Bearer "};
    auto const authorization = request.headers.find("Authorization");
    if (authorization.starts_with(scheme)) {
        auto const* account = view.account_by_key(authorization.substr(scheme.size()));
        if (account != nullptr) return account->name;
    }
    auto const account_name = request.headers.find("X-Account");
    if (view.policy.allow_account_header && !account_name.empty()) {
        if (auto const found = view.accounts.find(account_name); found != view.accounts.end())
            return found->second.name;
    }
    return fail(result_code::unknown_account, "Authorization: no Account resource has this key");
}

auto read_completion(http_request const& request, config_view const& view, caller_call& call) -> result<void>
{
    auto const body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) return fail(result_code::request_malformed, "body: expected a JSON object");
    auto const text = [&](char const* field) {
        auto const found = body.find(field);
        return found != body.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    call.query.model = text("model");
    call.query.prefix = text("prompt");
    if (call.query.model.empty())
        return fail(result_code::request_malformed, "body: model is missing or not a non-empty string");
    if (call.query.prefix.empty())
        return fail(result_code::request_malformed, "body: prompt is missing or not a non-empty string");
    auto const* serving = view.serving_of_model(call.query.model);
    if (serving == nullptr)
        return fail(result_code::unknown_model, "no ModelServing resource has the model " + call.query.model);
    call.target = std::string{completions_path};
    if (auto const service = view.services.find(serving->service); service != view.services.end())
        if (auto const* rule = view.route_for(service->second, request.method, call.target))
            call.priority = rule->priority;
    return success();
}

auto read_service_call(http_request const& request, config_view const& view, caller_call& call)
    -> result<void>
{
    auto const service_path = std::string_view{request.target}.substr(services_prefix.size());
    auto const end = std::min(service_path.find_first_of("/?"), service_path.size());
    call.query.service = std::string{service_path.substr(0, end)};
    call.target = std::string{service_path.substr(end)};
    if (!call.target.starts_with('/')) call.target.insert(0, "/");
    auto const found = view.services.find(call.query.service);
    if (found == view.services.end() || found->second.type != service_type::plain)
        return fail(result_code::unknown_service,
                    "no Service resource of type plain has the name " + call.query.service);
    auto const path = std::string_view{call.target}.substr(0, call.target.find('?'));
    auto const* rule = view.route_for(found->second, request.method, path);
    if (rule == nullptr)
        return fail(result_code::unknown_service, call.query.service +
                                                      ": the Service resource has no route for " +
                                                      request.method + " " + std::string{path});
    call.priority = rule->priority;
    call.idempotent = rule->idempotent;
    return success();
}

auto read_idempotency_key(http_request const& request, caller_call& call) -> result<void>
{
    auto const key = request.headers.find("Idempotency-Key");
    if (key.empty() || call.idempotent) return success();
    auto const printable = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (key.size() > max_key_bytes || !printable)
        return fail(result_code::request_malformed,
                    "Idempotency-Key: expected 1 to 200 printable ASCII characters without spaces");
    call.idempotency_key = std::string{key};
    auto hasher = sha256_hasher{};
    hasher.update(call.method + " " + call.target + "\n");
    hasher.update(call.body);
    call.digest = hasher.finish();
    return success();
}

} // namespace

auto read_caller_call(http_request const& request, config_view const& view, call_settings const& settings,
                      time_point now) -> result<caller_call>
{
    auto call = caller_call{};
    auto account = read_account(request, view);
    if (!account) return account.error();
    call.account = std::move(account).value();
    call.method = request.method;
    call.body = request.body;
    call.content_type = std::string{request.headers.find("Content-Type")};
    auto read = request.path() == completions_path ? read_completion(request, view, call)
                                                   : read_service_call(request, view, call);
    if (!read) return read.error();
    if (auto keyed = read_idempotency_key(request, call); !keyed) return keyed.error();

    auto const timeout_ms = request.headers.number("X-Request-Timeout-Ms", settings.default_timeout.count());
    if (timeout_ms <= 0)
        return fail(result_code::request_malformed, "X-Request-Timeout-Ms: expected a positive number");
    call.deadline = now + std::min(milliseconds{timeout_ms}, settings.max_timeout);
    call.query.may_probe = call.idempotent;
    return call;
}

} // namespace hibiscuswall
