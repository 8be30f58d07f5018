#pragma once
// Keeps the engine beside an agent at the weights that operators declare: reads its reports, brings the
// chunks from peers and origin, stages them, and orders the change at its time.
//
//   auto keeper = engine_keeper{context, fleet, directory, loads, settings};
//   keeper.start();
//   keeper.serves_wanted();     // the engine has the newest declared weights

#include "hibiscuswall/fleet/agent_directory.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/load_report_channel.hpp"
#include "hibiscuswall/weights/chunk_server.hpp"
#include "hibiscuswall/weights/engine_stage.hpp"
#include "hibiscuswall/weights/switch_schedule.hpp"
#include "hibiscuswall/weights/transfer.hpp"
#include "platform/engine_calls.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hibiscuswall {

struct engine_keeper_settings {
    address engine;           // beside this agent
    std::string service;      // that the engine serves
    weights_settings weights; // transfer
    switch_settings schedule; // order of the engines
    milliseconds report_period{100};
};

class engine_keeper {
public:
    engine_keeper(process_context& context, fleet_state& fleet, agent_directory& directory,
                  load_announcer& loads, engine_keeper_settings settings);
    ~engine_keeper();
    engine_keeper(engine_keeper const&) = delete;
    auto operator=(engine_keeper const&) -> engine_keeper& = delete;

    auto start() -> void;
    [[nodiscard]] auto serves_wanted() const -> bool;

private:
    // ---- reports
    auto report_loop() -> asio::awaitable<void>;
    auto read_report() -> asio::awaitable<bool>;
    auto tell_load() -> void;

    // ---- exchange of chunks
    auto tell_holdings() -> void;
    auto next_listeners() -> std::vector<member>;
    auto take_holdings(chunk_holdings const& told) -> void;
    auto origin_region() const -> std::string;

    // ---- weights
    auto work_loop() -> asio::awaitable<void>;
    auto view() const -> weights_view;
    auto act(weights_step const& next) -> asio::awaitable<void>;
    auto engine_service() const -> service_entry const*;
    auto held_version() const -> std::optional<std::uint64_t>;
    auto note_declared() -> void;
    auto held_part(std::uint64_t version) const -> double;
    auto start_transfers() -> void;
    auto stop_old_transfers() -> void;
    auto order_draws(time_point now) -> void;
    auto bring(std::uint64_t version) -> asio::awaitable<void>;
    auto move_chunks(manifest_ptr version) -> asio::awaitable<bool>;
    auto stage(std::uint64_t version) -> asio::awaitable<void>;
    auto share_held(std::uint64_t version) -> asio::awaitable<void>;
    auto pause(bool on) -> void;
    auto change(std::uint64_t version) -> asio::awaitable<void>;
    auto order(std::uint64_t version) -> asio::awaitable<platform::order_outcome>;
    auto await_change(std::uint64_t version) -> asio::awaitable<void>;
    auto stage_chunks(manifest_ptr version, std::vector<bool> const& staged) -> asio::awaitable<bool>;

    // ---- manifests
    auto find_manifest(std::uint64_t version) -> asio::awaitable<manifest_ptr>;
    [[nodiscard]] auto drawers(std::string const& id) const -> std::vector<member>;
    auto manifest_from_drawers(std::string const& id) -> asio::awaitable<std::optional<std::string>>;
    auto manifest_from_peers(std::string id) -> asio::awaitable<std::optional<std::string>>;
    auto manifest_from(member peer, std::string id) -> asio::awaitable<std::optional<std::string>>;
    auto keep_manifest(std::string const& text) -> manifest_ptr;
    auto reserve(manifest_ptr const& version) -> void;

    process_context& context_;
    fleet_state& fleet_;
    agent_directory& directory_;
    load_announcer& loads_;
    engine_keeper_settings settings_;
    chunk_store chunks_;
    verifier digests_;
    engine_stage stage_;
    weight_source_client origin_;
    link_budget upload_;
    link_budget download_;
    link_budget draw_;
    chunk_server server_;
    transfer_parts parts_;

    std::optional<platform::engine_report> report_; // latest
    time_point reported_at_;
    std::vector<declared_version> declared_;          // of the engine's model
    std::map<std::uint64_t, manifest_ptr> manifests_; // by version
    std::optional<std::uint64_t> staged_;             // version whose staged chunks were verified
    bool stage_known_ = false;                        // staged_ tells what lies at the engine's stage
    std::optional<std::uint64_t> shared_;             // version whose staged chunks were read for peers
    std::map<std::uint64_t, time_point> whole_;       // versions whose chunks are all held, and since when
    std::set<std::uint64_t> coming_;                  // versions that are being brought
    std::map<std::uint64_t, std::shared_ptr<transfer>> moving_; // running transfers by version
    std::uint64_t engine_start_ = 0;                            // of the engine that staged_ speaks of
    std::size_t listener_turn_ = 0;                             // of the agents that are told what is held
    bool paused_ = false;                                       // entries are told to send nothing
    std::optional<time_point> drained_at_;                      // of the latest pause before a change
};

} // namespace hibiscuswall
