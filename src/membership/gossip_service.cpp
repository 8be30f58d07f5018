#include "hibiscuswall/membership/gossip_service.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/membership/host_list_schedule.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto leaving_readers = std::size_t{1}; // bounds the time between reads of a host listed as leaving
constexpr auto doubtful_per_round = std::size_t{4}; // further probes of members that missed one
constexpr auto dead_probe_share = std::size_t{8};   // one round in this many also probes a dead member, so
                                                    // that regions find each other again

auto revision_of(nlohmann::json const& message) -> std::uint64_t
{
    auto const found = message.find("config_revision");
    return found != message.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

gossip_service::gossip_service(process_context& context, member_table& table, config_service& config,
                               host_list_client& host_list, membership_settings settings)
    : context_{context}, table_{table}, config_{config}, host_list_{host_list}, settings_{settings},
      until_list_{context.io}
{
    context_.rpc.add("peer.exchange",
                     [this](nlohmann::json const& params) { return answer_exchange(params); });
    table_.subscribe([this](member const& changed) {
        auto const state = std::string{member_state_text(changed.state)};
        log_event(log_level::info, "member_changed",
                  {{"member", changed.name},
                   {"state", state},
                   {"incarnation", std::to_string(changed.incarnation)}});
        context_.events.record("member_changed", {{"member", changed.name}, {"state", state}});
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
            context_.measures.count("host_list_failures_total");
        auto counts = table_.counts(context_.self.failure_domain);
        // A host that is held for leaving must learn soon that the list takes it back: nobody else can tell
        // it.
        if (listed_leaving_) counts.in_failure_domain = std::min(counts.in_failure_domain, leaving_readers);
        if (listed_leaving_ || !host_list_read_) counts.live = counts.in_failure_domain;
        if (!host_list_read_) counts = {};
        until_list_.expires_after(
            host_list_delay(settings_.host_list_interval, counts, context_.random.fraction()));
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

auto gossip_service::choose_peers() -> std::vector<member>
{
    auto live = std::vector<member>{};
    auto dead = std::vector<member>{};
    for (auto& peer : table_.members())
        (peer.state == member_state::dead ? dead : live).push_back(std::move(peer));
    auto chosen = std::vector<member>{};
    if (!live.empty()) chosen.push_back(live[context_.random.below(live.size())]);
    if (!dead.empty() && context_.random.below(dead_probe_share) == 0)
        chosen.push_back(dead[context_.random.below(dead.size())]);
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
        auto const now = clock::now();
        table_.expire(now);
        auto alive = 0;
        for (auto const& peer : table_.members())
            if (peer.state == member_state::alive) ++alive;
        context_.measures.set("members_alive", {}, alive);
        for (auto const& peer : choose_peers())
            asio::co_spawn(context_.io, exchange_with(peer), asio::detached);
        // The jitter keeps processes that started together from exchanging in step.
        auto const interval = settings_.exchange_interval.count();
        auto const jitter =
            static_cast<long long>(context_.random.below(static_cast<std::size_t>(interval) / 5 + 1));
        co_await sleep_for(milliseconds{interval - interval / 10 + jitter});
    }
}

auto gossip_service::exchange_with(member peer) -> asio::awaitable<void>
{
    auto const asked_at = clock::now();
    auto answer = co_await rpc_call(context_.client, peer.control, "peer.exchange", message_for(peer.name),
                                    settings_.peer_timeout);
    context_.measures.count("exchanges_total", {{"result", answer ? "ok" : "failed"}});
    auto const now = clock::now();
    if (!answer) {
        table_.probe_missed(peer.name, now);
        co_return;
    }
    auto const& body = answer.value();
    if (!body.is_object() || !body.contains("from")) co_return;
    if (auto const sender = member_from_json(body["from"])) {
        // A replaced host may answer at the address of another name.
        if (sender->name != peer.name) table_.probe_missed(peer.name, now);
        if (sender->name != context_.self.name) table_.probe_answered(*sender, now);
    }
    take_members(body, now);
    config_.heard_from(peer.control, revision_of(body), confirmed_age_in(body), asked_at);
}

auto gossip_service::answer_exchange(nlohmann::json const& params) -> result<nlohmann::json>
{
    auto const sender = params.contains("from") ? member_from_json(params["from"]) : std::nullopt;
    if (!sender) return fail(result_code::request_malformed, "from: is not a member");
    auto const now = clock::now();
    auto answer = nlohmann::json{};
    take_members(params, now); // before the answer: it may raise our incarnation
    // What we hold about the sender goes back to it even when its report replaces it, so that it can refute.
    answer = message_for(sender->name);
    if (sender->name != context_.self.name) table_.probe_answered(*sender, now);
    config_.heard_from(sender->control, revision_of(params), confirmed_age_in(params), now);
    return answer;
}

auto gossip_service::message_for(std::string const& peer_name) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    if (auto const* held = table_.find(peer_name); held != nullptr && held->state != member_state::alive)
        list.push_back(to_json(*held));
    for (auto const& item : table_.news(static_cast<std::size_t>(settings_.members_per_exchange)))
        if (item.name != peer_name) list.push_back(to_json(item));
    auto message = nlohmann::json{{"from", to_json(context_.self)}, {"members", std::move(list)}};
    config_.describe_to_peer(message, clock::now());
    return message;
}

auto gossip_service::take_members(nlohmann::json const& message, time_point now) -> void
{
    auto const found = message.find("members");
    if (found == message.end() || !found->is_array()) return;
    for (auto const& item : *found) {
        auto const report = member_from_json(item);
        if (!report) continue;
        if (report->name == context_.self.name)
            hear_about_self(*report);
        else
            table_.merge(*report, now);
    }
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
