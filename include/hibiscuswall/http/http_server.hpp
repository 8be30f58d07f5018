#pragma once
// HTTP/1.1 server on one io_context. Bounded in header, body, connections and time, so that malformed,
// oversized or slow requests each get one clear error and the process lives on.
//
//   auto server = http_server{io, routes, &events, {}};
//   auto bound = server.listen(listen_address);        // settings_invalid when the address is taken
//   server.stop_accepting();                           // open connections end their request, idle ones close
//   server.active();                                   // requests being handled now

#include "hibiscuswall/core/address.hpp"
#include "hibiscuswall/core/result.hpp"
#include "hibiscuswall/core/time.hpp"
#include "hibiscuswall/http/http_router.hpp"
#include "hibiscuswall/observe/timeline.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace hibiscuswall {

struct http_server_limits {
    std::size_t header_bytes = 16 * 1024; // larger: 431
    std::size_t body_bytes = 1024 * 1024; // larger: 413
    std::size_t connections = 4096;       // further ones are closed at once
    milliseconds request_timeout{10'000}; // from the first byte to the whole request: 408
    milliseconds idle_timeout{60'000};    // kept-alive connection without a request
    milliseconds write_timeout{30'000};   // one write to a caller that does not read
    milliseconds linger_timeout{1'000};   // reading on after a refusal, so that the caller can take it
};

class http_server {
public:
    http_server(asio::io_context& io, http_router const& routes, timeline* events, http_server_limits limits);
    ~http_server();
    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;

    // Port 0 is not allowed: a process learns its addresses from its settings.
    auto listen(address const& where) -> result<void>;

    // Answers carry "Connection: close" from now on; new connections are still taken.
    auto close_after_answers() -> void;

    // For requests that begin later.
    auto change_limits(http_server_limits limits) -> void;

    auto stop_accepting() -> void;
    [[nodiscard]] auto active() const -> std::size_t;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace hibiscuswall
