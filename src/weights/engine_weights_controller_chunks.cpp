// How an engine keeper brings the chunks of a version to its host: who holds what, transfers, manifests.
#include "hibiscuswall/weights/engine_weights_controller.hpp"

#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto work_period = milliseconds{50};
constexpr auto failure_pause = milliseconds{200}; // after a step that did not succeed
constexpr auto drawer_pause = milliseconds{100};  // until an agent that draws has read the manifest
constexpr auto drawer_rounds = 10;                // then the source is asked: it bears few connections
constexpr auto manifest_peers = std::size_t{3};   // asked at a time
constexpr auto kept_versions = std::size_t{3};    // whose chunks peers may still fetch
constexpr auto near_listeners = std::size_t{10};  // told at a time what is held here
constexpr auto far_listeners = std::size_t{4};    // the same, in other regions
constexpr auto tell_time = seconds{6};            // after a version is whole here
constexpr auto draw_time = milliseconds{3'000};   // a copy is drawn within it if the source answers
constexpr auto new_version_time = milliseconds{700};
constexpr auto versions_brought = std::size_t{2}; // at a time

auto ms_text(clock::duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

} // namespace

// ---- exchange of chunks

// While a version spreads, its holders tell the others what they have: asking each in turn takes longer than
// the chunks themselves.
auto engine_keeper::tell_holdings() -> void
{
    auto const now = clock::now();
    for (auto const& [version, manifest] : manifests_) {
        auto const whole = whole_.find(version);
        auto const spreads =
            whole == whole_.end() ? moving_.contains(version) : now - whole->second < tell_time;
        if (!spreads) continue;
        auto listeners = next_listeners();
        // Those that draw know of each other at once, so that they draw no chunk twice.
        if (whole == whole_.end()) {
            auto const drawing = drawers(manifest->id());
            listeners.insert(listeners.end(), drawing.begin(), drawing.end());
        }
        loads_.tell({context_.self.name, version, chunks_to_hex(chunks_.held(*manifest))}, listeners);
    }
}

// A few agents at a time, in turn: with a hundred agents, telling all of them costs more than the chunks.
auto engine_keeper::next_listeners() -> std::vector<member>
{
    auto near = std::vector<member>{};
    auto far = std::vector<member>{};
    for (auto const& agent : directory_.agents())
        (agent.region == context_.self.region ? near : far).push_back(agent);
    auto chosen = std::vector<member>{};
    auto const take = [&](std::vector<member> const& from, std::size_t most) {
        for (auto i = std::size_t{0}; i < std::min(most, from.size()); ++i)
            chosen.push_back(from[(listener_turn_ * most + i) % from.size()]);
    };
    take(near, near_listeners);
    take(far, far_listeners);
    ++listener_turn_;
    return chosen;
}

auto engine_keeper::take_holdings(chunk_holdings const& told) -> void
{
    auto const moving = moving_.find(told.version);
    if (moving == moving_.end()) return;
    auto const& chunks = manifests_.at(told.version)->chunks;
    moving->second->peer_has(told.agent, chunks_from_hex(told.chunks, chunks.size()));
}

auto engine_keeper::origin_region() const -> std::string
{
    for (auto const& each : fleet_.map()->services())
        if (each.weight_origin) return directory_.region_of(each.origin_domain);
    return {};
}

// ---- transfers

// The newest version and the one before it, as far as the engine lacks them.
auto engine_keeper::start_transfers() -> void
{
    auto const held = held_version();
    auto const from = declared_.size() > versions_brought ? declared_.size() - versions_brought : 0;
    for (auto i = from; i < declared_.size(); ++i) {
        auto const version = declared_[i].version;
        if ((held && *held >= version) || whole_.contains(version) || coming_.contains(version)) continue;
        coming_.insert(version);
        asio::co_spawn(context_.io, bring(version), asio::detached);
    }
}

auto engine_keeper::stop_old_transfers() -> void
{
    auto const held = held_version();
    for (auto const& [version, moving] : moving_)
        if (held && *held >= version) moving->cancel();
}

// The source's link carries one copy at a time: a version that is nearly drawn is finished before the next
// one begins, or the source's outage would leave both in parts.
auto engine_keeper::order_draws(time_point now) -> void
{
    auto older_lacks = false;
    for (auto const& each : declared_) {
        auto const moving = moving_.find(each.version);
        if (moving == moving_.end()) continue;
        if (older_lacks) moving->second->hold_draws(now + 2 * work_period);
        if (moving->second->undrawn() > 0 && now - each.since < draw_time) older_lacks = true;
    }
}

auto engine_keeper::bring(std::uint64_t version) -> asio::awaitable<void>
{
    auto const begun = clock::now();
    co_await directory_.refresh(begun);
    auto const found = co_await find_manifest(version);
    auto done = false;
    if (found != nullptr) {
        // After a start of either process, chunks of this version may lie at the engine's stage.
        if (!stage_known_) {
            [[maybe_unused]] auto const held = co_await stage_.read_back(found);
        }
        done = co_await move_chunks(found);
    }
    if (done) {
        whole_.try_emplace(version, clock::now());
        log_event(log_level::info, "weights_whole",
                  {{"version", found->id()}, {"took_ms", ms_text(clock::now() - begun)}});
    } else {
        co_await sleep_for(failure_pause);
    }
    coming_.erase(version);
}

auto engine_keeper::move_chunks(manifest_ptr version) -> asio::awaitable<bool>
{
    auto const number = std::strtoull(version->version.c_str(), nullptr, 10);
    auto const moving = std::make_shared<transfer>(
        parts_, version, [this] { return directory_.agents(); }, origin_region());
    moving_[number] = moving;
    log_event(log_level::info, "transfer_begun",
              {{"version", version->id()}, {"agents", std::to_string(directory_.agents().size())}});
    // Peers hold nothing of a version that was declared just now.
    auto const is_new = !declared_.empty() && declared_.back().version == number &&
                        clock::now() - declared_.back().since < new_version_time;
    auto const moved = co_await moving->run(!is_new);
    moving_.erase(number);
    if (!moved)
        log_event(log_level::info, "transfer_ended",
                  {{"version", version->id()}, {"reason", moved.error().message}});
    co_return moved.has_value();
}

// ---- manifests

// Agents that draw the version from the source, as every agent computes them.
auto engine_keeper::drawers(std::string const& id) const -> std::vector<member>
{
    auto hosts = std::vector<plan_host>{};
    for (auto const& agent : directory_.agents())
        hosts.push_back({agent.name, true, agent.region == origin_region()});
    auto chosen = std::vector<member>{};
    for (auto const& host : limit_drawers(id, std::move(hosts), settings_.weights.drawers)) {
        if (!host.draws) continue;
        auto const& agents = directory_.agents();
        auto const named = [&](member const& agent) { return agent.name == host.name; };
        chosen.push_back(*std::find_if(agents.begin(), agents.end(), named));
    }
    return chosen;
}

// The source bears few connections and its link carries the chunks: the agents that draw read the manifest
// there, the others ask them.
auto engine_keeper::manifest_from_drawers(std::string const& id)
    -> asio::awaitable<std::optional<std::string>>
{
    auto const ready = drawers(id);
    auto const is_self = [&](member const& agent) { return agent.name == context_.self.name; };
    if (ready.empty() || std::any_of(ready.begin(), ready.end(), is_self)) co_return std::nullopt;
    for (auto round = 0; round < drawer_rounds; ++round) {
        co_await sleep_for(drawer_pause);
        auto const& peer = ready[context_.random.below(ready.size())];
        if (auto text = co_await manifest_from(peer, id)) co_return text;
    }
    co_return std::nullopt;
}

auto engine_keeper::find_manifest(std::uint64_t version) -> asio::awaitable<manifest_ptr>
{
    auto const known = manifests_.find(version);
    if (known != manifests_.end()) co_return known->second;
    auto const model = engine_service()->engine->model;
    auto const number = std::to_string(version);
    if (auto const told = co_await manifest_from_drawers(weights_id(model, number)))
        if (auto kept = keep_manifest(*told)) co_return kept;
    auto text = co_await origin_.manifest(model, number);
    if (text) {
        if (auto kept = keep_manifest(text.value())) co_return kept;
    }
    co_await directory_.refresh(clock::now());
    auto from_peer = co_await manifest_from_peers(weights_id(model, number));
    if (from_peer) co_return keep_manifest(*from_peer);
    log_event(
        log_level::warning, "manifest_missing",
        {{"version", weights_id(model, number)}, {"reason", text ? "malformed" : text.error().message}});
    co_return nullptr;
}

auto engine_keeper::manifest_from_peers(std::string id) -> asio::awaitable<std::optional<std::string>>
{
    auto const agents = directory_.agents();
    for (auto tried = std::size_t{0}; tried < std::min(manifest_peers, agents.size()); ++tried) {
        auto const& peer = agents[context_.random.below(agents.size())];
        if (peer.name == context_.self.name) continue;
        if (auto text = co_await manifest_from(peer, id)) co_return text;
    }
    co_return std::nullopt;
}

auto engine_keeper::manifest_from(member peer, std::string id) -> asio::awaitable<std::optional<std::string>>
{
    auto params = nlohmann::json{{"version", std::move(id)}};
    auto answer = co_await rpc_call(context_.client, peer.control, "weights.manifest", std::move(params),
                                    settings_.weights.peer_timeout);
    if (answer && answer.value().is_object() && answer.value().contains("manifest"))
        co_return answer.value().value("manifest", std::string{});
    co_return std::nullopt;
}

auto engine_keeper::keep_manifest(std::string const& text) -> manifest_ptr
{
    auto decoded = platform::decode_manifest(text);
    if (!decoded) {
        log_event(log_level::warning, "manifest_refused", {{"reason", decoded.error().message}});
        return nullptr;
    }
    auto const version = std::strtoull(decoded.value().version.c_str(), nullptr, 10);
    auto kept = std::make_shared<manifest const>(std::move(decoded).value());
    manifests_[version] = kept;
    reserve(kept);
    while (manifests_.size() > kept_versions) {
        whole_.erase(manifests_.begin()->first);
        chunks_.release(manifests_.begin()->second->id());
        manifests_.erase(manifests_.begin());
    }
    return kept;
}

auto engine_keeper::reserve(manifest_ptr const& version) -> void
{
    auto const kept = chunks_.reserve(version);
    if (!kept)
        log_event(log_level::error, "weights_too_large",
                  {{"version", version->id()}, {"reason", kept.error().message}});
}

} // namespace hibiscuswall
