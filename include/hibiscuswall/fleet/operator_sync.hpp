#pragma once
// Fetches operator changes from peers, for a process whose store calls are rejected or whose connection to
// the store is stalled.
//
//   auto sync = operator_sync{context, declared, operator_scope::all,
//                             [&] { return watch.complete_until(); },
//                             [&](time_point now) { return loads.newer_peers(now); }};
//   start_loop(io.get_executor(), "operator_sync", [&] { return sync.run(); });
//
// Several peers are asked, one a short while after the other, until one has answered; one that did not is
// asked last for some seconds.
//
// Serves this process's copy of the operators' keys on the peer address: GET /fleet/operators returns all of
// them, GET /fleet/weights the weights declarations, GET /fleet/services the services of the configuration.

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

// A peer's copy of the operators' keys.
struct operator_snapshot {
    std::uint64_t revision = 0;    // newest change that the snapshot contains; 0: the peer has no state
    std::vector<store_item> items; // all existing keys of the requested prefix
    // Time since the weights declarations among the items were made, by key. Peers of earlier builds send
    // none.
    std::map<std::string, milliseconds, std::less<>> ages{};
    std::uint64_t configuration_version = 0; // in force at the peer; 0: none, or a peer of an earlier build
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
    // Returns the peer addresses of processes that are known to have a newer change, the best first.
    using peers_function = std::function<std::vector<address>(time_point now)>;
    using time_function = std::function<time_point()>;

    // declarations_known_until: every weights declaration made before this time is known from the store.
    // newer_weights_peers names processes with a newer weights declaration, for a process that keeps all
    // keys; declarations are fetched without the rest, which may be large.
    operator_sync(process_context& context, declared_state& declared, operator_scope scope,
                  time_function declarations_known_until, peers_function newer_peers,
                  peers_function newer_weights_peers = {});

    // Fetches from a peer that stays ahead longer than the store's watch usually takes; at once as long as no
    // configuration is known. Runs until the io_context stops.
    auto run() -> asio::awaitable<void>;

    // The same for the weights declarations alone, from newer_weights_peers; beside run(), whose fetches may
    // be large.
    auto run_weights() -> asio::awaitable<void>;

private:
    // What a process asks its peers for.
    struct question {
        std::string_view path;            // of the request
        std::string_view prefix;          // of the keys in the answer
        std::uint64_t known_revision = 0; // an answer has to be newer than this, or than the next
        std::uint64_t known_version = 0;  // of the configuration
    };
    struct answer {
        operator_snapshot content;
        time_point requested_at;
    };

    auto follow(peers_function const& newer_peers, operator_scope scope) -> asio::awaitable<void>;
    auto fetch(std::vector<address> peers, operator_scope scope) -> asio::awaitable<void>;
    auto fetch_from(address peer, question asked) -> asio::awaitable<result<answer>>;
    [[nodiscard]] auto question_for(operator_scope scope) const -> question;
    [[nodiscard]] auto in_order(std::vector<address> peers, time_point now) const -> std::vector<address>;
    auto take(answer const& received, std::string_view prefix) -> void;
    auto services() -> operator_snapshot;

    process_context& context_;
    declared_state& declared_state_;
    operator_scope scope_;
    time_function declarations_known_until_;
    peers_function newer_peers_;
    peers_function newer_weights_peers_;
    std::map<address, time_point> unanswered_; // when a peer was last given up, or passed over for the next
    operator_snapshot
        services_snapshot_; // cached response to GET /fleet/services; rebuilt after a new revision
};

} // namespace hibiscuswall
