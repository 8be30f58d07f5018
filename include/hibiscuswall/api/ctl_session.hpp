#pragma once
// Blocking requests of hibiscusctl to the entries it was given, in order.
//
//   auto session = ctl_session{entries};
//   auto body = session.get("/v1/status");          // JSON, or the server's error with its code
//   auto written = session.apply(request);          // keeps its write id over lost answers and entries

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/http/http_client.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hibiscuswall {

class ctl_session {
public:
    explicit ctl_session(std::vector<address> entries);

    auto get(std::string const& target) -> result<nlohmann::json>;

    // POST /v1/apply with a write id, repeated with the same id while the outcome is unknown. A write that
    // took effect is recognised by its id and not done again.
    auto apply(nlohmann::json request) -> result<nlohmann::json>;

    // Waits without a server.
    auto pause(milliseconds duration) -> void;

private:
    auto ask(address const& where, http_request const& request) -> result<nlohmann::json>;

    asio::io_context io_;
    http_client client_;
    std::vector<address> entries_;
};

} // namespace hibiscuswall
