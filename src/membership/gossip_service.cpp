#include "hibiscuswall/membership/gossip_service.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/membership/host_list_schedule.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto peers_per_early_round = 2; // peers contacted in each early round

// Members that missed a probe and are probed again in each regular round.
constexpr auto reprobes_per_round = std::size_t{4};

// On average, one round in this many also probes a dead member, so that regions reconnect after a partition.
constexpr auto rounds_per_dead_probe = std::size_t{8};

// Members in rotation that are sent to a peer with another digest.
constexpr auto members_per_rotation = std::size_t{4};
constexpr auto header_bytes =
    std::size_t{160}; // HTTP headers of both messages of an exchange, for the budget

// A process that is listed as leaving computes its delay as if its failure domain had at most this many other
// readers, which bounds the time until it reads the host list again.
constexpr auto max_readers_while_leaving = std::size_t{1};

} // namespace

gossip_service::gossip_service(process_context& context, member_table& table, config_service& config,
                               host_list_client& host_list, membership_settings settings)
    : context_{context}, table_{table}, config_{config}, host_list_{host_list}, settings_{settings},
      budget_{settings.exchange_bytes_per_second}, round_timer_{context.io}, host_list_timer_{context.io}
{
    context_.control.add(
        "POST", "/exchange",
        [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
            auto response = http_response{400, {}, {}};
            if (auto const message = decode_exchange(request.body); message && message->from)
                response = http_response{200, {}, encode(respond(*message, request.received))};
            else
                context_.metrics_registry.count("exchanges_malformed_total");
            co_await out.send(std::move(response));
        });
    table_.subscribe([this](member const& changed) {
        auto const state = std::string{member_state_text(changed.state)};
        log_event(log_level::info, "member_changed",
                  {{"member", changed.name},
                   {"state", state},
                   {"incarnation", std::to_string(changed.incarnation)}});
        context_.events.record("member_changed", {{"member", changed.name}, {"state", state}});
        if (table_.has_pending_updates()) round_timer_.cancel();
    });
}

auto gossip_service::start() -> void
{
    start_loop(
        context_.io.get_executor(), "host_list", [this] { return host_list_loop(); },
        &context_.metrics_registry);
    start_loop(
        context_.io.get_executor(), "gossip", [this] { return exchange_loop(); }, &context_.metrics_registry);
}

auto gossip_service::host_list_loop() -> asio::awaitable<void>
{
    while (true) {
        auto listed = co_await host_list_.hosts();
        if (listed)
            on_host_list(std::move(listed).value());
        else
            context_.metrics_registry.count("host_list_failures_total");
        auto counts = table_.counts(context_.self.failure_domain);
        // A process that is listed as leaving reads the list more often: only the list can report that it is
        // no longer leaving.
        if (listed_leaving_)
            counts.in_failure_domain = std::min(counts.in_failure_domain, max_readers_while_leaving);
        if (listed_leaving_ || !host_list_read_) counts.live = counts.in_failure_domain;
        if (!host_list_read_) counts = {};
        auto const fraction = host_list_fraction(context_.random.fraction(), context_.self.name);
        host_list_timer_.expires_after(host_list_delay(settings_.host_list_interval, counts, fraction));
        co_await host_list_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto gossip_service::on_host_list(std::vector<member> hosts) -> void
{
    host_list_read_ = true;
    auto const self = std::find_if(hosts.begin(), hosts.end(),
                                   [&](auto const& host) { return host.name == context_.self.name; });
    if (self != hosts.end()) {
        auto const leaving = self->state == member_state::leaving;
        // Peers hold this process as leaving because the list said so: a new incarnation corrects that.
        if (listed_leaving_ && !leaving && context_.self.state == member_state::alive)
            ++context_.self.incarnation;
        listed_leaving_ = leaving;
        hosts.erase(self);
    }
    table_.merge_host_list(hosts, clock::now());
}

auto gossip_service::random_live_peer() -> std::vector<member>
{
    auto const live = table_.counts({}).live;
    if (live == 0) return {};
    // The offset keeps processes with the same random seed from all contacting the same peer, which would
    // delay updates to all others.
    auto const offset = static_cast<std::size_t>(rendezvous_weight("exchange", context_.self.name) % live);
    auto const* chosen = table_.nth((context_.random.below(live) + offset) % live, false);
    return chosen == nullptr ? std::vector<member>{} : std::vector<member>{*chosen};
}

auto gossip_service::choose_peers() -> std::vector<member>
{
    auto chosen = random_live_peer();
    auto const dead = table_.counts({}).dead;
    if (dead > 0 && context_.random.below(rounds_per_dead_probe) == 0)
        chosen.push_back(*table_.nth(context_.random.below(dead), true));
    auto to_probe = table_.members_with_missed_probes();
    std::shuffle(to_probe.begin(), to_probe.end(), context_.random.engine());
    if (to_probe.size() > reprobes_per_round) to_probe.resize(reprobes_per_round);
    for (auto const& name : to_probe) {
        auto const same = [&](auto const& peer) { return peer.name == name; };
        if (std::none_of(chosen.begin(), chosen.end(), same)) chosen.push_back(*table_.find(name));
    }
    return chosen;
}

auto gossip_service::exchange_loop() -> asio::awaitable<void>
{
    while (true) {
        table_.expire(clock::now());
        auto const alive = table_.counts({}).alive;
        context_.metrics_registry.set("members_alive", {}, static_cast<double>(alive));
        for (auto const& peer : choose_peers())
            start_task(context_.io.get_executor(), "gossip_exchange", exchange_with(peer),
                       &context_.metrics_registry);
        // Early rounds contact random peers only; members that missed a probe are probed again at the
        // interval of the regular rounds.
        while (co_await wait_for_round())
            for (auto i = 0; i < peers_per_early_round; ++i)
                for (auto const& peer : random_live_peer())
                    start_task(context_.io.get_executor(), "gossip_exchange", exchange_with(peer),
                               &context_.metrics_registry);
    }
}

// Waits for the next round; true when it is an early one, false when it is a regular one.
auto gossip_service::wait_for_round() -> asio::awaitable<bool>
{
    auto const now = clock::now();
    // The jitter keeps processes that started together from exchanging at the same times.
    if (now >= next_regular_round_) {
        auto const interval = settings_.exchange_interval.count();
        auto const jitter =
            static_cast<long long>(context_.random.below(static_cast<std::size_t>(interval) / 5 + 1));
        next_regular_round_ = now + milliseconds{interval - interval / 10 + jitter};
    }
    auto const remaining = std::chrono::ceil<milliseconds>(next_regular_round_ - now);
    co_await sleep_for(std::min(settings_.early_exchange_interval, remaining));
    while (clock::now() < next_regular_round_) {
        if (table_.has_pending_updates() && budget_.allows(clock::now())) co_return true;
        round_timer_.expires_at(next_regular_round_);
        co_await round_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return false;
}

auto gossip_service::exchange_with(member peer) -> asio::awaitable<void>
{
    auto const requested_at = clock::now();
    auto message = message_for(peer.name);
    message.from = context_.self;
    message.to = recipient_view{peer.name, peer.incarnation, peer.state};
    auto request = http_request{"POST", "/exchange", {}, encode(std::move(message))};
    auto const request_bytes = request.body.size();
    auto options = http_call_options{};
    options.timeout = settings_.peer_timeout;
    options.connect_timeout = settings_.peer_timeout;
    options.body_limit = max_exchange_bytes;
    options.purpose = "peer.exchange";
    auto response = co_await context_.client.fetch(peer.control_address, std::move(request), options);
    auto const now = clock::now();
    auto received = std::optional<exchange_message>{};
    if (response && response.value().status == 200) received = decode_exchange(response.value().body);
    context_.metrics_registry.count("exchanges_total", {{"result", received ? "ok" : "failed"}});
    if (!received) {
        table_.probe_missed(peer.name, now);
        co_return;
    }
    budget_.spend(request_bytes + response.value().body.size() + header_bytes, now);
    on_response(peer, *received, requested_at);
}

auto gossip_service::on_response(member const& peer, exchange_message const& response,
                                 time_point requested_at) -> void
{
    auto const now = clock::now();
    // A response without a sender confirms the incarnation and state of the peer that the request named.
    auto sender = response.from.value_or(peer);
    sender.config_revision = response.config_revision;
    // A replacement host under another name may respond at the address of the peer.
    if (sender.name != peer.name) table_.probe_missed(peer.name, now);
    if (sender.name != context_.self.name) table_.probe_succeeded(sender, now);
    merge_members(response, now);
    config_.on_peer_revision(peer.control_address, response.config_revision, response.confirmed_age,
                             requested_at, now, now);
}

auto gossip_service::respond(exchange_message const& request, time_point received_at) -> exchange_message
{
    auto const& sender = *request.from;
    auto const now = clock::now();
    merge_members(request, now); // before the response is built: it may raise the incarnation of this process
    // The response tells the sender what was known about it before its own report is merged, so that it can
    // refute a false report.
    auto response = message_for(sender.name);
    auto const& self = context_.self;
    auto const& to = request.to;
    auto const is_known =
        to && to->name == self.name && to->incarnation == self.incarnation && to->state == self.state;
    if (!is_known) response.from = self;
    if (sender.name != self.name) table_.probe_succeeded(sender, now);
    config_.on_peer_revision(sender.control_address, request.config_revision, request.confirmed_age,
                             std::nullopt, received_at, now);
    return response;
}

auto gossip_service::message_for(std::string const& peer_name) -> exchange_message
{
    auto message = exchange_message{};
    if (auto const* held = table_.find(peer_name); held != nullptr && held->state != member_state::alive)
        message.members.push_back(*held);
    auto const add = [&](std::vector<member> list) {
        for (auto& item : list)
            if (item.name != peer_name) message.members.push_back(std::move(item));
    };
    add(table_.updates(static_cast<std::size_t>(settings_.members_per_exchange)));
    message.digest = table_.digest(context_.self);
    if (digests_differ_) add(table_.next_in_rotation(members_per_rotation));
    message.config_revision = config_.state().revision();
    message.confirmed_age = config_.confirmed_age_for_peers(clock::now());
    return message;
}

auto gossip_service::merge_members(exchange_message const& message, time_point now) -> void
{
    for (auto const& report : message.members) {
        if (report.name == context_.self.name)
            on_report_about_self(report);
        else
            table_.merge(report, now);
    }
    digests_differ_ = message.digest != table_.digest(context_.self);
}

auto gossip_service::on_report_about_self(member const& report) -> void
{
    // The peer may have this from the host list, so the list is read at once; later reads of the list show
    // when it no longer lists this process as leaving.
    if (report.state == member_state::leaving && report.incarnation == context_.self.incarnation &&
        context_.self.state == member_state::alive && !listed_leaving_) {
        listed_leaving_ = true;
        host_list_timer_.cancel();
    }
    auto const raised = refuting_incarnation(context_.self, report);
    if (raised == context_.self.incarnation) return;
    context_.self.incarnation = raised;
    log_event(
        log_level::warning, "rumour_refuted",
        {{"state", std::string{member_state_text(report.state)}}, {"incarnation", std::to_string(raised)}});
    context_.events.record("rumour_refuted", {{"incarnation", std::to_string(raised)}});
}

auto gossip_service::announce_leaving() -> asio::awaitable<void>
{
    context_.self.state = member_state::leaving;
    context_.events.record("leaving_announced", {});
    auto peers = table_.members();
    std::erase_if(peers, [](auto const& peer) { return peer.state == member_state::dead; });
    std::shuffle(peers.begin(), peers.end(), context_.random.engine());
    // Entries are notified first because they route calls; other processes learn it by gossip.
    std::stable_partition(peers.begin(), peers.end(),
                          [](auto const& peer) { return peer.role == member_role::entry; });
    auto const limit = static_cast<std::size_t>(settings_.leaving_peers);
    if (peers.size() > limit) peers.resize(limit);
    for (auto const& peer : peers)
        start_task(context_.io.get_executor(), "gossip_exchange", exchange_with(peer),
                   &context_.metrics_registry);
    co_await sleep_for(settings_.peer_timeout);
}

} // namespace hibiscuswall
