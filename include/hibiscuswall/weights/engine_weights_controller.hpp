#pragma once
// Controller that moves the engine beside an agent to the weights that operators declared. It reads the
// engine's reports, fetches chunks from peers and origin, stages them, and orders the engine to load them at
// its switch time.
//
//   auto controller = engine_weights_controller{context, declared, directory, loads, settings};
//   controller.start();
//   controller.serves_newest_version();   // the engine serves the newest declared version

#include "hibiscuswall/core/rate_knowledge.hpp"
#include "hibiscuswall/fleet/agent_directory.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"
#include "hibiscuswall/fleet/load_report_sender.hpp"
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

struct engine_weights_settings {
    address engine;           // engine beside this agent
    std::string service;      // service that the engine belongs to
    weights_settings weights; // of transfers
    switch_settings schedule; // when engines switch versions
    milliseconds report_interval{100};
};

class engine_weights_controller {
public:
    engine_weights_controller(process_context& context, declared_state& declared, agent_directory& directory,
                              load_report_sender& loads, engine_weights_settings settings);
    ~engine_weights_controller();
    engine_weights_controller(engine_weights_controller const&) = delete;
    auto operator=(engine_weights_controller const&) -> engine_weights_controller& = delete;

    auto start() -> void;
    [[nodiscard]] auto serves_newest_version() const -> bool;

private:
    struct manifest_text {
        std::string text;
        std::string sender; // name of the peer; empty: the origin
    };

    // ---- reports
    auto report_loop() -> asio::awaitable<void>;
    auto read_report() -> asio::awaitable<bool>;
    auto on_rate_statement(rate_statement const& stated, time_point requested_at) -> void;
    auto send_load_report() -> void;

    // ---- chunk holdings of peers
    auto send_holdings() -> void;
    auto next_holdings_receivers() -> std::vector<member>;
    auto fetchers_of_other_regions(manifest const& version) -> std::vector<std::vector<member>> const&;
    auto add_receivers_of_other_regions(manifest const& version, std::vector<member>& receivers) -> void;
    auto on_peer_holdings(chunk_holdings const& holdings) -> void;
    auto origin_region() const -> std::string;

    // ---- weights
    auto reconcile_loop() -> asio::awaitable<void>;
    auto view() const -> weights_view;
    auto act(weights_step const& next) -> asio::awaitable<void>;
    auto engine_service() const -> service_definition const*;
    auto held_version() const -> std::optional<std::uint64_t>;
    auto update_declared_versions() -> void;
    auto add_declared_version(std::uint64_t version, time_point declared_at) -> void;
    auto held_fraction(std::uint64_t version) const -> double;
    [[nodiscard]] auto oldest_transferred() const -> std::uint64_t;
    auto start_transfers() -> void;
    auto stop_old_transfers() -> void;
    auto schedule_source_fetches(time_point now) -> void;
    auto read_agents() -> asio::awaitable<void>;
    auto fetch_version(std::uint64_t version) -> asio::awaitable<void>;
    auto run_transfer(manifest_ptr version) -> asio::awaitable<bool>;
    // Asks the origin for the manifest again after the chunks did not match it.
    auto replace_doubted_manifest(std::uint64_t version) -> asio::awaitable<void>;
    auto stage(std::uint64_t version) -> asio::awaitable<void>;
    auto share_staged_chunks(std::uint64_t version) -> asio::awaitable<void>;
    auto set_paused(bool on) -> void;
    // Carries out weights_action::load: pause, compare the staged chunks, order, await the engine's report.
    auto switch_version(std::uint64_t version) -> asio::awaitable<void>;
    auto order_compared_chunks(manifest_ptr found, std::uint64_t version) -> asio::awaitable<bool>;
    auto order(std::uint64_t version, time_point compared_at) -> asio::awaitable<platform::order_outcome>;
    auto await_switch(std::uint64_t version) -> asio::awaitable<void>;
    auto stage_chunks(manifest_ptr version, std::vector<bool> const& staged) -> asio::awaitable<bool>;

    // ---- manifests
    auto find_manifest(std::uint64_t version) -> asio::awaitable<manifest_ptr>;
    [[nodiscard]] auto source_fetchers(std::string const& id) const -> std::vector<member>;
    auto manifest_from_source_fetchers(std::uint64_t version, std::string const& id)
        -> asio::awaitable<manifest_ptr>;
    auto manifest_from_origin(std::uint64_t version) -> asio::awaitable<manifest_ptr>;
    auto manifest_from_peers(std::uint64_t version, std::string const& id) -> asio::awaitable<manifest_ptr>;
    auto manifest_from(member peer, std::string id) -> asio::awaitable<std::optional<manifest_text>>;
    // Null if the text is not the manifest that was asked for: nothing of it is kept, and a peer that sent it
    // is not asked again for a while.
    auto store_manifest(std::uint64_t version, manifest_text const& received, time_point now) -> manifest_ptr;
    auto check_manifest(std::uint64_t version, std::string const& text) const -> result<manifest>;
    auto may_ask_for_manifest(member const& peer, time_point now) const -> bool;
    auto reserve(manifest_ptr const& version) -> void;

    process_context& context_;
    declared_state& declared_state_;
    agent_directory& directory_;
    load_report_sender& loads_;
    engine_weights_settings settings_;
    chunk_store chunks_;
    verifier digests_;
    engine_stage stage_;
    weight_source_client origin_;
    link_budget upload_;
    link_budget download_;
    link_budget source_budget_;
    chunk_server server_;
    transfer_resources resources_;

    std::optional<platform::engine_report> report_; // latest engine report
    time_point reported_at_;
    std::vector<declared_version> declared_;          // versions of the engine's model
    std::map<std::uint64_t, manifest_ptr> manifests_; // by version
    // Peers that sent a wrong manifest, and until when they are not asked for one.
    std::map<std::string, time_point, std::less<>> avoided_manifest_peers_;
    // Until when the manifest of a version is not doubted again, after the origin was asked for it.
    std::map<std::uint64_t, time_point> trusted_manifests_;
    std::optional<std::uint64_t> staged_version_; // version whose staged chunks are verified
    bool stage_known_ = false; // staged_version_ is known to match what the engine has staged
    std::optional<std::uint64_t> shared_version_; // version whose staged chunks were read back for peers
    std::map<std::uint64_t, time_point> complete_since_; // complete versions and when they became complete
    // Versions of which nearly all chunks are held, and since when.
    std::map<std::uint64_t, time_point> nearly_complete_since_;
    std::set<std::uint64_t> versions_in_progress_;                 // versions that fetch_version() runs for
    std::map<std::uint64_t, std::shared_ptr<transfer>> transfers_; // running transfers by version
    std::uint64_t engine_started_at_ms_ = 0; // start time of the engine that staged_version_ applies to
    std::size_t holdings_round_ = 0;         // selects the next agents that receive holdings
    // Result of fetchers_of_other_regions(), valid for one version and listing of the agents.
    struct {
        std::string version;
        std::uint64_t generation = 0;
        std::vector<std::vector<member>> by_chunk;
    } region_fetchers_;
    // Chunks of which the fetchers of other regions were told, by version.
    std::map<std::string, std::vector<bool>> told_chunks_;
    bool engine_leaving_ = false;      // the engine's latest response announced that it will stop
    rate_knowledge rate_;              // the rate limit that the engine names in its reports
    bool reports_name_limits_ = false; // one of this run did: one without a limit says that there is none
    bool paused_ = false; // the engine is being drained; entries see it as `paused` in the load report
    std::optional<time_point> drained_at_; // start of the latest drain for a switch
};

} // namespace hibiscuswall
