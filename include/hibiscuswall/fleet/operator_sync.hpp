#pragma once
// Operators' changes from peers, for a process that the store turns away or whose connection to it went
// silent.
//
//   auto exchange = operator_exchange{context, fleet, [&] { return loads.newer_peer(); }};
//   asio::co_spawn(io, exchange.run(), asio::detached);
//
// Serves on the peer address what this process knows under the operators' keys: GET /fleet/operators all of
// it, GET /fleet/weights the declarations of weights, GET /fleet/services the services of the configuration.

#include "hibiscuswall/core/process_context.hpp"
#include "hibiscuswall/fleet/declared_state.hpp"

#include <functional>
#include <optional>
#include <string>

namespace hibiscuswall {

// What a peer knows, as text between daemons.
struct operator_snapshot {
    std::uint64_t revision = 0;    // newest change that it contains
    std::vector<store_item> items; // all keys that exist
};

[[nodiscard]] auto encode(operator_snapshot const& snapshot) -> std::string;
[[nodiscard]] auto decode_operator_snapshot(std::string_view text) -> std::optional<operator_snapshot>;

// What a process follows of the operators' keys.
enum class operator_part {
    all,     // entries
    weights, // agents: the declarations of weights, and the services as long as they know none
};

class operator_exchange {
public:
    // newer_peer: peer address of a process that told of a newer change; none: nobody did.
    using peer_function = std::function<std::optional<address>()>;

    operator_exchange(process_context& context, fleet_state& fleet, operator_part part,
                      peer_function newer_peer);

    // Asks a peer once it has been ahead for a moment; until the io_context stops.
    auto run() -> asio::awaitable<void>;

private:
    auto fetch(address peer) -> asio::awaitable<void>;
    auto services() -> operator_snapshot;

    process_context& context_;
    fleet_state& fleet_;
    operator_part part_;
    peer_function newer_peer_;
    operator_snapshot services_; // of the newest configuration that an agent asked for
};

} // namespace hibiscuswall
