// The part of engine_weights_controller that obtains the chunks of a version: holdings of peers and
// transfers.
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
constexpr auto manifest_retry_delay = seconds{5}; // after the origin did not send a manifest that is doubted
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
constexpr auto max_agent_list_reads = 5; // before a transfer begins without the list of agents
constexpr auto max_concurrent_versions = std::size_t{2}; // transferred at the same time

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
    auto& running = *transfer_entry->second;
    running.on_peer_holdings(holdings.agent, chunks_from_hex(holdings.chunks, running.chunk_count()));
}

auto engine_weights_controller::origin_region() const -> std::string
{
    for (auto const& each : declared_state_.map()->services())
        if (each.weight_origin) return directory_.region_of(each.origin_failure_domain);
    return {};
}

// ---- transfers

// The oldest version that is transferred: nobody needs those before the newest max_concurrent_versions.
auto engine_weights_controller::oldest_transferred() const -> std::uint64_t
{
    auto const kept = std::min(declared_.size(), max_concurrent_versions);
    return declared_[declared_.size() - kept].version;
}

// Starts transfers of the versions that the engine lacks.
auto engine_weights_controller::start_transfers() -> void
{
    auto const held = held_version();
    for (auto const& each : declared_) {
        auto const version = each.version;
        if (version < oldest_transferred() || (held && *held >= version) ||
            complete_since_.contains(version) || versions_in_progress_.contains(version))
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
        if (version < oldest_transferred() || (held && *held >= version)) running->cancel();
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

// An agent that knows no others asks the source for everything, as would all others after a loss of power.
auto engine_weights_controller::read_agents() -> asio::awaitable<void>
{
    for (auto tried = 0; tried < max_agent_list_reads; ++tried) {
        co_await directory_.refresh(clock::now());
        if (directory_.generation() > 0) co_return;
        co_await sleep_for(failure_retry_delay);
    }
}

auto engine_weights_controller::fetch_version(std::uint64_t version) -> asio::awaitable<void>
{
    auto const begun = clock::now();
    // Also if an exception ends the fetch, so that another one can start.
    auto const in_progress = std::shared_ptr<void>{
        nullptr, [this, version](void* /*unused*/) { versions_in_progress_.erase(version); }};
    co_await read_agents();
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
                  {{"version", found->id()}, {"took_ms", milliseconds_text(clock::now() - begun)}});
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

} // namespace hibiscuswall
