#include "hibiscuswall/fleet/quarantine_exchange.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscuswall {

quarantine_exchange::quarantine_exchange(asio::io_context& io, std::string self,
                                         prompt_quarantine& quarantine, load_report_receiver& channel,
                                         random_source& random)
    : channel_{channel}, gossip_{std::move(self), quarantine, random}, timer_{io}
{
    channel_.on_quarantine_records(
        [this](quarantine_records const& received, address const& from) { on_received(received, from); });
}

// The loop reads the time of the next round again when its wait is cancelled.
auto quarantine_exchange::set_entries(std::span<listed_entry const> entries) -> void
{
    gossip_.set_entries(entries, clock::now());
    timer_.cancel();
}

auto quarantine_exchange::on_change() -> void
{
    gossip_.on_change(clock::now());
    timer_.cancel();
}

auto quarantine_exchange::run() -> asio::awaitable<void>
{
    while (true) {
        timer_.expires_at(gossip_.next_round());
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const round = gossip_.take_due_round(clock::now());
        for (auto const& to : round.targets)
            for (auto const& bytes : round.datagrams)
                channel_.send(bytes, to);
    }
}

auto quarantine_exchange::on_received(quarantine_records const& received, address const& from) -> void
{
    if (!gossip_.merge(received, clock::now())) return;
    timer_.cancel();
    log_event(log_level::info, "quarantine_evidence",
              {{"segments", std::to_string(received.segments.size())},
               {"entry", received.entry},
               {"peer", from.text()}});
}

} // namespace hibiscuswall
