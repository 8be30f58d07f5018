#include "hibiscuswall/membership/gossip_service.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/membership/host_list_schedule.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// GCC 12 takes the coroutine frame's own operator new and delete for mismatched once one of them is inlined.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace hibiscuswall {
namespace {

constexpr auto peers_told_early = 2;                // in each early round
constexpr auto doubtful_per_round = std::size_t{4}; // further probes of members that missed one
constexpr auto dead_probe_share = std::size_t{8};   // one round in this many also probes a dead member, so
                                                    // that regions find each other again

constexpr auto refreshed_members = std::size_t{4}; // sent to a peer whose digest differs
constexpr auto header_bytes = std::size_t{160};    // of one exchange, both messages; for the budget
constexpr auto leaving_readers = std::size_t{1}; // bounds the time between reads of a host listed as leaving

} // namespace

gossip_service::gossip_service(process_context& context, member_table& table, config_service& config,
                               host_list_client& host_list, membership_settings settings)
    : context_{context}, table_{table}, config_{config}, host_list_{host_list}, settings_{settings},
      budget_{settings.exchange_bytes_per_second}, until_round_{context.io}, until_list_{context.io}
{
    context_.control.add("POST", "/exchange",
                         [this](http_request const& request, http_responder& out) -> asio::awaitable<void> {
                             auto answer = http_response{400, {}, {}};
                             if (auto const message = decode_exchange(request.body); message && message->from)
                                 answer = http_response{200, {}, encode(answer_exchange(*message))};
                             else
                                 context_.metrics_registry.count("exchanges_malformed_total");
                             co_await out.send(std::move(answer));
                         });
    table_.subscribe([this](member const& changed) {
        auto const state = std::string{member_state_text(changed.state)};
        log_event(log_level::info, "member_changed",
                  {{"member", changed.name},
                   {"state", state},
                   {"incarnation", std::to_string(changed.incarnation)}});
        context_.events.record("member_changed", {{"member", changed.name}, {"state", state}});
        if (table_.has_fresh_news()) until_round_.cancel();
    });
}

auto gossip_service::start() -> void
{
    asio::co_spawn(context_.io, host_list_loop(), asio::detached);
    asio::co_spawn(context_.io, exchange_loop(), asio::detached);
}

auto gossip_service::host_list_loop() -> asio::awaitable<void>
{
    while (true) {
        auto listed = co_await host_list_.hosts();
        if (listed)
            take_host_list(std::move(listed).value());
        else
            context_.metrics_registry.count("host_list_failures_total");
        auto counts = table_.counts(context_.self.failure_domain);
        // A host that is held for leaving must learn soon that the list takes it back: nobody else can tell
        // it.
        if (listed_leaving_) counts.in_failure_domain = std::min(counts.in_failure_domain, leaving_readers);
        if (listed_leaving_ || !host_list_read_) counts.live = counts.in_failure_domain;
        if (!host_list_read_) counts = {};
        auto const part = host_list_part(context_.random.fraction(), context_.self.name);
        until_list_.expires_after(host_list_delay(settings_.host_list_interval, counts, part));
        co_await until_list_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto gossip_service::take_host_list(std::vector<member> hosts) -> void
{
    host_list_read_ = true;
    auto const self = std::find_if(hosts.begin(), hosts.end(),
                                   [&](auto const& host) { return host.name == context_.self.name; });
    if (self != hosts.end()) {
        auto const leaving = self->state == member_state::leaving;
        // Peers hold this process for leaving by the list's word: a new incarnation takes it back.
        if (listed_leaving_ && !leaving && context_.self.state == member_state::alive)
            ++context_.self.incarnation;
        listed_leaving_ = leaving;
        hosts.erase(self);
    }
    table_.merge_host_list(hosts, clock::now());
}

auto gossip_service::any_live_peer() -> std::vector<member>
{
    auto const live = table_.counts({}).live;
    if (live == 0) return {};
    // Processes with the same seed must not all ask the same peer: news would wait while one hears it from
    // all.
    auto const offset = static_cast<std::size_t>(rendezvous_weight("exchange", context_.self.name) % live);
    auto const* chosen = table_.nth((context_.random.below(live) + offset) % live, false);
    return chosen == nullptr ? std::vector<member>{} : std::vector<member>{*chosen};
}

auto gossip_service::choose_peers() -> std::vector<member>
{
    auto chosen = any_live_peer();
    auto const dead = table_.counts({}).dead;
    if (dead > 0 && context_.random.below(dead_probe_share) == 0)
        chosen.push_back(*table_.nth(context_.random.below(dead), true));
    auto doubtful = table_.doubtful();
    std::shuffle(doubtful.begin(), doubtful.end(), context_.random.engine());
    if (doubtful.size() > doubtful_per_round) doubtful.resize(doubtful_per_round);
    for (auto const& name : doubtful) {
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
            asio::co_spawn(context_.io, exchange_with(peer), asio::detached);
        // Early rounds only pass on news: missed probes are counted at the pace of the regular ones.
        while (co_await wait_for_round())
            for (auto i = 0; i < peers_told_early; ++i)
                for (auto const& peer : any_live_peer())
                    asio::co_spawn(context_.io, exchange_with(peer), asio::detached);
    }
}

// Waits for the next round; true when it is an early one.
auto gossip_service::wait_for_round() -> asio::awaitable<bool>
{
    auto const now = clock::now();
    // The jitter keeps processes that started together from exchanging in step.
    if (now >= regular_at_) {
        auto const interval = settings_.exchange_interval.count();
        auto const jitter =
            static_cast<long long>(context_.random.below(static_cast<std::size_t>(interval) / 5 + 1));
        regular_at_ = now + milliseconds{interval - interval / 10 + jitter};
    }
    auto const pause = std::chrono::ceil<milliseconds>(regular_at_ - now);
    co_await sleep_for(std::min(settings_.news_interval, pause));
    while (clock::now() < regular_at_) {
        if (table_.has_fresh_news() && budget_.allows(clock::now())) co_return true;
        until_round_.expires_at(regular_at_);
        co_await until_round_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return false;
}

auto gossip_service::exchange_with(member peer) -> asio::awaitable<void>
{
    auto const requested_at = clock::now();
    auto message = message_for(peer.name);
    message.from = context_.self;
    message.to = addressee{peer.name, peer.incarnation, peer.state};
    auto request = http_request{"POST", "/exchange", {}, encode(std::move(message))};
    auto const request_bytes = request.body.size();
    auto options = http_call_options{};
    options.timeout = settings_.peer_timeout;
    options.connect_timeout = settings_.peer_timeout;
    options.body_limit = exchange_bytes_limit;
    options.purpose = "peer.exchange";
    auto response = co_await context_.client.fetch(peer.control_address, std::move(request), options);
    auto const now = clock::now();
    auto answer = std::optional<exchange_message>{};
    if (response && response.value().status == 200) answer = decode_exchange(response.value().body);
    context_.metrics_registry.count("exchanges_total", {{"result", answer ? "ok" : "failed"}});
    if (!answer) {
        table_.probe_missed(peer.name, now);
        co_return;
    }
    budget_.spend(request_bytes + response.value().body.size() + header_bytes, now);
    take_answer(peer, *answer, requested_at);
}

auto gossip_service::take_answer(member const& peer, exchange_message const& answer, time_point requested_at)
    -> void
{
    auto const now = clock::now();
    // Without a sender the process is the one that was asked, with the incarnation and state known here.
    auto sender = answer.from.value_or(peer);
    sender.config_revision = answer.config_revision;
    // A replaced host may answer at the address of another name.
    if (sender.name != peer.name) table_.probe_missed(peer.name, now);
    if (sender.name != context_.self.name) table_.probe_answered(sender, now);
    take_members(answer, now);
    config_.on_peer_revision(peer.control_address, answer.config_revision, answer.confirmed_age, requested_at,
                             now);
}

auto gossip_service::answer_exchange(exchange_message const& request) -> exchange_message
{
    auto const& sender = *request.from;
    auto const now = clock::now();
    take_members(request, now); // before the answer: it may raise our incarnation
    // What we hold about the sender goes back to it even when its report replaces it, so that it can refute.
    auto answer = message_for(sender.name);
    auto const& self = context_.self;
    auto const& to = request.to;
    auto const known =
        to && to->name == self.name && to->incarnation == self.incarnation && to->state == self.state;
    if (!known) answer.from = self;
    if (sender.name != self.name) table_.probe_answered(sender, now);
    config_.on_peer_revision(sender.control_address, request.config_revision, request.confirmed_age,
                             std::nullopt, now);
    return answer;
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
    add(table_.news(static_cast<std::size_t>(settings_.members_per_exchange)));
    message.digest = table_.digest(context_.self);
    if (peer_differs_) add(table_.refresh(refreshed_members));
    message.config_revision = config_.state().revision();
    message.confirmed_age = config_.confirmed_age_for_peers(clock::now());
    return message;
}

auto gossip_service::take_members(exchange_message const& message, time_point now) -> void
{
    for (auto const& report : message.members) {
        if (report.name == context_.self.name)
            hear_about_self(report);
        else
            table_.merge(report, now);
    }
    peer_differs_ = message.digest != table_.digest(context_.self);
}

auto gossip_service::hear_about_self(member const& report) -> void
{
    // The list may have said so; the next reads of it tell when it takes this process back.
    if (report.state == member_state::leaving && report.incarnation == context_.self.incarnation &&
        context_.self.state == member_state::alive && !listed_leaving_) {
        listed_leaving_ = true;
        until_list_.cancel();
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
    // Entries route: they are told first; the others hear of it from gossip.
    std::stable_partition(peers.begin(), peers.end(),
                          [](auto const& peer) { return peer.role == member_role::entry; });
    auto const limit = static_cast<std::size_t>(settings_.leaving_peers);
    if (peers.size() > limit) peers.resize(limit);
    for (auto const& peer : peers)
        asio::co_spawn(context_.io, exchange_with(peer), asio::detached);
    co_await sleep_for(settings_.peer_timeout);
}

} // namespace hibiscuswall
