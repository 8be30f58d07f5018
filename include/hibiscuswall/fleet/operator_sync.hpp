#pragma once
// Fetches operator changes from peers, for a process whose store calls are rejected or whose connection to
// the store is stalled.
//
//   auto sync = operator_sync{context, declared, operator_scope::all, [&] { return loads.newer_peer(); }};
//   asio::co_spawn(io, sync.run(), asio::detached);
//
// Serves this process's copy of the operators' keys on the peer address: GET /fleet/operators returns all of
// them, GET /fleet/weights the weights declarations, GET /fleet/services the services of the configuration.

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hibiscuswall {

// A peer's copy of the operators' keys.
struct operator_snapshot {
    std::uint64_t revision = 0;    // newest change that the snapshot contains; 0: the peer has no state
    std::vector<store_item> items; // all existing keys of the requested prefix
    // Time since the weights declarations among the items were made, by key. Peers of earlier builds send
    // none.
    std::map<std::string, milliseconds, std::less<>> ages{};
};

// JSON text, as sent between daemons.
[[nodiscard]] auto encode(operator_snapshot const& snapshot) -> std::string;
[[nodiscard]] auto decode_operator_snapshot(std::string_view text) -> std::optional<operator_snapshot>;

// Which of the operators' keys a process keeps up to date.
enum class operator_scope {
    all,     // all keys; for entries
    weights, // weights declarations, and the services until a configuration is known; for agents
};

class operator_sync {
public:
    // Returns the peer address of a process that is known to have a newer change, if there is one.
    using peer_function = std::function<std::optional<address>()>;

    operator_sync(process_context& context, declared_state& declared, operator_scope scope,
                  peer_function newer_peer);

    // Fetches from a peer that stays ahead longer than the store's watch usually takes; at once as long as no
    // configuration is known. Runs until the io_context stops.
    auto run() -> asio::awaitable<void>;

private:
    auto fetch(address peer) -> asio::awaitable<void>;
    auto services() -> operator_snapshot;

    process_context& context_;
    declared_state& declared_state_;
    operator_scope scope_;
    peer_function newer_peer_;
    operator_snapshot
        services_snapshot_; // cached response to GET /fleet/services; rebuilt after a new revision
};

} // namespace hibiscuswall
