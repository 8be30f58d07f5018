#pragma once
// Fetches the chunks of one version from peers, store and origin until it is complete and verified. Several
// chunks are in flight at a time.
//
//   auto running = std::make_shared<transfer>(resources, version, hosts);
//   auto done = co_await running->run();
//   // errors: cancelled          after cancel()
//   //         manifest_invalid   the chunks match their digests, the complete version does not match its own
//   //         chunk_corrupt      several copies of a chunk do not match the manifest, which may be the one
//   //                            that is wrong: fetch it again
//
// A failed fetch is not an error: the chunk plan selects another host for the chunk.

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/platform/weight_source_client.hpp"
#include "hibiscuswall/weights/chunk_plan.hpp"
#include "hibiscuswall/weights/chunk_store.hpp"
#include "hibiscuswall/weights/fetch_window.hpp"
#include "hibiscuswall/weights/link_budget.hpp"
#include "hibiscuswall/weights/verifier.hpp"
#include "hibiscuswall/weights/weights_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hibiscuswall {

// Objects that all transfers of a host share.
struct transfer_resources {
    process_context& context;
    weights_settings const& settings;
    chunk_store& store;
    verifier& digests;
    weight_source_client& source;
    link_budget& download;
    link_budget& source_budget; // this host's share of the rate at which its region fetches from the source
};

class transfer : public std::enable_shared_from_this<transfer> {
public:
    // Returns the live agents that should serve the version.
    using host_source = std::function<std::vector<member>()>;

    // source_region: region whose hosts fetch from the source; if empty, all hosts do.
    transfer(transfer_resources& resources, manifest_ptr version, host_source hosts,
             std::string source_region = {});

    // survey_first: polls peers for their holdings before the first fetch. Not needed for a version so new
    // that no peer holds a chunk of it.
    auto run(bool survey_first = true) -> asio::awaitable<result<void>>;
    auto cancel() -> void;

    // The manifest was confirmed: copies of chunks that do not match it no longer end the transfer.
    auto trust_manifest() -> void { trusts_manifest_ = true; }

    // Records holdings that a peer sent without being polled.
    auto on_peer_holdings(std::string_view peer, std::vector<bool> const& chunks) -> void;

    // Starts no source fetch before this time, because another version is more urgent.
    auto pause_source_fetches(time_point until) -> void { plan_.pause_source(until); }
    [[nodiscard]] auto chunks_without_holder() const -> std::size_t { return plan_.chunks_without_holder(); }

    [[nodiscard]] auto held_chunks() const -> std::size_t { return plan_.held_count(); }
    [[nodiscard]] auto chunk_count() const -> std::size_t { return version_->chunks.size(); }

private:
    // The bytes, or the reason for the failure.
    using fetch_result = std::variant<chunk_bytes, fetch_failure>;

    auto refresh_hosts() -> void;
    auto record_held_chunks() -> void;
    auto start_fetches() -> void;
    auto poll_loop() -> asio::awaitable<void>;
    auto poll_peer(std::string name) -> asio::awaitable<void>;
    auto survey_holdings() -> asio::awaitable<void>;
    auto fetch(chunk_fetch what) -> asio::awaitable<void>;
    auto from_source(std::size_t chunk, address& sender) -> asio::awaitable<fetch_result>;
    auto from_peer(std::size_t chunk, std::string name) -> asio::awaitable<fetch_result>;
    auto read_chunk(std::unique_ptr<http_stream> stream, std::uint64_t size) -> asio::awaitable<fetch_result>;
    auto record_failure(chunk_fetch const& what, fetch_failure failure, address const& source) -> void;
    auto count_mismatch(chunk_fetch const& what, fetch_failure failure) -> void;
    auto verify_version() -> asio::awaitable<bool>;
    auto wait(milliseconds max_duration) -> asio::awaitable<void>;
    auto wake() -> void { wake_timer_.cancel(); }

    transfer_resources& resources_;
    manifest_ptr version_;
    host_source hosts_;
    std::string source_region_;
    chunk_plan plan_;
    fetch_window window_;
    std::map<std::string, address, std::less<>> addresses_;
    time_point hosts_refreshed_;
    clock_timer wake_timer_;
    std::size_t polls_ = 0;                 // polls of peers in flight
    std::map<std::size_t, int> mismatches_; // by chunk, see count_mismatch()
    std::optional<std::size_t> doubted_chunk_;
    bool trusts_manifest_ = false;
    bool cancelled_ = false;
};

} // namespace hibiscuswall
