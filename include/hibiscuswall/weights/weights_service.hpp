#pragma once
// Controller that moves a host to the weights that its ModelServing declares: manifest, transfer and
// activation. It starts again when the declaration changes or the engine restarts without weights.
//
//   auto weights = weights_service{context, config, members, store, &engine, gate, sources, settings};
//   weights.start();
//
// Serves GET /chunks/, GET /weights/, weights.have, weights.manifest and weights.status. For a plain service
// (engine is null) it does nothing else.

#include "hibiscuswall/config/config_view.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/lifecycle/admission_gate.hpp"
#include "hibiscuswall/lifecycle/version_machine.hpp"
#include "hibiscuswall/membership/member_source.hpp"
#include "hibiscuswall/platform/engine_client.hpp"
#include "hibiscuswall/weights/activation.hpp"
#include "hibiscuswall/weights/chunk_server.hpp"
#include "hibiscuswall/weights/rollout.hpp"
#include "hibiscuswall/weights/transfer.hpp"
#include "platform/key_value_client.hpp"

#include <map>
#include <optional>
#include <vector>

namespace hibiscuswall {

class weights_service {
public:
    weights_service(process_context& context, config_source& config, member_source& members,
                    key_value_client& store, engine_client* engine, admission_gate& gate,
                    std::vector<address> const& sources, weights_settings settings);
    ~weights_service();
    weights_service(weights_service const&) = delete;
    auto operator=(weights_service const&) -> weights_service& = delete;

    auto start() -> void;

    // Accounts for bytes of client calls on this host's link. Transfers wait for them.
    auto charge_request_traffic(std::uint64_t received, std::uint64_t sent) -> void;

    // Progress of each version on this host, as returned by weights.status.
    [[nodiscard]] auto status() const -> nlohmann::json;

private:
    static constexpr auto retry_delay = milliseconds{500}; // after a failed step that is retried

    struct version_record {
        version_machine machine;
        manifest_ptr chunks; // null until the manifest has been fetched
        result_code code = result_code::ok;
        std::string reason; // of the last failure
        time_point declared_at;
    };

    enum class manifest_check {
        same,         // the source sent the same manifest again
        replaced,     // it sent another one, which is used from now on
        not_received, // it did not send it
    };

    auto on_config(config_view const& view) -> void;
    auto reconcile(std::uint64_t generation, model_serving target) -> asio::awaitable<void>;
    auto obtain_manifest(std::uint64_t generation, model_serving target) -> asio::awaitable<manifest_ptr>;
    auto fetch_manifest(model_serving target) -> asio::awaitable<result<manifest_ptr>>;
    auto manifest_from_source(model_serving target) -> asio::awaitable<result<manifest_ptr>>;
    auto check_manifest(std::string const& id, std::string const& text) const -> result<manifest_ptr>;
    auto transfer_chunks(std::uint64_t generation, model_serving target) -> asio::awaitable<bool>;
    auto run_transfer(std::uint64_t generation, std::string id, bool trusts_manifest)
        -> asio::awaitable<result<void>>;
    // Asks the source for the manifest again after the chunks did not match it.
    auto replace_doubted_manifest(std::uint64_t generation, model_serving target)
        -> asio::awaitable<manifest_check>;
    auto activate(std::uint64_t generation, model_serving target, served_weights weights)
        -> asio::awaitable<bool>;
    auto await_rollout_slot(std::uint64_t generation, model_serving target, std::string id)
        -> asio::awaitable<rollout_decision>;
    auto poll_failure_domain(model_serving target, std::string id)
        -> asio::awaitable<std::vector<rollout_peer>>;
    auto watch_engine(std::uint64_t generation, served_weights weights) -> asio::awaitable<void>;
    auto adopt_loaded(served_weights const& declared) -> asio::awaitable<bool>;
    auto reopen_gate(served_weights const& weights) -> void;
    auto advance(std::string const& id, version_event event) -> void;
    auto order(std::uint64_t generation, served_weights weights) -> asio::awaitable<result<void>>;
    auto record_error(std::string const& id, error const& problem) -> void;
    auto mark_failed(std::string const& id, error const& problem) -> void;
    auto reserve_chunks(manifest_ptr const& version) -> result<void>;
    [[nodiscard]] auto region_hosts(model_serving const& target) const -> std::vector<member>;
    [[nodiscard]] auto is_current(std::uint64_t generation) const -> bool
    {
        return generation == generation_;
    }
    [[nodiscard]] auto record_of(std::string const& id) -> version_record& { return records_[id]; }

    process_context& context_;
    config_source& config_;
    member_source& members_;
    engine_client* engine_;
    admission_gate& gate_;
    weights_settings settings_;
    chunk_store chunks_;
    verifier digests_;
    weight_source_client source_;
    link_budget upload_;
    link_budget download_;
    link_budget source_budget_;
    chunk_server server_;
    transfer_resources resources_;
    std::optional<activation> activation_;
    std::map<std::string, version_record> records_; // by "model/version"
    std::shared_ptr<transfer> transfer_;            // running transfer, if any
    std::optional<model_serving> target_;
    bool ordering_ = false;        // an order to the engine is in progress
    bool has_ordered_ = false;     // this process has ordered the engine to load weights
    std::string active_id_;        // version that the engine serves
    std::uint64_t generation_ = 0; // incremented per new declaration; coroutines of older generations end
};

} // namespace hibiscuswall
