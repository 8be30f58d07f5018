#include "hibiscuswall/rpc/jsonrpc_codec.hpp"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <json/json.h>

namespace hibiscuswall {
namespace {

auto parse(const std::string& text) -> Json::Value
{
    auto value = Json::Value{};
    auto builder = Json::CharReaderBuilder{};
    const auto reader = std::unique_ptr<Json::CharReader>{builder.newCharReader()};
    auto problem = std::string{};
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem))
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR, problem);
    return value;
}

auto print(const Json::Value& value) -> std::string
{
    auto builder = Json::StreamWriterBuilder{};
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// Gives the library's client a response that another transport received.
class received_response final : public jsonrpc::IClientConnector {
public:
    explicit received_response(const std::string& response) : response_{response} {}

    auto SendRPCMessage(const std::string& /*message*/, std::string& result) throw(jsonrpc::JsonRpcException)
        -> void override
    {
        result = response_;
    }

private:
    const std::string& response_;
};

} // namespace

auto jsonrpc_request(const std::string& method, const std::string& params_json, int id) -> std::string
{
    // The library numbers every request 1; the id is the caller's so that traces can tell requests apart.
    auto request = Json::Value{Json::objectValue};
    request["jsonrpc"] = "2.0";
    request["method"] = method;
    request["params"] = parse(params_json);
    request["id"] = id;
    return print(request);
}

auto jsonrpc_answer(const std::string& response) -> jsonrpc_reply
{
    auto connector = received_response{response};
    auto client = jsonrpc::Client{connector, jsonrpc::JSONRPC_CLIENT_V2};
    auto value = Json::Value{};
    try {
        client.CallMethod("", Json::Value{Json::objectValue}, value);
    } catch (const jsonrpc::JsonRpcException& problem) {
        return {false, problem.GetCode(), problem.GetMessage(), {}};
    } catch (const std::exception& problem) {
        return {false, jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, problem.what(), {}};
    }
    return {true, 0, {}, print(value)};
}

struct jsonrpc_server::state : jsonrpc::IProcedureInvokationHandler {
    function call;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)};

    auto HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output)
        -> void override
    {
        try {
            output = parse(call(procedure.GetProcedureName(), print(input)));
        } catch (const jsonrpc::JsonRpcException&) {
            throw;
        } catch (const std::exception& problem) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, problem.what());
        }
    }

    auto HandleNotificationCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/)
        -> void override
    {
    }
};

jsonrpc_server::jsonrpc_server(function call) : state_{new state} { state_->call = std::move(call); }
jsonrpc_server::~jsonrpc_server() = default;

auto jsonrpc_server::add_method(const std::string& name) -> void
{
    state_->protocol->AddProcedure(
        jsonrpc::Procedure{name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr});
}

auto jsonrpc_server::handle(const std::string& request) -> std::string
{
    auto response = std::string{};
    state_->protocol->HandleRequest(request, response);
    return response;
}

} // namespace hibiscuswall
