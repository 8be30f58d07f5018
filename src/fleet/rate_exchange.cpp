#include "hibiscuswall/fleet/rate_exchange.hpp"

#include "hibiscuswall/fleet/rate_status.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {

rate_exchange::rate_exchange(process_context& context, endpoint_table& endpoints,
                             load_report_receiver& channel)
    : context_{context}, endpoints_{endpoints}, coordination_{context.self.name, endpoints, context.random,
                                                              [&channel](auto const& bytes, auto const& to) {
                                                                  channel.send(bytes, to);
                                                              }},
      timer_{context.io}
{
    channel.on_rate_report([this](rate_report const& report, address const& from) {
        coordination_.on_report(report, from, clock::now());
    });
    channel.on_rate_notice([this](rate_notice const& notice) {
        if (coordination_.on_notice(notice, clock::now()) && on_grant_) on_grant_();
    });
    endpoints_.on_rate_change(
        [this](tracked_endpoint& endpoint, std::optional<double> before, endpoint_table::rate_source source) {
            on_rate_change(endpoint, before, source);
        });
    context_.control.add("GET", "/fleet/limits",
                         [this](http_request const& /*request*/, http_responder& out) { return show(out); });
}

// Without a limit it waits until one is named.
auto rate_exchange::run() -> asio::awaitable<void>
{
    while (true) {
        auto const is_needed = coordination_.run_round(clock::now());
        timer_.expires_at(is_needed ? clock::now() + rate_coordination::round_interval : time_point::max());
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto rate_exchange::on_rate_change(tracked_endpoint& endpoint, std::optional<double> before,
                                   endpoint_table::rate_source source) -> void
{
    auto const now = clock::now();
    log_rate_change(endpoint, before, source, now);
    context_.metrics_registry.set("endpoint_rate_limit", {{"endpoint", endpoint.record.id}},
                                  endpoint.rate.limit().value_or(0));
    if (source == endpoint_table::rate_source::response) coordination_.tell_all(endpoint, now);
    timer_.cancel();
}

auto rate_exchange::show(http_responder& out) -> asio::awaitable<void>
{
    co_await out.send(json_response(200, rate_limits_json(endpoints_, clock::now())));
}

} // namespace hibiscuswall
