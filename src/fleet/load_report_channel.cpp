#include "hibiscuswall/fleet/load_report_channel.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace hibiscuswall {
namespace {

using udp = asio::ip::udp;

// Each subscription also measures the round trip to the agent.
constexpr auto subscribe_interval = milliseconds{250};
constexpr auto many_agents = std::size_t{16}; // from which on subscriptions are renewed less often
constexpr auto many_subscribe_interval = milliseconds{500}; // several times within subscription_lifetime
constexpr auto subscription_lifetime = milliseconds{3'500};
constexpr auto renewed_lately = milliseconds{1'100};     // two renewals of an entry with many agents
constexpr auto idle_report_interval = milliseconds{280}; // well below the lifetime of a load report
constexpr auto other_region_interval = 3U; // every third report also goes to entries of other regions
constexpr auto max_datagram_bytes = std::size_t{2'048};

auto open_socket(udp::socket& socket, address const& where) -> result<void>
{
    auto code = boost::system::error_code{};
    auto const local = udp::endpoint{asio::ip::make_address(where.ip), where.port};
    socket.open(local.protocol(), code);
    if (!code) socket.bind(local, code);
    if (!code) socket.non_blocking(true, code);
    if (code) return fail(result_code::settings_invalid, "udp " + where.text() + ": " + code.message());
    return success();
}

auto send_now(udp::socket& socket, std::string const& bytes, udp::endpoint const& to) -> void
{
    auto dropped = boost::system::error_code{};
    socket.send_to(asio::buffer(bytes), to, 0, dropped);
}

auto microseconds_of(time_point at) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(at.time_since_epoch()).count();
}

auto is_idle(load_report const& report) -> bool
{
    return report.running == 0 && report.queued == 0 && !report.paused && !report.leaving;
}

auto to_address(udp::endpoint const& from) -> address { return {from.address().to_string(), from.port()}; }

} // namespace

// ---- entry

load_report_receiver::load_report_receiver(asio::io_context& io, member const& self,
                                           endpoint_table& endpoints, declared_state& declared)
    : socket_{io}, self_{self}, endpoints_{endpoints}, declared_state_{declared}
{
}

auto load_report_receiver::start() -> result<void>
{
    if (auto opened = open_socket(socket_, self_.control_address); !opened) return opened.error();
    start_loop(socket_.get_executor(), "datagrams", [this] { return receive(); });
    start_loop(socket_.get_executor(), "subscriptions", [this] { return subscribe(); });
    return success();
}

auto load_report_receiver::receive() -> asio::awaitable<void>
{
    auto buffer = std::array<char, max_datagram_bytes>{};
    auto from = udp::endpoint{};
    while (true) {
        auto [code, size] = co_await socket_.async_receive_from(asio::buffer(buffer), from,
                                                                asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted) co_return;
        if (code) continue; // for example: the port is closed on the other side
        auto const message = decode_datagram({buffer.data(), size});
        if (!message) continue;
        if (auto const* report = std::get_if<load_report>(&*message))
            on_report_received(*report, to_address(from));
        auto const* records = std::get_if<quarantine_records>(&*message);
        if (records != nullptr && on_quarantine_records_) on_quarantine_records_(*records, to_address(from));
        auto const* rates = std::get_if<rate_report>(&*message);
        if (rates != nullptr && on_rate_report_) on_rate_report_(*rates, to_address(from));
        auto const* notice = std::get_if<rate_notice>(&*message);
        if (notice != nullptr && on_rate_notice_) on_rate_notice_(*notice);
    }
}

auto load_report_receiver::send(std::string const& bytes, address const& to) -> void
{
    send_now(socket_, bytes, {asio::ip::make_address(to.ip), to.port});
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

// Only engines have agents. An engine without weights is known by its service.
auto load_report_receiver::has_agent(tracked_endpoint const& endpoint) const -> bool
{
    if (endpoint.record.weights || endpoint.news) return true;
    auto const map = declared_state_.map();
    auto const* service = map == nullptr ? nullptr : map->service(endpoint.record.service);
    return service != nullptr && service->engine.has_value();
}

auto load_report_receiver::subscribe() -> asio::awaitable<void>
{
    while (true) {
        auto const now = clock::now();
        auto const weights = declared_state_.newest_weights(now);
        auto const bytes =
            encode(subscription{self_.name, self_.region, declared_state_.revision(), weights.revision,
                                shed_level_source_ ? shed_level_source_() : 0.0, microseconds_of(now),
                                records_revision_source_ ? records_revision_source_() : 0, weights.age,
                                declared_state_.offered_configuration_version()});
        auto agents = std::set<std::string>{};
        for (auto const& [id, endpoint] : endpoints_.all())
            if (endpoint->assigned && has_agent(*endpoint)) agents.insert(endpoint->record.where.ip);
        for (auto const& ip : agents)
            send_now(socket_, bytes, {asio::ip::make_address(ip), self_.control_address.port});
        auto const interval = agents.size() > many_agents ? many_subscribe_interval : subscribe_interval;
        co_await sleep_for(agents.empty() ? subscribe_interval / 4 : interval);
    }
}

// ---- agent

load_report_sender::load_report_sender(asio::io_context& io, member const& self, declared_state& declared)
    : socket_{io}, self_{self}, declared_state_{declared}
{
}

auto load_report_sender::start() -> result<void>
{
    if (auto opened = open_socket(socket_, self_.control_address); !opened) return opened.error();
    start_loop(socket_.get_executor(), "datagrams", [this] { return receive(); });
    return success();
}

auto load_report_sender::receive() -> asio::awaitable<void>
{
    auto buffer = std::array<char, max_datagram_bytes>{};
    auto from = udp::endpoint{};
    while (true) {
        auto [code, size] = co_await socket_.async_receive_from(asio::buffer(buffer), from,
                                                                asio::as_tuple(asio::use_awaitable));
        if (code == asio::error::operation_aborted) co_return;
        if (code) continue;
        auto const message = decode_datagram({buffer.data(), size});
        if (!message) continue;
        if (auto const* received = std::get_if<subscription>(&*message)) {
            auto const now = clock::now();
            subscribers_[from] = {now, *received};
            declared_state_.on_peer_knows({received->weights_revision, received->weights_age}, now);
        }
        auto const* held = std::get_if<chunk_holdings>(&*message);
        if (held != nullptr && on_holdings_) on_holdings_(*held);
    }
}

auto load_report_sender::newer_peers(time_point now) const -> std::vector<address>
{
    auto found = std::vector<address>{};
    for (auto const& [from, entry] : ranked_subscribers(now)) {
        auto const& known = entry->latest;
        auto const lacks_configuration = declared_state_.map() == nullptr && known.operator_revision > 0;
        if (lacks_configuration || known.weights_revision > declared_state_.weights_revision())
            found.push_back(to_address(from));
    }
    return found;
}

auto load_report_sender::entries(time_point now) const -> std::vector<address>
{
    auto found = std::vector<address>{};
    for (auto const& [from, entry] : ranked_subscribers(now))
        found.push_back(to_address(from));
    return found;
}

// An entry that has missed a renewal or two may be gone; the order differs between agents, so that they do
// not all turn to the same one.
auto load_report_sender::ranked_subscribers(time_point now) const -> subscriber_list
{
    auto ranked = subscriber_list{};
    for (auto const& [from, entry] : subscribers_)
        ranked.emplace_back(from, &entry);
    auto const rank = [&](auto const& each) {
        auto const& latest = each.second->latest;
        return std::make_tuple(now - each.second->received_at > renewed_lately, latest.region != self_.region,
                               rendezvous_weight(self_.name, latest.entry));
    };
    std::sort(ranked.begin(), ranked.end(),
              [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    return ranked;
}

// Entries fetch operator changes from each other if the store is unavailable. The agent only names an entry
// with the newest revision.
auto load_report_sender::set_most_current_peer(load_report& report, time_point now) const -> void
{
    auto const ranked = ranked_subscribers(now);
    for (auto const& [from, entry] : ranked) {
        auto const revision = entry->latest.operator_revision;
        if (revision <= report.operator_revision) continue;
        report.operator_revision = revision;
        report.most_current_peer = to_address(from);
    }
    set_newest_configuration(report, ranked);
}

auto load_report_sender::set_newest_configuration(load_report& report, subscriber_list const& ranked) const
    -> void
{
    auto newest = configuration_holder{};
    auto version_of_most_current = std::uint64_t{0};
    for (auto const& [from, entry] : ranked) {
        auto const version = entry->latest.configuration_version;
        if (report.most_current_peer == to_address(from)) version_of_most_current = version;
        if (version > newest.version) newest = {version, to_address(from)};
    }
    report.newest_configuration.reset();
    if (newest.version > version_of_most_current) report.newest_configuration = newest;
}

auto load_report_sender::send_holdings(chunk_holdings const& held, std::vector<member> const& agents) -> void
{
    auto const bytes = encode(held);
    for (auto const& agent : agents)
        if (agent.name != self_.name)
            send_now(socket_, bytes,
                     {asio::ip::make_address(agent.control_address.ip), agent.control_address.port});
}

// While the engine is idle, nothing changes from one report to the next.
auto load_report_sender::is_due(load_report const& report, time_point now) -> bool
{
    auto const version = report.weights ? report.weights->version : 0;
    auto const names_limit = with_times(report.rate, now).limit().has_value();
    auto const has_changed = !was_idle_ || subscribers_.size() != reported_subscribers_ ||
                             version != reported_version_ || names_limit != reported_limit_;
    if (is_idle(report) && !has_changed && now - sent_at_ < idle_report_interval) return false;
    was_idle_ = is_idle(report);
    reported_subscribers_ = subscribers_.size();
    reported_version_ = version;
    reported_limit_ = names_limit;
    sent_at_ = now;
    return true;
}

auto load_report_sender::send_report(load_report report, time_point now) -> void
{
    std::erase_if(subscribers_,
                  [&](auto const& each) { return now - each.second.received_at > subscription_lifetime; });
    if (!is_due(report, now)) return;
    report.subscriber_count = static_cast<int>(subscribers_.size());
    set_most_current_peer(report, now);
    auto const weights = declared_state_.newest_weights(now);
    report.weights_revision = weights.revision;
    report.weights_age = weights.age;
    report.same_region_entries.clear();
    report.shed_level = 0;
    for (auto const& [to, entry] : subscribers_)
        report.records_revision = std::max(report.records_revision, entry.latest.records_revision);
    for (auto const& [to, entry] : subscribers_)
        report.shed_level += entry.latest.shed_level / static_cast<double>(subscribers_.size());
    for (auto const& [to, entry] : subscribers_)
        if (entry.latest.region == self_.region) report.same_region_entries.push_back(entry.latest.entry);
    std::sort(report.same_region_entries.begin(), report.same_region_entries.end());
    // Entries of other regions send calls here only if the engines in their own region are full, so they need
    // fewer reports.
    auto const sends_to_other_regions =
        report.paused || is_idle(report) || reports_sent_++ % other_region_interval == 0;
    auto const common = encode(report);
    for (auto const& [to, entry] : subscribers_) {
        if (!sends_to_other_regions && entry.latest.region != self_.region) continue;
        auto const subscription_age = std::chrono::duration_cast<microseconds>(now - entry.received_at);
        send_now(socket_, encode_for_subscriber(common, entry.latest.sent_at_us, subscription_age.count()),
                 to);
    }
}

} // namespace hibiscuswall
