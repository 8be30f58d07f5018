#include "hibiscuswall/weights/weights_service.hpp"

#include "hibiscuswall/core/rendezvous.hpp"
#include "hibiscuswall/core/sha256.hpp"
#include "hibiscuswall/core/sleep.hpp"
#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace hibiscuswall {
namespace {

// Hosts of a region that fetch a manifest from the source.
constexpr auto max_manifest_fetchers = std::size_t{2};
constexpr auto peer_manifest_timeout = seconds{5}; // after that, any host fetches it from the source

auto same_target(model_serving const& left, model_serving const& right) -> bool
{
    return left.model == right.model && left.adapter == right.adapter && left.version == right.version &&
           left.failure_domains == right.failure_domains && left.batch == right.batch;
}

} // namespace

weights_service::weights_service(process_context& context, config_source& config, member_source& members,
                                 key_value_client& store, engine_client* engine, admission_gate& gate,
                                 std::vector<address> const& sources, weights_settings settings)
    : context_{context}, config_{config}, members_{members}, engine_{engine}, gate_{gate},
      settings_{settings}, chunks_{settings.staged_bytes}, digests_{context.io},
      source_{context.client, sources, settings.peer_timeout}, upload_{context.io, settings.upload_rate,
                                                                       settings.burst},
      download_{context.io, settings.download_rate, settings.burst}, source_budget_{context.io, 0, 0},
      server_{context, chunks_, upload_, settings_}, resources_{context, settings_, chunks_,       digests_,
                                                                source_, download_, source_budget_}
{
    if (engine_ != nullptr) activation_.emplace(context, config, store, *engine_, gate, settings_);
    context_.rpc.add("weights.status",
                     [this](nlohmann::json const& /*params*/) -> result<nlohmann::json> { return status(); });
}

weights_service::~weights_service() = default;

auto weights_service::start() -> void
{
    if (engine_ == nullptr) return;
    config_.subscribe([this](config_view const& view) { on_config(view); });
    if (auto const view = config_.current()) on_config(*view);
}

auto weights_service::charge_request_traffic(std::uint64_t received, std::uint64_t sent) -> void
{
    download_.charge_requests(received);
    upload_.charge_requests(sent);
}

auto weights_service::on_config(config_view const& view) -> void
{
    auto const* serving = view.serving_of_service(context_.self.service, context_.self.failure_domain);
    // Without a declaration the engine keeps the weights that it serves.
    if (serving == nullptr || (target_ && same_target(*target_, *serving))) return;
    target_ = *serving;
    ++generation_;
    auto const declared = weights_id(serving->model, serving->version);
    std::erase_if(records_, [&](auto const& entry) { return entry.first != active_id_; });
    records_.erase(declared);
    records_[declared].declared_at = clock::now();
    if (transfer_ != nullptr) transfer_->cancel();
    context_.events.record("weights_declared", {{"version", weights_id(serving->model, serving->version)}});
    asio::co_spawn(context_.io, reconcile(generation_, *serving), asio::detached);
}

// ---- one declared version, from the manifest to the engine

auto weights_service::reconcile(std::uint64_t generation, model_serving target) -> asio::awaitable<void>
{
    auto const id = weights_id(target.model, target.version);
    auto const version = co_await obtain_manifest(generation, target);
    if (version == nullptr || !is_current(generation)) co_return;
    auto weights = served_weights{target.model, target.adapter, target.version, version->digest};
    co_await adopt_loaded(weights);
    auto const transferred = co_await transfer_chunks(generation, target);
    if (!transferred || !is_current(generation)) co_return;
    weights.manifest_digest = record_of(id).chunks->digest; // the transfer may have replaced the manifest
    auto const active = co_await activate(generation, target, weights);
    if (!active || !is_current(generation)) co_return;
    co_await watch_engine(generation, weights);
}

auto weights_service::obtain_manifest(std::uint64_t generation, model_serving target)
    -> asio::awaitable<manifest_ptr>
{
    auto const id = weights_id(target.model, target.version);
    while (is_current(generation)) {
        auto found = co_await fetch_manifest(target);
        if (!is_current(generation)) break;
        if (found) {
            record_of(id).chunks = found.value();
            auto const reserved = reserve_chunks(found.value());
            if (reserved) co_return found.value();
            mark_failed(id, reserved.error());
            break;
        }
        record_error(id, found.error());
        co_await sleep_for(retry_delay);
    }
    co_return nullptr;
}

// Few hosts of a region fetch the manifest from the source and the others from those hosts, because a
// manifest with many chunks is large.
auto weights_service::fetch_manifest(model_serving target) -> asio::awaitable<result<manifest_ptr>>
{
    auto const id = weights_id(target.model, target.version);
    if (auto held = chunks_.version(id)) co_return held;
    auto names = std::vector<std::string>{context_.self.name};
    for (auto const& host : region_hosts(target))
        names.push_back(host.name);
    auto const rank = rendezvous_rank(id, names);
    auto text = std::string{};
    for (auto i = std::size_t{0}; settings_.peers && i < std::min(rank.size(), max_manifest_fetchers); ++i) {
        auto const* peer = members_.find(rank[i]);
        if (rank[i] == context_.self.name || peer == nullptr) continue;
        auto const where = peer->control_address;
        auto params = nlohmann::json{{"version", id}};
        auto response = co_await rpc_call(context_.client, where, "weights.manifest", std::move(params),
                                          settings_.peer_timeout);
        if (!response || !response.value().is_object()) continue;
        text = response.value().value("manifest", "");
        if (sha256(text) == response.value().value("digest", "")) break;
        text.clear();
    }
    auto const position =
        static_cast<std::size_t>(std::find(rank.begin(), rank.end(), context_.self.name) - rank.begin());
    auto const asks_source = !settings_.peers || position < max_manifest_fetchers ||
                             clock::now() - record_of(id).declared_at > peer_manifest_timeout;
    if (text.empty() && !asks_source)
        co_return fail(result_code::chunk_unavailable,
                       id + ": no peer has the manifest yet; retrying before asking the source");
    if (text.empty()) co_return co_await manifest_from_source(target);
    co_return check_manifest(id, text);
}

auto weights_service::manifest_from_source(model_serving target) -> asio::awaitable<result<manifest_ptr>>
{
    auto fetched = co_await source_.manifest(target.model, target.version);
    if (!fetched) co_return fetched.error();
    co_return check_manifest(weights_id(target.model, target.version), fetched.value());
}

auto weights_service::check_manifest(std::string const& id, std::string const& text) const
    -> result<manifest_ptr>
{
    auto parsed = parse_manifest(text);
    if (!parsed) return parsed.error();
    if (parsed.value().id() != id)
        return fail(result_code::manifest_invalid,
                    id + ": expected its manifest, received that of " + parsed.value().id());
    return manifest_ptr{std::make_shared<manifest const>(std::move(parsed).value())};
}

// Reserves memory for the version. Releases all other versions except the active one, which stays until the
// new one is active.
auto weights_service::reserve_chunks(manifest_ptr const& version) -> result<void>
{
    auto const drop_others = [&] {
        for (auto const& id : chunks_.versions())
            if (id != version->id() && id != active_id_) chunks_.release(id);
    };
    auto reserved = chunks_.reserve(version);
    if (!reserved) {
        drop_others();
        reserved = chunks_.reserve(version);
    } else {
        drop_others();
    }
    context_.metrics_registry.set("weights_staged_bytes", {}, static_cast<double>(chunks_.reserved_bytes()));
    return reserved;
}

auto weights_service::transfer_chunks(std::uint64_t generation, model_serving target) -> asio::awaitable<bool>
{
    auto const id = weights_id(target.model, target.version);
    if (record_of(id).machine.state() == version_state::declared) advance(id, version_event::transfer_begun);
    auto trusts_manifest = false;
    while (true) {
        auto const done = co_await run_transfer(generation, id, trusts_manifest);
        if (!is_current(generation)) co_return false;
        if (done) co_return true;
        auto const is_doubted = done.error().code == result_code::chunk_corrupt;
        if (!is_doubted && done.error().code != result_code::manifest_invalid) {
            mark_failed(id, done.error());
            co_return false;
        }
        auto const check = co_await replace_doubted_manifest(generation, target);
        if (!is_current(generation)) co_return false;
        trusts_manifest = check == manifest_check::same;
        if (is_doubted || check == manifest_check::replaced) continue;
        mark_failed(id, done.error());
        co_return false;
    }
}

auto weights_service::replace_doubted_manifest(std::uint64_t generation, model_serving target)
    -> asio::awaitable<manifest_check>
{
    auto const id = weights_id(target.model, target.version);
    auto const before = record_of(id).chunks->digest;
    auto const received = co_await manifest_from_source(target);
    if (!is_current(generation)) co_return manifest_check::not_received;
    auto check = manifest_check::not_received;
    if (received)
        check = received.value()->digest == before ? manifest_check::same : manifest_check::replaced;
    log_event(log_level::warning, "manifest_doubted",
              {{"version", id}, {"received", received ? "1" : "0"}, {"digest_before", before}});
    if (check != manifest_check::replaced) {
        co_await sleep_for(retry_delay);
        co_return check;
    }
    record_of(id).chunks = received.value();
    auto const reserved = reserve_chunks(received.value());
    if (!reserved) record_error(id, reserved.error());
    co_return check;
}

auto weights_service::run_transfer(std::uint64_t generation, std::string id, bool trusts_manifest)
    -> asio::awaitable<result<void>>
{
    auto const version = record_of(id).chunks;
    auto const own_transfer = std::make_shared<transfer>(
        resources_, version, [this] { return target_ ? region_hosts(*target_) : std::vector<member>{}; });
    transfer_ = own_transfer;
    if (trusts_manifest) own_transfer->trust_manifest();
    auto const begun = clock::now();
    auto done = co_await own_transfer->run();
    if (transfer_ == own_transfer) transfer_.reset();
    if (!done || !is_current(generation)) co_return done;
    auto const took = std::chrono::duration<double>(clock::now() - begun).count();
    context_.metrics_registry.set("weights_transfer_seconds", {{"version", id}}, took);
    if (record_of(id).machine.state() == version_state::transferring)
        advance(id, version_event::transfer_verified);
    co_return success();
}

// ---- records and status

auto weights_service::advance(std::string const& id, version_event event) -> void
{
    auto const found = records_.find(id);
    if (found == records_.end()) return; // the declaration changed
    auto& record = found->second;
    auto const before = record.machine.state();
    if (!record.machine.on(event)) {
        log_event(log_level::error, "version_transition_refused",
                  {{"version", id}, {"state", std::string{version_state_text(before)}}});
        return;
    }
    if (record.machine.state() == version_state::active) record.code = result_code::ok;
    auto const state = std::string{version_state_text(record.machine.state())};
    log_event(log_level::info, "version_state", {{"version", id}, {"state", state}});
    context_.events.record("version_state", {{"version", id}, {"state", state}});
}

auto weights_service::record_error(std::string const& id, error const& problem) -> void
{
    auto const found = records_.find(id);
    if (found == records_.end()) return;
    found->second.code = problem.code;
    found->second.reason = problem.message;
}

auto weights_service::mark_failed(std::string const& id, error const& problem) -> void
{
    record_error(id, problem);
    advance(id, version_event::given_up);
    log_event(log_level::error, "version_failed", {{"version", id}, {"reason", problem.message}});
}

auto weights_service::region_hosts(model_serving const& target) const -> std::vector<member>
{
    auto hosts = members_.members();
    auto const& domains = target.failure_domains;
    std::erase_if(hosts, [&](member const& host) {
        return host.role != member_role::agent || host.service != context_.self.service ||
               host.region != context_.self.region || host.state == member_state::dead ||
               std::find(domains.begin(), domains.end(), host.failure_domain) == domains.end();
    });
    return hosts;
}

auto weights_service::status() const -> nlohmann::json
{
    auto versions = nlohmann::json::array();
    for (auto const& [id, record] : records_) {
        auto item = nlohmann::json{{"version", id}, {"state", version_state_text(record.machine.state())}};
        if (record.chunks != nullptr) {
            auto const held = chunks_.held(*record.chunks);
            item["chunks"] = held.size();
            item["chunks_held"] = std::count(held.begin(), held.end(), true);
            item["bytes"] = record.chunks->size;
            item["manifest_digest"] = record.chunks->digest;
        }
        if (record.code != result_code::ok) {
            item["code"] = static_cast<int>(record.code);
            item["reason"] = record.reason;
        }
        versions.push_back(std::move(item));
    }
    return {{"host", context_.self.name},
            {"active", active_id_},
            {"declared", target_ ? weights_id(target_->model, target_->version) : ""},
            {"staged_bytes", chunks_.reserved_bytes()},
            {"staged_limit", settings_.staged_bytes},
            {"versions", std::move(versions)}};
}

} // namespace hibiscuswall
