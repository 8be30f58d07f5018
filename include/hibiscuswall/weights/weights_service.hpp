#pragma once
// Keeps a host at the weights that its ModelServing declares: manifest, transfer, activation, and the same
// again when the declaration changes or the engine restarts cold.
//
//   auto weights = weights_service{context, config, members, store, &engine, gate, sources, settings};
//   weights.start();
//
// Serves GET /chunks/, GET /weights/, weights.have, weights.manifest, weights.status. Beside a plain service
// (no engine) it does nothing but answer those.

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
                    key_value_client& store, engine_client* engine, endpoint_control& gate,
                    std::vector<address> const& sources, weights_settings settings);
    ~weights_service();
    weights_service(weights_service const&) = delete;
    auto operator=(weights_service const&) -> weights_service& = delete;

    auto start() -> void;

    // Live requests moved these bytes over this host's link: transfers wait for them.
    auto charge_live(std::uint64_t received, std::uint64_t sent) -> void;

    // Progress of each version on this host, the result of weights.status.
    [[nodiscard]] auto status() const -> nlohmann::json;

private:
    static constexpr auto retry_pause = milliseconds{500}; // after what has to be tried again

    struct version_record {
        version_machine machine;
        manifest_ptr chunks; // null until the manifest came
        result_code code = result_code::ok;
        std::string reason; // of the last failure
        time_point declared_at;
    };

    auto on_config(config_view const& view) -> void;
    auto work(std::uint64_t generation, model_serving target) -> asio::awaitable<void>;
    auto prepare(std::uint64_t generation, model_serving target) -> asio::awaitable<manifest_ptr>;
    auto fetch_manifest(model_serving target) -> asio::awaitable<result<manifest_ptr>>;
    auto stage(std::uint64_t generation, std::string id) -> asio::awaitable<bool>;
    auto activate(std::uint64_t generation, model_serving target, served_weights weights)
        -> asio::awaitable<bool>;
    auto take_slot(std::uint64_t generation, model_serving target, std::string id)
        -> asio::awaitable<rollout_decision>;
    auto ask_domain(model_serving target, std::string id) -> asio::awaitable<std::vector<rollout_peer>>;
    auto watch_engine(std::uint64_t generation, served_weights weights) -> asio::awaitable<void>;
    auto adopt_loaded(served_weights const& declared) -> asio::awaitable<bool>;
    auto reopen(served_weights const& weights) -> void;
    auto advance(std::string const& id, version_event event) -> void;
    auto order(std::uint64_t generation, served_weights weights) -> asio::awaitable<result<void>>;
    auto note(std::string const& id, error const& why) -> void;
    auto give_up(std::string const& id, error const& why) -> void;
    auto make_room(manifest_ptr const& wanted) -> result<void>;
    [[nodiscard]] auto region_hosts(model_serving const& target) const -> std::vector<member>;
    [[nodiscard]] auto wanted(std::uint64_t generation) const -> bool { return generation == generation_; }
    [[nodiscard]] auto record_of(std::string const& id) -> version_record& { return records_[id]; }

    process_context& context_;
    config_source& config_;
    member_source& members_;
    engine_client* engine_;
    endpoint_control& gate_;
    weights_settings settings_;
    chunk_store chunks_;
    verifier digests_;
    weight_source_client source_;
    link_budget upload_;
    link_budget download_;
    link_budget draw_;
    chunk_server server_;
    transfer_parts parts_;
    std::optional<activation> activation_;
    std::map<std::string, version_record> records_; // by "model/version"
    std::shared_ptr<transfer> moving_;              // the running transfer
    std::optional<model_serving> target_;
    bool ordering_ = false;        // an order to the engine is running
    bool has_ordered_ = false;     // since the start of this process
    std::string active_id_;        // version that the engine serves
    std::uint64_t generation_ = 0; // raised when the declaration changes; older work stops
};

} // namespace hibiscuswall
