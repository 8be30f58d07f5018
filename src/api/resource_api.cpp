#include "hibiscuswall/api/resource_api.hpp"

#include "hibiscuswall/http/error_body.hpp"

namespace hibiscuswall {
namespace {

auto joined(std::vector<std::string> const& errors) -> std::string
{
    auto text = std::string{};
    for (auto const& line : errors)
        text += (text.empty() ? "" : "; ") + line;
    return text;
}

struct resource_path {
    std::string kind;
    std::string name;
};

// "/v1/resources/{kind}/{name}".
auto split_path(std::string_view path) -> result<resource_path>
{
    constexpr auto prefix = std::string_view{"/v1/resources/"};
    auto const rest = path.substr(prefix.size());
    auto const slash = rest.find('/');
    if (slash == std::string_view::npos || slash + 1 == rest.size())
        return fail(result_code::request_malformed, "path must be /v1/resources/{kind}/{name}");
    auto parts = resource_path{percent_decode(rest.substr(0, slash)), percent_decode(rest.substr(slash + 1))};
    if (!is_resource_kind(parts.kind))
        return fail(result_code::resource_not_found, "unknown kind \"" + parts.kind + "\"");
    return parts;
}

// "expect_revision" in the body of apply, "?expect_revision=" elsewhere.
auto expected_revision(http_request const& request) -> result<std::optional<std::uint64_t>>
{
    if (!request.has_query("expect_revision")) return std::optional<std::uint64_t>{};
    auto const number = nlohmann::json::parse(request.query("expect_revision"), nullptr, false);
    if (!number.is_number_unsigned())
        return fail(result_code::request_malformed, "expect_revision: must be a number");
    return std::optional{number.get<std::uint64_t>()};
}

auto parse_apply(std::string const& text) -> result<config_change>
{
    auto const body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("resources") || !body["resources"].is_array())
        return fail(result_code::request_malformed, "body must be {\"resources\": [...]}");
    auto change = config_change{};
    auto errors = std::vector<std::string>{};
    auto seen = std::map<std::string, std::size_t>{};
    for (auto const& [key, value] : body.items())
        if (key != "resources" && key != "expect_revision" && key != "write_id" && key != "delete")
            errors.push_back(key + ": unknown field");
    auto const& list = body["resources"];
    for (auto i = std::size_t{0}; i < list.size(); ++i) {
        auto const path = "resources[" + std::to_string(i) + "]";
        auto parsed = parse_resource(list[i], path, errors);
        if (!parsed) continue;
        auto const [first, added] = seen.emplace(parsed->key(), i);
        if (!added)
            errors.push_back(path + ": " + parsed->key() + " is also resources[" +
                             std::to_string(first->second) + "]");
        change.puts.push_back(std::move(*parsed));
    }
    if (body.contains("delete")) {
        if (!body["delete"].is_array()) errors.emplace_back("delete: must be a list of \"Kind/name\"");
        for (auto const& item : body["delete"]) {
            if (item.is_string())
                change.deletions.push_back(item.get<std::string>());
            else
                errors.emplace_back("delete: must be a list of \"Kind/name\"");
        }
    }
    if (body.contains("expect_revision")) {
        if (body["expect_revision"].is_number_unsigned())
            change.expect_revision = body["expect_revision"].get<std::uint64_t>();
        else
            errors.emplace_back("expect_revision: must be a number");
    }
    if (body.contains("write_id")) {
        auto const& id = body["write_id"];
        if (id.is_string() && !id.get<std::string>().empty() && id.get<std::string>().size() <= 64)
            change.write_id = id.get<std::string>();
        else
            errors.emplace_back("write_id: must be a string of 1 to 64 bytes");
    }
    if (errors.empty() && change.puts.empty() && change.deletions.empty())
        errors.emplace_back("resources: must not be empty");
    if (!errors.empty()) return fail(result_code::resource_invalid, joined(errors));
    return change;
}

} // namespace

resource_api::resource_api(process_context& context, config_service& config, member_source& members)
    : context_{context}, config_{config}, status_{context, config, members}
{
    auto& routes = context_.control;
    routes.add("GET", "/v1/resources",
               [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                   co_await out.send(answer_resources(request));
               });
    routes.add("*", "/v1/resources/",
               [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                   auto answer = co_await answer_resource(request);
                   co_await out.send(std::move(answer));
               });
    routes.add("POST", "/v1/apply",
               [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                   auto answer = co_await answer_apply(request);
                   co_await out.send(std::move(answer));
               });
    routes.add("GET", "/v1/status",
               [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                   auto const report = co_await status_.convergence();
                   co_await out.send(json_response(200, report.dump()));
               });
    routes.add("GET", "/v1/status/weights",
               [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                   auto const report = co_await status_.weights();
                   co_await out.send(json_response(200, report.dump()));
               });
    routes.add("GET", "/v1/members",
               [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                   co_await out.send(json_response(200, status_.members().dump()));
               });
    routes.add("GET", "/v1/timeline",
               [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                   auto const report = co_await status_.timeline();
                   co_await out.send(json_response(200, report.dump()));
               });
}

auto resource_api::answer_resources(http_request const& request) -> http_response
{
    auto const document = config_.state().document();
    if (!document) return error_response(fail(result_code::configuration_missing, "no configuration yet"));
    auto const kind = request.query("kind");
    if (!kind.empty() && !is_resource_kind(kind))
        return error_response(fail(result_code::resource_not_found, "unknown kind \"" + kind + "\""));
    auto list = nlohmann::json::array();
    for (auto const& [key, digest] : document->resources)
        if (kind.empty() || key.starts_with(kind + "/"))
            list.push_back(nlohmann::json::parse(document->objects.at(digest)));
    return json_response(200, nlohmann::json{{"revision", document->revision}, {"resources", list}}.dump());
}

auto resource_api::answer_resource(http_request request) -> asio::awaitable<http_response>
{
    auto const path = split_path(request.path());
    if (!path) co_return error_response(path.error());
    auto const key = path.value().kind + "/" + path.value().name;
    auto const expect = expected_revision(request);
    if (!expect) co_return error_response(expect.error());

    if (request.method == "GET") {
        auto const document = config_.state().document();
        if (!document)
            co_return error_response(fail(result_code::configuration_missing, "no configuration yet"));
        auto const found = document->resources.find(key);
        if (found == document->resources.end())
            co_return error_response(fail(result_code::resource_not_found, key));
        auto body = nlohmann::json::parse(document->objects.at(found->second));
        body["revision"] = document->revision;
        co_return json_response(200, body.dump());
    }
    auto change = config_change{};
    change.expect_revision = expect.value();
    change.write_id = request.query("write_id");
    if (request.method == "DELETE") {
        change.deletions.push_back(key);
    } else if (request.method == "PUT") {
        auto errors = std::vector<std::string>{};
        auto const body = nlohmann::json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            co_return error_response(fail(result_code::request_malformed, "body is not JSON"));
        auto parsed = parse_resource(body, "", errors);
        if (parsed && parsed->key() != key)
            errors.push_back("name: " + parsed->key() + " is not the resource of the path, " + key);
        if (!errors.empty()) co_return error_response(fail(result_code::resource_invalid, joined(errors)));
        change.puts.push_back(std::move(*parsed));
    } else {
        co_return error_response(fail(result_code::request_malformed, "method must be GET, PUT or DELETE"));
    }
    co_return co_await write(std::move(change));
}

auto resource_api::answer_apply(http_request request) -> asio::awaitable<http_response>
{
    auto parsed = parse_apply(request.body);
    if (!parsed) co_return error_response(parsed.error());
    auto change = std::move(parsed).value();
    co_return co_await write(std::move(change));
}

auto resource_api::write(config_change change) -> asio::awaitable<http_response>
{
    if (change.write_id.empty()) change.write_id = context_.random.id();
    auto const write_id = change.write_id;
    auto const written = co_await config_.apply(std::move(change));
    if (!written) {
        auto answer = error_response(written.error());
        auto body = nlohmann::json::parse(answer.body);
        body["write_id"] = write_id; // a repeat with it settles an unknown outcome
        co_return json_response(answer.status, body.dump());
    }
    auto const body = nlohmann::json{{"revision", written.value()}, {"write_id", write_id}};
    co_return json_response(200, body.dump());
}

} // namespace hibiscuswall
