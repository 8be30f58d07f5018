#pragma once
// Carries the records of the quarantine between entries, by datagrams over the socket of
// load_report_receiver.
//
//   auto exchange = quarantine_exchange{io, "entry-1", quarantine, loads, random};
//   start_loop(io.get_executor(), "quarantine_exchange", [&] { return exchange.run(); });
//   exchange.set_entries(directory.entries());
//   exchange.on_change();                     // after a local change of the quarantine

#include "hibiscuswall/core/timer.hpp"
#include "hibiscuswall/fleet/load_report_receiver.hpp"
#include "hibiscuswall/fleet/quarantine_gossip.hpp"

#include <string>

namespace hibiscuswall {

class quarantine_exchange {
public:
    quarantine_exchange(asio::io_context& io, std::string self, prompt_quarantine& quarantine,
                        load_report_receiver& channel, random_source& random);

    // The entries of the fleet.
    auto set_entries(std::span<listed_entry const> entries) -> void;

    // Other entries have to be told of a change of the quarantine.
    auto on_change() -> void;

    // Sends until the io_context stops.
    auto run() -> asio::awaitable<void>;

private:
    auto on_received(quarantine_records const& received, address const& from) -> void;

    load_report_receiver& channel_;
    quarantine_gossip gossip_;
    clock_timer timer_; // until the next round
};

} // namespace hibiscuswall
