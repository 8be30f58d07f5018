// The part of config_service that communicates with peers: pushes along the push tree, and fetches.

#include "hibiscuswall/config/config_service.hpp"
#include "hibiscuswall/config/push_tree.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace hibiscuswall {
namespace {

constexpr auto max_confirmed_age = 365LL * 24 * 3600 * 1000; // ms; keeps arithmetic on time points in range

// Time of the confirmation that a peer's message gives. A peer that sends no age confirms nothing: the result
// is the oldest time.
auto confirmed_at(time_point stated_at, std::optional<milliseconds> age) -> time_point
{
    return age ? stated_at - *age : time_point{};
}

// Reads the confirmation age of a peer's message. None if it is absent or malformed; then the peer confirms
// nothing.
auto decode_confirmed_age(nlohmann::json const& message) -> std::optional<milliseconds>
{
    auto const found = message.find("confirmed_age_ms");
    if (found == message.end() || !found->is_number_integer()) return std::nullopt;
    auto const age = found->get<long long>();
    if (age < 0 || age > max_confirmed_age) return std::nullopt;
    return milliseconds{age};
}

} // namespace

auto config_service::add_methods() -> void
{
    context_.rpc.add_timed("config.push", [this](nlohmann::json const& params, time_point received_at) {
        return handle_push(params, received_at);
    });
    context_.rpc.add("config.fetch", [this](nlohmann::json const& params) { return handle_fetch(params); });
}

auto config_service::confirmed_age_for_peers(time_point now) const -> std::optional<milliseconds>
{
    if (!state_.document() || state_.paused(now)) return std::nullopt;
    return state_.confirmed_age(now);
}

// ---- pushes

// The sender stated the age of its confirmation before the transfer began.
auto config_service::handle_push(nlohmann::json const& params, time_point received_at)
    -> result<nlohmann::json>
{
    auto parsed = delta_from_json(params);
    if (!parsed) return parsed.error();
    auto const& delta = parsed.value();
    auto const confirmed = confirmed_at(received_at, decode_confirmed_age(params));
    if (state_.document() && delta.revision <= state_.revision()) {
        state_.confirm(delta.revision, confirmed);
        return nlohmann::json{{"revision", state_.revision()}};
    }
    auto const empty = config_document{};
    auto const base = state_.recent(delta.from_revision);
    // This process lacks the document that the delta applies to. The response contains this process's own
    // revision, so that the sender can make a delta from it.
    if (delta.from_revision != 0 && !base) {
        context_.metrics_registry.count("config_push_gaps_total");
        return nlohmann::json{{"revision", state_.revision()}};
    }
    auto next = apply_delta(delta.from_revision == 0 ? empty : *base, delta);
    if (!next) {
        log_event(log_level::warning, "config_push_refused", {{"reason", next.error().message}});
        return next.error();
    }
    adopt(std::move(next).value(), confirmed, "push");
    return nlohmann::json{{"revision", state_.revision()}};
}

auto config_service::push_out(std::string_view source) -> void
{
    auto const members = members_.members();
    auto const& self = context_.self;
    auto const begin_push = [&](std::vector<std::string> const& order, std::string const& name) {
        if (name != self.name) asio::co_spawn(context_.io, push_to(order, name, true), asio::detached);
    };
    auto const order = push_order(self, members, self.failure_domain);
    for (auto const& child : push_children(order, self.name, settings_.fan_out))
        begin_push(order, child);
    if (source == "push") return;
    // A revision that was not received through the tree is pushed to the tree's root. A write is also pushed
    // to the roots of the other failure domains, so that it spreads while watches of the store fail.
    if (!order.empty()) begin_push(order, order.front());
    if (source != "apply") return;
    auto domains = std::set<std::string>{};
    for (auto const& peer : members)
        if (peer.failure_domain != self.failure_domain) domains.insert(peer.failure_domain);
    for (auto const& domain : domains) {
        auto const domain_order = push_order(self, members, domain);
        if (!domain_order.empty()) begin_push(domain_order, domain_order.front());
    }
}

auto config_service::push_to(std::vector<std::string> order, std::string name, bool with_subtree)
    -> asio::awaitable<void>
{
    auto reached = false;
    if (auto const* found = members_.find(name); found != nullptr) {
        auto const peer = *found;
        reached = co_await push_once(peer);
    }
    if (reached || !with_subtree) co_return;
    // A node that does not respond must not cut off its subtree, so its children are pushed to directly.
    for (auto const& child : push_children(order, name, settings_.fan_out))
        if (child != context_.self.name)
            asio::co_spawn(context_.io, push_to(order, child, true), asio::detached);
}

auto config_service::push_once(member peer) -> asio::awaitable<bool>
{
    auto peer_revision = peer.config_revision;
    for (auto attempt = 0; attempt < 2; ++attempt) {
        auto const document = state_.document();
        if (peer_revision >= document->revision) co_return true;
        // The peer's revision in the member table may be outdated. The peer usually has the revision that
        // this process had before, so the first attempt sends the delta from that one.
        auto const before = document->recent.empty() ? 0 : document->recent.front().revision;
        auto const from = attempt == 0 && before != 0 && state_.recent(before) ? before : peer_revision;
        auto const base = from == 0 ? nullptr : state_.recent(from);
        auto const empty = config_document{};
        auto message = to_json(make_delta(base ? *base : empty, *document));
        message["confirmed_age_ms"] = state_.confirmed_age(clock::now()).count();
        auto response = co_await rpc_call(context_.client, peer.control_address, "config.push",
                                          std::move(message), settings_.peer_timeout);
        context_.metrics_registry.count("config_pushes_total", {{"result", response ? "ok" : "failed"}});
        if (!response) co_return false;
        auto const& body = response.value();
        if (!body.is_object() || !body.contains("revision") || !body["revision"].is_number_unsigned())
            co_return false;
        peer_revision = body["revision"].get<std::uint64_t>();
        if (peer_revision > document->revision) {
            static_cast<void>(co_await fetch_from(peer.control_address));
            co_return true;
        }
    }
    co_return peer_revision >= state_.revision();
}

// ---- fetches

auto config_service::handle_fetch(nlohmann::json const& params) const -> result<nlohmann::json>
{
    auto const have_revision = params.find("have_revision");
    if (have_revision == params.end() || !have_revision->is_number_unsigned())
        return fail(result_code::request_malformed, "have_revision: must be an unsigned number");
    auto const document = state_.document();
    if (!document) return fail(result_code::configuration_missing, "this process has no configuration yet");
    auto const known_revision = have_revision->get<std::uint64_t>();
    auto response = nlohmann::json{{"revision", document->revision}, {"write_id", document->write_id}};
    if (auto const age = confirmed_age_for_peers(clock::now())) response["confirmed_age_ms"] = age->count();
    if (known_revision >= document->revision) return response; // the caller is up to date: no resources
    auto const base = known_revision == 0 ? nullptr : state_.recent(known_revision);
    auto delta = make_delta(base ? *base : config_document{}, *document);
    delta.recent = document->recent; // all recent writes, because the caller may have none
    auto body = to_json(delta);
    response["resources"] = document->resources;
    response["objects"] = std::move(body["objects"]);
    response["recent"] = std::move(body["recent"]);
    return response;
}

auto config_service::fetch_from(address peer) -> asio::awaitable<result<void>>
{
    auto const requested_at = clock::now();
    auto params = nlohmann::json{{"have_revision", state_.revision()}};
    auto response =
        co_await rpc_call(context_.client, peer, "config.fetch", std::move(params), settings_.peer_timeout);
    if (!response) co_return response.error();
    auto body = std::move(response).value();
    if (!body.is_object() || !body.contains("revision") || !body["revision"].is_number_unsigned())
        co_return fail(result_code::response_malformed,
                       "config.fetch: expected a response with a numeric revision");
    auto const age = decode_confirmed_age(body);
    auto const revision = body["revision"].get<std::uint64_t>();
    if (body.contains("resources") && (!state_.document() || revision > state_.revision())) {
        body["from_revision"] = 0;
        body["changed"] = std::move(body["resources"]);
        auto delta = delta_from_json(body);
        if (!delta) co_return delta.error();
        auto complete = std::move(delta).value();
        if (auto const own = state_.document())
            complete.objects.insert(own->objects.begin(), own->objects.end());
        auto next = apply_delta(config_document{}, complete);
        if (!next) co_return next.error();
        auto document = std::move(next).value();
        adopt(std::move(document), confirmed_at(requested_at, age), "fetch");
    }
    if (revision == 0 && !state_.document() && age)
        adopt(config_document{}, confirmed_at(requested_at, age), "fetch");
    if (age && state_.document() && revision == state_.revision()) {
        state_.confirm(revision, requested_at - *age);
        state_.end_pause(requested_at);
    }
    co_return success();
}

auto config_service::fetch_in_background(address peer) -> asio::awaitable<void>
{
    auto const fetched = co_await fetch_from(std::move(peer));
    fetching_ = false;
    if (!fetched) log_event(log_level::warning, "config_fetch_failed", {{"reason", fetched.error().message}});
}

auto config_service::on_peer_revision(address peer, std::uint64_t revision,
                                      std::optional<milliseconds> confirmed_age,
                                      std::optional<time_point> requested_at, time_point received_at,
                                      time_point now) -> void
{
    if (!state_.document()) return; // start_loop() still fetches the first document
    if (revision > state_.revision()) {
        if (fetching_) return;
        fetching_ = true;
        asio::co_spawn(context_.io, fetch_in_background(std::move(peer)), asio::detached);
        return;
    }
    if (revision < state_.revision() || !confirmed_age) return;
    if (!requested_at && state_.paused(now)) return;
    state_.confirm(revision, requested_at.value_or(received_at) - *confirmed_age);
    if (requested_at) state_.end_pause(*requested_at);
}

auto config_service::random_peers(std::size_t count) const -> std::vector<member>
{
    auto peers = members_.members();
    std::erase_if(peers, [](auto const& peer) { return peer.state == member_state::dead; });
    std::shuffle(peers.begin(), peers.end(), context_.random.engine());
    if (peers.size() > count) peers.resize(count);
    return peers;
}

} // namespace hibiscuswall
