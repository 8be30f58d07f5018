#include "hibiscuswall/http/error_body.hpp"

#include <nlohmann/json.hpp>

namespace hibiscuswall {

auto error_body(error const& problem, ran outcome, std::string_view call_id) -> std::string
{
    auto body = nlohmann::json{{"code", static_cast<int>(problem.code)},
                               {"name", describe(problem.code).name},
                               {"message", problem.message},
                               {"ran", ran_text(outcome)}};
    if (!call_id.empty()) body["call_id"] = call_id;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto error_response(error const& problem) -> http_response
{
    auto const& info = describe(problem.code);
    return json_response(info.http_status, error_body(problem, info.outcome));
}

} // namespace hibiscuswall
