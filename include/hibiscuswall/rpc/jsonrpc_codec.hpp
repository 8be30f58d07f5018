#pragma once
// JSON-RPC 2.0 texts by libjsonrpccpp. This header and its source stay within C++14, the newest standard that
// the library's headers accept; nothing of it or of jsoncpp shows here.
//
//   auto text = jsonrpc_request("peer.exchange", params_json, 7);
//   auto answer = jsonrpc_answer(response_text);              // answer.ok, answer.result_json or
//   answer.message
//
//   jsonrpc_server server([](const std::string& method, const std::string& params) { return result_json; });
//   server.add_method("peer.exchange");
//   auto response = server.handle(request_text);

#include <functional>
#include <memory>
#include <string>

namespace hibiscuswall {

struct jsonrpc_reply {
    bool ok;                 // a result came, not an error
    int code;                // JSON-RPC error code when !ok
    std::string message;     // error message when !ok
    std::string result_json; // result as JSON text when ok
};

auto jsonrpc_request(const std::string& method, const std::string& params_json, int id) -> std::string;
auto jsonrpc_answer(const std::string& response) -> jsonrpc_reply;

class jsonrpc_server {
public:
    // The function gives the result as JSON text, or throws std::runtime_error for a JSON-RPC error.
    using function = std::function<std::string(const std::string& method, const std::string& params_json)>;

    explicit jsonrpc_server(function call);
    ~jsonrpc_server();
    jsonrpc_server(const jsonrpc_server&) = delete;
    auto operator=(const jsonrpc_server&) -> jsonrpc_server& = delete;

    auto add_method(const std::string& name) -> void;
    auto handle(const std::string& request) -> std::string;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace hibiscuswall
