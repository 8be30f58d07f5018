#pragma once
// Distributes the configuration: reads it from the store or from peers, keeps the newest revision, pushes it
// to peers, and writes changes to the store by one compare-and-swap.
//
//   auto config = config_service{context, kv, members, settings};
//   config.start();
//   auto revision = co_await config.apply(change);
//   // errors: resource_invalid, revision_conflict (names the superseding write), store_unavailable
//   //         (nothing written), write_outcome_unknown
//
// Registers the JSON-RPC methods config.push and config.fetch.

#include "hibiscuswall/config/config_settings.hpp"
#include "hibiscuswall/config/config_state.hpp"
#include "hibiscuswall/config/config_writer.hpp"
#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/membership/member_source.hpp"
#include "platform/key_value_client.hpp"

namespace hibiscuswall {

class config_service : public config_source {
public:
    config_service(process_context& context, key_value_client& store, member_source& members,
                   config_settings settings);

    auto start() -> void;

    [[nodiscard]] auto current() const -> config_view_ptr override { return state_.current(); }
    [[nodiscard]] auto confirmed(time_point now) const -> bool override { return state_.confirmed(now); }
    auto subscribe(std::function<void(config_view const&)> changed) -> void override;

    [[nodiscard]] auto state() const -> config_state const& { return state_; }

    // Writes a change to the store and applies it in this process. Returns its revision.
    auto apply(config_change change) -> asio::awaitable<result<std::uint64_t>>;

    // Reads the root and the missing objects from the store. A root that is an older copy of what this
    // process has is left alone.
    auto refresh() -> asio::awaitable<result<void>>;

    // Handles a peer's revision received by gossip: fetches from the peer if its revision is newer. A peer
    // that was paused and has not confirmed its revision since sends no age. requested_at: when this process
    // sent the request that the peer responded to. None if the peer sent the message on its own initiative:
    // such a message may have waited in this process's socket since before a pause, so it does not end the
    // pause. received_at: when its first bytes arrived.
    auto on_peer_revision(address peer, std::uint64_t revision, std::optional<milliseconds> confirmed_age,
                          std::optional<time_point> requested_at, time_point received_at, time_point now)
        -> void;

    // Confirmation age to send to peers; none without a configuration or while the process counts as paused.
    [[nodiscard]] auto confirmed_age_for_peers(time_point now) const -> std::optional<milliseconds>;

private:
    auto adopt(config_document document, time_point confirmed_at, std::string_view source) -> bool;
    auto add_methods() -> void;
    auto handle_push(nlohmann::json const& params, time_point received_at) -> result<nlohmann::json>;
    auto handle_fetch(nlohmann::json const& params) const -> result<nlohmann::json>;

    // ---- loops
    auto start_loop() -> asio::awaitable<void>;
    auto watch_loop() -> asio::awaitable<void>;
    auto watch_once() -> asio::awaitable<bool>;
    auto tick_loop() -> asio::awaitable<void>;
    auto collect_loop() -> asio::awaitable<void>;
    auto confirm_after_pause() -> asio::awaitable<void>;

    // ---- peers
    auto fetch_from(address peer) -> asio::awaitable<result<void>>;
    auto fetch_in_background(address peer) -> asio::awaitable<void>;
    auto random_peers(std::size_t count) const -> std::vector<member>;
    auto push_out(std::string_view source) -> void;
    auto push_to(std::vector<std::string> order, std::string name, bool with_subtree)
        -> asio::awaitable<void>;
    auto push_once(member peer) -> asio::awaitable<bool>;

    // ---- store
    auto restore(config_document copy, time_point requested_at) -> asio::awaitable<result<void>>;
    auto load_root(key_value_entry entry, time_point requested_at, std::string source)
        -> asio::awaitable<result<void>>;

    process_context& context_;
    key_value_client& store_;
    member_source& members_;
    config_settings settings_;
    config_state state_;
    config_writer writer_;
    std::vector<std::function<void(config_view const&)>> subscribers_;
    bool fetching_ = false;
    bool members_changed_ = true; // since watch_loop() last decided whether this process is a watcher
};

} // namespace hibiscuswall
