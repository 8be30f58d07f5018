#pragma once
// What entry and agent share: the io_context, the client, the control routes with health, metrics and time
// line, and the graceful stop on SIGTERM or SIGINT.
//
//   auto base = daemon_base{self, seed};
//   auto& context = base.context();               // hand to the modules
//   base.on_stop([&]() -> asio::awaitable<void> { announce leaving; drain; });
//   return base.run();                             // until the stop handlers are done; exit code

#include "hibiscuswall/core/pause_detector.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/http/http_server.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace hibiscuswall {

class daemon_base {
public:
    using stop_step = std::function<asio::awaitable<void>()>;

    daemon_base(member self, std::uint64_t seed);
    ~daemon_base();
    daemon_base(daemon_base const&) = delete;
    auto operator=(daemon_base const&) -> daemon_base& = delete;

    [[nodiscard]] auto context() -> process_context&;

    // Pauses of this process, known while it runs.
    [[nodiscard]] auto pauses() const -> pause_detector const&;

    // The control listener serves context().control.
    auto listen_control(address const& where, http_server_limits limits) -> result<void>;

    // /readyz answers 200 while every check holds and no stop has begun.
    auto ready_when(std::function<bool()> check) -> void;

    // Steps run in the order they were added, once, after the signal.
    auto on_stop(stop_step step) -> void;

    // SIGHUP: the settings file changed. Without a callback the signal is only logged.
    auto on_reload(std::function<void()> callback) -> void;

    // Whether every check holds and no stop has begun.
    [[nodiscard]] auto ready() const -> bool;

    auto run() -> int;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace hibiscuswall
