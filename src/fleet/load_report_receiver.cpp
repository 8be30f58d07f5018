#include "hibiscuswall/fleet/load_report_receiver.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>
#include <map>

namespace hibiscuswall {
namespace {

// Each subscription also measures the round trip to the agent.
constexpr auto subscribe_interval = milliseconds{250};
constexpr auto many_agents = std::size_t{16}; // from which on subscriptions are renewed less often
constexpr auto many_subscribe_interval = milliseconds{500}; // several times within a subscription's lifetime

auto microseconds_of(time_point at) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(at.time_since_epoch()).count();
}

} // namespace

load_report_receiver::load_report_receiver(asio::io_context& io, member const& self,
                                           endpoint_table& endpoints, declared_state& declared)
    : socket_{io}, self_{self}, endpoints_{endpoints}, declared_state_{declared}
{
}

auto load_report_receiver::start() -> result<void>
{
    if (auto opened = socket_.open(self_.control_address); !opened) return opened.error();
    start_loop(socket_.executor(), "datagrams", [this] {
        return socket_.receive([this](auto const& message, auto const& from) { on_datagram(message, from); });
    });
    start_loop(socket_.executor(), "subscriptions", [this] { return subscribe(); });
    return success();
}

auto load_report_receiver::on_datagram(datagram const& message, datagram_endpoint const& from) -> void
{
    if (auto const* report = std::get_if<load_report>(&message))
        on_report_received(*report, to_address(from));
    auto const* records = std::get_if<quarantine_records>(&message);
    if (records != nullptr && on_quarantine_records_) on_quarantine_records_(*records, to_address(from));
    auto const* rates = std::get_if<rate_report>(&message);
    if (rates != nullptr && on_rate_report_) on_rate_report_(*rates, to_address(from));
    auto const* notice = std::get_if<rate_notice>(&message);
    if (notice != nullptr && on_rate_notice_) on_rate_notice_(*notice);
}

auto load_report_receiver::send(std::string const& bytes, address const& to) -> void
{
    socket_.send(bytes, to_endpoint(to));
}

auto load_report_receiver::newer_peers(time_point now) const -> std::vector<address>
{
    auto peers = configuration_peers_.newer_than(declared_state_.configuration_version(), now);
    for (auto& peer : operator_peers_.newer_than(declared_state_.revision(), now))
        if (std::find(peers.begin(), peers.end(), peer) == peers.end()) peers.push_back(std::move(peer));
    return peers;
}

auto load_report_receiver::newer_weights_peers(time_point now) const -> std::vector<address>
{
    return weights_peers_.newer_than(declared_state_.weights_revision(), now);
}

auto load_report_receiver::is_of_same_region(load_report const& report) const -> bool
{
    auto const& entries = report.same_region_entries;
    return std::find(entries.begin(), entries.end(), self_.name) != entries.end();
}

auto load_report_receiver::on_report_received(load_report const& report, address const& agent) -> void
{
    auto const now = clock::now();
    auto const round_trip =
        microseconds{microseconds_of(now) - report.echoed_sent_at_us - report.subscription_age_us};
    auto const is_near = is_of_same_region(report);
    log_departure(report);
    endpoints_.on_load_report(report, round_trip, now);
    declared_state_.on_peer_knows({report.weights_revision, report.weights_age}, now);
    if (report.weights_revision > 0) weights_peers_.on_reported(agent, report.weights_revision, is_near, now);
    if (report.most_current_peer)
        operator_peers_.on_reported(*report.most_current_peer, report.operator_revision, is_near, now);
    if (auto const& newest = report.newest_configuration)
        configuration_peers_.on_reported(newest->peer, newest->version, is_near, now);
    peer_records_revision_ = std::max(peer_records_revision_, report.records_revision);
    if (on_load_report_) on_load_report_();
}

auto load_report_receiver::log_departure(load_report const& report) const -> void
{
    if (!report.leaving) return;
    auto const endpoint = endpoints_.find_run(report.where, report.started_at_ms);
    if (endpoint == nullptr || endpoint->leaving) return;
    log_event(log_level::info, "endpoint_leaves",
              {{"endpoint", endpoint->record.id},
               {"source", "load_report"},
               {"known_from_record", endpoint->record.draining ? "1" : "0"}});
}

// Only engines have agents. An engine without weights is known by its service.
auto load_report_receiver::has_agent(tracked_endpoint const& endpoint) const -> bool
{
    if (endpoint.record.weights || endpoint.news) return true;
    auto const map = declared_state_.map();
    auto const* service = map == nullptr ? nullptr : map->service(endpoint.record.service);
    return service != nullptr && service->engine.has_value();
}

auto load_report_receiver::current_subscription(time_point now) const -> subscription
{
    auto const weights = declared_state_.newest_weights(now);
    auto message = subscription{};
    message.entry = self_.name;
    message.region = self_.region;
    message.operator_revision = declared_state_.revision();
    message.weights_revision = weights.revision;
    message.shed_level = shed_level_source_ ? shed_level_source_() : 0.0;
    message.sent_at_us = microseconds_of(now);
    message.records_revision = records_revision_source_ ? records_revision_source_() : 0;
    message.weights_age = weights.age;
    message.configuration_version = declared_state_.offered_configuration_version();
    return message;
}

auto load_report_receiver::send_subscription(subscription const& message, std::string const& agent_ip) -> void
{
    socket_.send(encode(message), to_endpoint({agent_ip, self_.control_address.port}));
}

auto load_report_receiver::announce_draining(std::string const& endpoint_id) -> void
{
    auto const found = endpoints_.all().find(endpoint_id);
    if (found == endpoints_.all().end()) return;
    auto const& endpoint = *found->second;
    if (!endpoint.assigned || !has_agent(endpoint)) return;
    auto message = current_subscription(clock::now());
    message.draining_run_ms = endpoint.record.started_at_ms;
    send_subscription(message, endpoint.record.where.ip);
}

auto load_report_receiver::subscribe() -> asio::awaitable<void>
{
    while (true) {
        auto message = current_subscription(clock::now());
        auto draining_runs = std::map<std::string, std::uint64_t>{}; // by the agent's IP; 0: none drains
        for (auto const& [id, endpoint] : endpoints_.all()) {
            if (!endpoint->assigned || !has_agent(*endpoint)) continue;
            auto& run = draining_runs[endpoint->record.where.ip];
            if (endpoint->record.draining) run = std::max(run, endpoint->record.started_at_ms);
        }
        for (auto const& [ip, run] : draining_runs) {
            message.draining_run_ms = run;
            send_subscription(message, ip);
        }
        auto const has_many = draining_runs.size() > many_agents;
        auto const interval = has_many ? many_subscribe_interval : subscribe_interval;
        co_await sleep_for(draining_runs.empty() ? subscribe_interval / 4 : interval);
    }
}

} // namespace hibiscuswall
