// The part of engine_weights_controller that obtains manifests, from the origin and from peers.
#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

// Delay before each request for a manifest to a source fetcher, which may not have read it yet.
constexpr auto source_fetcher_poll_interval = milliseconds{100};
// After this many polls the source is asked instead, although it can carry only few connections.
constexpr auto max_source_fetcher_polls = 10;
constexpr auto max_manifest_peers = std::size_t{3};       // peers asked one after another for a manifest
constexpr auto manifest_peer_avoid_duration = seconds{5}; // after a peer sent a wrong manifest
constexpr auto max_kept_versions = std::size_t{3};        // versions whose chunks are kept for peers

} // namespace

// Agents that fetch the version from the source. Every agent computes the same result.
auto engine_weights_controller::source_fetchers(std::string const& id) const -> std::vector<member>
{
    auto hosts = std::vector<plan_host>{};
    for (auto const& agent : directory_.agents())
        hosts.push_back({agent.name, true, agent.region == origin_region()});
    auto chosen = std::vector<member>{};
    for (auto const& host : limit_source_fetchers(id, std::move(hosts), settings_.weights.source_fetchers)) {
        if (!host.is_source_fetcher) continue;
        auto const& agents = directory_.agents();
        auto const named = [&](member const& agent) { return agent.name == host.name; };
        chosen.push_back(*std::find_if(agents.begin(), agents.end(), named));
    }
    return chosen;
}

// The source can carry only few connections, and its link is needed for chunks. So source fetchers read the
// manifest from the source, and other agents ask them for it.
auto engine_weights_controller::manifest_from_source_fetchers(std::uint64_t version, std::string const& id)
    -> asio::awaitable<manifest_ptr>
{
    auto const fetchers = source_fetchers(id);
    auto const is_self = [&](member const& agent) { return agent.name == context_.self.name; };
    if (fetchers.empty() || std::any_of(fetchers.begin(), fetchers.end(), is_self)) co_return nullptr;
    for (auto round = 0; round < max_source_fetcher_polls; ++round) {
        co_await sleep_for(source_fetcher_poll_interval);
        auto const& peer = fetchers[context_.random.below(fetchers.size())];
        if (!may_ask_for_manifest(peer, clock::now())) continue;
        auto const received = co_await manifest_from(peer, id);
        if (!received) continue;
        if (auto stored = store_manifest(version, *received, clock::now())) co_return stored;
    }
    co_return nullptr;
}

auto engine_weights_controller::find_manifest(std::uint64_t version) -> asio::awaitable<manifest_ptr>
{
    auto const known = manifests_.find(version);
    if (known != manifests_.end()) co_return known->second;
    auto const id = weights_id(engine_service()->engine->model, std::to_string(version));
    if (auto found = co_await manifest_from_source_fetchers(version, id)) co_return found;
    if (auto found = co_await manifest_from_origin(version)) co_return found;
    co_await directory_.refresh(clock::now());
    if (auto found = co_await manifest_from_peers(version, id)) co_return found;
    log_event(log_level::warning, "manifest_missing", {{"version", id}});
    co_return nullptr;
}

auto engine_weights_controller::manifest_from_origin(std::uint64_t version) -> asio::awaitable<manifest_ptr>
{
    auto const model = engine_service()->engine->model;
    auto const text = co_await origin_.manifest(model, std::to_string(version));
    if (!text) {
        log_event(
            log_level::warning, "manifest_not_received",
            {{"version", weights_id(model, std::to_string(version))}, {"reason", text.error().message}});
        co_return nullptr;
    }
    auto const received = manifest_text{text.value(), {}};
    co_return store_manifest(version, received, clock::now());
}

auto engine_weights_controller::manifest_from_peers(std::uint64_t version, std::string const& id)
    -> asio::awaitable<manifest_ptr>
{
    auto const agents = directory_.agents();
    for (auto tried = std::size_t{0}; tried < std::min(max_manifest_peers, agents.size()); ++tried) {
        auto const& peer = agents[context_.random.below(agents.size())];
        if (peer.name == context_.self.name || !may_ask_for_manifest(peer, clock::now())) continue;
        auto const received = co_await manifest_from(peer, id);
        if (!received) continue;
        if (auto stored = store_manifest(version, *received, clock::now())) co_return stored;
    }
    co_return nullptr;
}

auto engine_weights_controller::manifest_from(member peer, std::string id)
    -> asio::awaitable<std::optional<manifest_text>>
{
    auto params = nlohmann::json{{"version", std::move(id)}};
    auto response = co_await rpc_call(context_.client, peer.control_address, "weights.manifest",
                                      std::move(params), settings_.weights.peer_timeout);
    if (!response || !response.value().is_object()) co_return std::nullopt;
    auto const text = response.value().find("manifest");
    if (text == response.value().end() || !text->is_string()) co_return std::nullopt;
    co_return manifest_text{text->get<std::string>(), peer.name};
}

auto engine_weights_controller::may_ask_for_manifest(member const& peer, time_point now) const -> bool
{
    auto const avoided = avoided_manifest_peers_.find(peer.name);
    return avoided == avoided_manifest_peers_.end() || now >= avoided->second;
}

// A manifest has no digest of its own, so it may be altered on its way. What it says about itself is compared
// with what was asked for and with the service's declaration. A wrong digest of a chunk shows in the
// transfer.
auto engine_weights_controller::check_manifest(std::uint64_t version, std::string const& text) const
    -> result<manifest>
{
    auto decoded = platform::decode_manifest(text);
    if (!decoded) return decoded;
    auto const& engine = *engine_service()->engine;
    auto const& found = decoded.value();
    if (found.id() != weights_id(engine.model, std::to_string(version)))
        return fail(result_code::manifest_invalid, "it is that of " + found.id());
    if (found.chunks.size() != engine.chunks)
        return fail(result_code::manifest_invalid, std::to_string(found.chunks.size()) +
                                                       " chunks, expected " + std::to_string(engine.chunks));
    if (engine.chunk_bytes > 0 && found.chunks.front().size != engine.chunk_bytes)
        return fail(result_code::manifest_invalid, std::to_string(found.chunks.front().size) +
                                                       " bytes in a chunk, expected " +
                                                       std::to_string(engine.chunk_bytes));
    return decoded;
}

auto engine_weights_controller::store_manifest(std::uint64_t version, manifest_text const& received,
                                               time_point now) -> manifest_ptr
{
    auto checked = check_manifest(version, received.text);
    if (!checked) {
        log_event(log_level::warning, "manifest_refused",
                  {{"version", std::to_string(version)},
                   {"from", received.sender.empty() ? "origin" : received.sender},
                   {"reason", checked.error().message}});
        context_.metrics_registry.count("weights_manifests_refused",
                                        {{"from", received.sender.empty() ? "source" : "peer"}});
        if (!received.sender.empty())
            avoided_manifest_peers_[received.sender] = now + manifest_peer_avoid_duration;
        return nullptr;
    }
    auto stored = std::make_shared<manifest const>(std::move(checked).value());
    manifests_[version] = stored;
    reserve(stored);
    while (manifests_.size() > max_kept_versions) {
        complete_since_.erase(manifests_.begin()->first);
        nearly_complete_since_.erase(manifests_.begin()->first);
        told_chunks_.erase(manifests_.begin()->second->id());
        trusted_manifests_.erase(manifests_.begin()->first);
        chunks_.release(manifests_.begin()->second->id());
        manifests_.erase(manifests_.begin());
    }
    return stored;
}

auto engine_weights_controller::reserve(manifest_ptr const& version) -> void
{
    auto const reserved = chunks_.reserve(version);
    if (!reserved)
        log_event(log_level::error, "weights_too_large",
                  {{"version", version->id()}, {"reason", reserved.error().message}});
}

} // namespace hibiscuswall
