#include "hibiscuswall/rpc/rpc_dispatcher.hpp"

#include <stdexcept>

namespace hibiscuswall {

rpc_dispatcher::rpc_dispatcher()
    : codec_{[this](std::string const& name, std::string const& params) -> std::string {
          auto const given = nlohmann::json::parse(params);
          if (!given.is_object()) throw std::runtime_error{"params must be an object"};
          auto const answer = methods_.at(name)(given, received_at_);
          if (!answer) throw std::runtime_error{answer.error().message};
          return answer.value().dump();
      }}
{
}

auto rpc_dispatcher::add(std::string const& name, rpc_method method) -> void
{
    add_timed(name, [method = std::move(method)](nlohmann::json const& params, time_point /*received_at*/) {
        return method(params);
    });
}

auto rpc_dispatcher::add_timed(std::string const& name, timed_rpc_method method) -> void
{
    methods_[name] = std::move(method);
    codec_.add_method(name);
}

// Methods return at once, so that no other request is handled meanwhile.
auto rpc_dispatcher::handle(std::string const& request, time_point received_at) -> std::string
{
    received_at_ = received_at;
    return codec_.handle(request);
}

auto rpc_dispatcher::serve(http_router& routes) -> void
{
    routes.add("POST", "/rpc",
               [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                   co_await out.send(json_response(200, handle(request.body, request.received)));
               });
}

auto rpc_call(http_client& client, address where, std::string method, nlohmann::json params,
              milliseconds timeout) -> asio::awaitable<result<nlohmann::json>>
{
    auto request = http_request{"POST", "/rpc", {}, jsonrpc_request(method, params.dump(), 1)};
    request.headers.set("Content-Type", "application/json");
    auto options = http_call_options{};
    options.timeout = timeout;
    options.connect_timeout = timeout;
    options.purpose = method;
    auto answer = co_await client.fetch(where, std::move(request), options);
    if (!answer) co_return answer.error();
    if (answer.value().status != 200)
        co_return fail(result_code::unexpected_status,
                       method + ": status " + std::to_string(answer.value().status));
    auto const reply = jsonrpc_answer(answer.value().body);
    if (!reply.ok) co_return fail(result_code::rpc_failed, method + ": " + reply.message);
    co_return nlohmann::json::parse(reply.result_json, nullptr, false);
}

} // namespace hibiscuswall
