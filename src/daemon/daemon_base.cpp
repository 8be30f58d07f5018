#include "hibiscuswall/daemon/daemon_base.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/daemon/daemon_options.hpp"
#include "hibiscuswall/daemon/held_signals.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>

namespace hibiscuswall {
namespace {

constexpr auto timeline_capacity = std::size_t{4096}; // events; the oldest are overwritten

// Differs between processes and between the lives of one process, even with equal seeds.
auto id_seed(member const& self, std::uint64_t seed) -> std::uint64_t
{
    return rendezvous_weight(self.name + '/' + std::to_string(self.incarnation), std::to_string(seed));
}

} // namespace

struct daemon_base::state {
    // Destroyed after io: handlers that still run at the end are destroyed with it, and give back what they
    // hold.
    timeline events;
    metrics metrics_registry;
    random_source random;
    process_context context; // refers to members below
    asio::io_context io{1};
    http_client client;
    rpc_dispatcher rpc;
    http_router control;
    std::unique_ptr<http_server> server;
    std::vector<std::function<bool()>> ready_checks;
    std::vector<stop_step> stop_steps;
    std::function<void()> reload;
    pause_detector pauses;
    bool stopping = false;

    state(member self, std::uint64_t seed)
        : events{self.name, timeline_capacity}, random{seed, id_seed(self, seed)},
          context{io, std::move(self), client, rpc, control, events, metrics_registry, random}, client{
                                                                                                    io,
                                                                                                    &events}
    {
    }

    [[nodiscard]] auto ready() const -> bool
    {
        return !stopping && std::all_of(ready_checks.begin(), ready_checks.end(),
                                        [](auto const& check) { return check(); });
    }

    auto add_routes() -> void;
    auto stop_on(asio::signal_set& signals) -> asio::awaitable<void>;
    auto reload_on(asio::signal_set& signals) -> asio::awaitable<void>;
    auto detect_pauses() -> asio::awaitable<void>;
};

auto daemon_base::state::add_routes() -> void
{
    rpc.serve(control);
    control.add("GET", "/healthz",
                [](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                    co_await out.send({200, {}, "ok\n"});
                });
    control.add("GET", "/readyz",
                [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                    auto const is_ready = ready();
                    co_await out.send({is_ready ? 200 : 503, {}, is_ready ? "ready\n" : "not ready\n"});
                });
    control.add(
        "GET", "/metrics",
        [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
            for (auto const& [purpose, bytes] : client.traffic()) {
                metrics_registry.set("client_bytes", {{"purpose", purpose}, {"direction", "sent"}},
                                     static_cast<double>(bytes.sent));
                metrics_registry.set("client_bytes", {{"purpose", purpose}, {"direction", "received"}},
                                     static_cast<double>(bytes.received));
            }
            metrics_registry.set("idle_connections", {}, static_cast<double>(client.idle_connections()));
            auto page = http_response{200, {}, metrics_registry.text()};
            page.headers.set("Content-Type", "text/plain; version=0.0.4");
            co_await out.send(std::move(page));
        });
    control.add("GET", "/timeline",
                [this](http_request const& /*request*/, http_responder& out) -> asio::awaitable<void> {
                    co_await out.send(json_response(200, events.json()));
                });
}

auto daemon_base::state::stop_on(asio::signal_set& signals) -> asio::awaitable<void>
{
    co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    stopping = true;
    log_event(log_level::info, "stop_begun", {});
    events.record("stop_begun", {});
    for (auto& step : stop_steps)
        co_await step();
    if (server) server->stop_accepting();
    log_event(log_level::info, "stop_finished", {});
    io.stop();
}

auto daemon_base::state::reload_on(asio::signal_set& signals) -> asio::awaitable<void>
{
    while (true) {
        co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
        log_event(log_level::info, "reload", {});
        if (reload) reload();
    }
}

auto daemon_base::state::detect_pauses() -> asio::awaitable<void>
{
    while (true) {
        auto const gap = pauses.tick(clock::now());
        if (gap.count() > 0) {
            metrics_registry.count("process_pauses");
            auto const gap_ms = std::chrono::duration_cast<milliseconds>(gap).count();
            log_event(log_level::warning, "process_paused", {{"for_ms", std::to_string(gap_ms)}});
        }
        co_await sleep_for(pause_detector::tick_interval);
    }
}

daemon_base::daemon_base(member self, std::uint64_t seed)
    : state_{std::make_unique<state>(std::move(self), seed)}
{
    state_->add_routes();
}

daemon_base::~daemon_base() = default;

auto daemon_base::context() -> process_context& { return state_->context; }
auto daemon_base::pauses() const -> pause_detector const& { return state_->pauses; }

auto daemon_base::listen_control(address const& where, http_server_limits limits) -> result<void>
{
    state_->server = std::make_unique<http_server>(state_->io, state_->control, &state_->events, limits);
    return state_->server->listen(where);
}

auto daemon_base::ready_when(std::function<bool()> check) -> void
{
    state_->ready_checks.push_back(std::move(check));
}
auto daemon_base::on_reload(std::function<void()> callback) -> void { state_->reload = std::move(callback); }
auto daemon_base::ready() const -> bool { return state_->ready(); }
auto daemon_base::on_stop(stop_step step) -> void { state_->stop_steps.push_back(std::move(step)); }

auto daemon_base::run() -> int
{
    auto stops = asio::signal_set{state_->io, SIGTERM, SIGINT};
    auto reloads = asio::signal_set{state_->io, SIGHUP};
    start_task(state_->io.get_executor(), "stop", state_->stop_on(stops), &state_->metrics_registry);
    start_loop(
        state_->io.get_executor(), "reload", [&] { return state_->reload_on(reloads); },
        &state_->metrics_registry);
    start_loop(
        state_->io.get_executor(), "pauses", [this] { return state_->detect_pauses(); },
        &state_->metrics_registry);
    release_signals();
    auto const& self = state_->context.self;
    log_event(log_level::info, "started", {{"region", self.region}, {"failure_domain", self.failure_domain}});
    state_->events.record("started", {{"incarnation", std::to_string(self.incarnation)}});
    state_->io.run();
    hold_signals(); // the handlers go: a late signal would end the process as if it had crashed
    return exit_success;
}

} // namespace hibiscuswall
