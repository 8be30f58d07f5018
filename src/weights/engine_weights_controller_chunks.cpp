// The part of engine_weights_controller that obtains the chunks of a version: holdings of peers, transfers
// and manifests.
#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/background.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto reconcile_interval = milliseconds{50};
constexpr auto failure_retry_delay = milliseconds{200}; // after a step that failed
// Delay before each request for a manifest to a source fetcher, which may not have read it yet.
constexpr auto source_fetcher_poll_interval = milliseconds{100};
// After this many polls the source is asked instead, although it can carry only few connections.
constexpr auto max_source_fetcher_polls = 10;
constexpr auto max_manifest_peers = std::size_t{3}; // peers asked one after another for a manifest
constexpr auto manifest_retry_delay = seconds{5}; // after the origin did not send a manifest that is doubted
constexpr auto manifest_peer_avoid_duration = seconds{5}; // after a peer sent a wrong manifest
constexpr auto max_kept_versions = std::size_t{3};        // versions whose chunks are kept for peers
constexpr auto same_region_receivers = std::size_t{8};  // agents per round that receive this host's holdings
constexpr auto other_region_receivers = std::size_t{2}; // the same for agents of other regions
constexpr auto complete_announce_rounds =
    std::size_t{3}; // complete holdings do not change: sent in every third
// Holdings are still sent this long after a version is complete.
constexpr auto announce_duration = seconds{6};
// Time within which all chunks are fetched from the source if it responds.
constexpr auto source_fetch_duration = milliseconds{3'000};
// Peers hold no chunk of a version declared this recently.
constexpr auto new_version_window = milliseconds{700};
constexpr auto max_concurrent_versions = std::size_t{2}; // transferred at the same time

auto ms_text(clock::duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

} // namespace

// ---- chunk holdings of peers

// While a version spreads, its holders send their holdings to other agents. Polling each agent in turn would
// take longer than the chunks themselves.
auto engine_weights_controller::send_holdings() -> void
{
    auto const now = clock::now();
    ++holdings_round_;
    for (auto const& [version, manifest] : manifests_) {
        auto const complete = complete_since_.find(version);
        auto const is_spreading = complete == complete_since_.end()
                                      ? transfers_.contains(version)
                                      : now - complete->second < announce_duration;
        if (!is_spreading) continue;
        auto const is_complete = complete != complete_since_.end();
        if (is_complete && holdings_round_ % complete_announce_rounds != 0) continue;
        auto receivers = next_holdings_receivers();
        // Source fetchers receive each other's holdings in every round, so that none fetches a chunk twice.
        add_receivers_of_other_regions(*manifest, receivers);
        if (!is_complete) {
            auto const fetchers = source_fetchers(manifest->id());
            receivers.insert(receivers.end(), fetchers.begin(), fetchers.end());
        }
        loads_.send_holdings({context_.self.name, version, chunks_to_hex(chunks_.held(*manifest))},
                             receivers);
    }
}

// For each chunk, the agents that fetch it into the other regions.
auto engine_weights_controller::fetchers_of_other_regions(manifest const& version)
    -> std::vector<std::vector<member>> const&
{
    auto& known = region_fetchers_;
    if (known.version == version.id() && known.generation == directory_.generation()) return known.by_chunk;
    known.version = version.id();
    known.generation = directory_.generation();
    known.by_chunk.assign(version.chunks.size(), {});
    auto regions = std::map<std::string, std::vector<std::string>>{};
    auto agents = std::map<std::string, member>{};
    for (auto const& agent : directory_.agents()) {
        if (agent.region == context_.self.region) continue;
        regions[agent.region].push_back(agent.name);
        agents.emplace(agent.name, agent);
    }
    for (auto const& [region, names] : regions) {
        auto const fetchers = region_fetchers(version.chunks, names);
        for (auto i = std::size_t{0}; i < fetchers.size(); ++i)
            known.by_chunk[i].push_back(agents.at(fetchers[i]));
    }
    return known.by_chunk;
}

// A chunk leaves its first region as soon as the agents that fetch it into the others know a holder; in turn
// they would hear of it only after several seconds. So hosts in the region of the origin tell them of each
// new chunk, and the source fetchers, which hold it first, in every round.
auto engine_weights_controller::add_receivers_of_other_regions(manifest const& version,
                                                               std::vector<member>& receivers) -> void
{
    if (context_.self.region != origin_region()) return;
    auto const is_self = [&](member const& agent) { return agent.name == context_.self.name; };
    auto const source = source_fetchers(version.id());
    auto const tells_all = std::any_of(source.begin(), source.end(), is_self);
    auto const held = chunks_.held(version);
    auto& told = told_chunks_[version.id()];
    told.resize(held.size());
    auto const& fetchers = fetchers_of_other_regions(version);
    auto added = std::set<std::string>{};
    for (auto i = std::size_t{0}; i < fetchers.size(); ++i) {
        if (!held[i] || (told[i] && !tells_all)) continue;
        told[i] = true;
        for (auto const& agent : fetchers[i])
            if (added.insert(agent.name).second) receivers.push_back(agent);
    }
}

// Selects a few agents per round in turn. With a hundred agents, sending to all costs more than the chunks
// do.
auto engine_weights_controller::next_holdings_receivers() -> std::vector<member>
{
    auto same_region = std::vector<member>{};
    auto other_regions = std::vector<member>{};
    for (auto const& agent : directory_.agents())
        (agent.region == context_.self.region ? same_region : other_regions).push_back(agent);
    auto chosen = std::vector<member>{};
    auto const take = [&](std::vector<member> const& from, std::size_t max_count) {
        for (auto i = std::size_t{0}; i < std::min(max_count, from.size()); ++i)
            chosen.push_back(from[(holdings_round_ * max_count + i) % from.size()]);
    };
    take(same_region, same_region_receivers);
    take(other_regions, other_region_receivers);
    return chosen;
}

auto engine_weights_controller::on_peer_holdings(chunk_holdings const& holdings) -> void
{
    auto const transfer_entry = transfers_.find(holdings.version);
    if (transfer_entry == transfers_.end()) return;
    auto const& chunks = manifests_.at(holdings.version)->chunks;
    transfer_entry->second->on_peer_holdings(holdings.agent, chunks_from_hex(holdings.chunks, chunks.size()));
}

auto engine_weights_controller::origin_region() const -> std::string
{
    for (auto const& each : declared_state_.map()->services())
        if (each.weight_origin) return directory_.region_of(each.origin_failure_domain);
    return {};
}

// ---- transfers

// Starts transfers for the newest max_concurrent_versions versions that the engine lacks.
auto engine_weights_controller::start_transfers() -> void
{
    auto const held = held_version();
    auto const from =
        declared_.size() > max_concurrent_versions ? declared_.size() - max_concurrent_versions : 0;
    for (auto i = from; i < declared_.size(); ++i) {
        auto const version = declared_[i].version;
        if ((held && *held >= version) || complete_since_.contains(version) ||
            versions_in_progress_.contains(version))
            continue;
        versions_in_progress_.insert(version);
        start_task(context_.io.get_executor(), "fetch_version", fetch_version(version),
                   &context_.metrics_registry);
    }
}

auto engine_weights_controller::stop_old_transfers() -> void
{
    auto const held = held_version();
    for (auto const& [version, running] : transfers_)
        if (held && *held >= version) running->cancel();
}

// The source's link carries one version at a time. While an older version was declared less than
// source_fetch_duration ago and has chunks without a holder, newer versions start no source fetch. Otherwise
// an outage of the source could leave both incomplete.
auto engine_weights_controller::schedule_source_fetches(time_point now) -> void
{
    auto older_incomplete = false;
    for (auto const& each : declared_) {
        auto const transfer_entry = transfers_.find(each.version);
        if (transfer_entry == transfers_.end()) continue;
        if (older_incomplete) transfer_entry->second->pause_source_fetches(now + 2 * reconcile_interval);
        if (transfer_entry->second->chunks_without_holder() > 0 &&
            now - each.declared_at < source_fetch_duration)
            older_incomplete = true;
    }
}

auto engine_weights_controller::fetch_version(std::uint64_t version) -> asio::awaitable<void>
{
    auto const begun = clock::now();
    // Also if an exception ends the fetch, so that another one can start.
    auto const in_progress = std::shared_ptr<void>{
        nullptr, [this, version](void* /*unused*/) { versions_in_progress_.erase(version); }};
    co_await directory_.refresh(begun);
    auto const found = co_await find_manifest(version);
    auto done = false;
    if (found != nullptr) {
        // After a restart of this agent or the engine, the engine may have chunks of this version staged.
        if (!stage_known_) {
            [[maybe_unused]] auto const held = co_await stage_.read_back(found);
        }
        done = co_await run_transfer(found);
    }
    if (done) {
        complete_since_.try_emplace(version, clock::now());
        log_event(log_level::info, "weights_whole",
                  {{"version", found->id()}, {"took_ms", ms_text(clock::now() - begun)}});
    } else {
        co_await sleep_for(failure_retry_delay);
    }
}

auto engine_weights_controller::run_transfer(manifest_ptr version) -> asio::awaitable<bool>
{
    auto const number = std::strtoull(version->version.c_str(), nullptr, 10);
    auto const running = std::make_shared<transfer>(
        resources_, version, [this] { return directory_.agents(); }, origin_region());
    transfers_[number] = running;
    auto const trusted = trusted_manifests_.find(number);
    if (trusted != trusted_manifests_.end() && clock::now() < trusted->second) running->trust_manifest();
    log_event(log_level::info, "transfer_begun",
              {{"version", version->id()}, {"agents", std::to_string(directory_.agents().size())}});
    // Peers hold no chunks of a version that was declared a moment ago, so they need not be asked first.
    auto const is_new = !declared_.empty() && declared_.back().version == number &&
                        clock::now() - declared_.back().declared_at < new_version_window;
    auto const transferred = co_await running->run(!is_new);
    transfers_.erase(number);
    if (transferred) co_return true;
    log_event(log_level::info, "transfer_ended",
              {{"version", version->id()}, {"reason", transferred.error().message}});
    if (transferred.error().code == result_code::chunk_corrupt) co_await replace_doubted_manifest(number);
    co_return false;
}

auto engine_weights_controller::replace_doubted_manifest(std::uint64_t version) -> asio::awaitable<void>
{
    auto const known = manifests_.find(version);
    if (known == manifests_.end()) co_return;
    auto const before = known->second->digest;
    auto const received = co_await manifest_from_origin(version);
    auto const outcome = received == nullptr          ? "not_received"
                         : received->digest == before ? "same"
                                                      : "replaced";
    // One that the origin sends twice is right.
    trusted_manifests_[version] =
        received == nullptr ? clock::now() + manifest_retry_delay : time_point::max();
    if (received != nullptr && received->digest != before) trusted_manifests_.erase(version);
    log_event(log_level::warning, "manifest_doubted",
              {{"version", std::to_string(version)}, {"outcome", outcome}});
    context_.metrics_registry.count("weights_manifests_doubted", {{"outcome", outcome}});
}

// ---- manifests

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
