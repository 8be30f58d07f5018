// Ends the calls that outlast a planned stop of this entry.
#include "hibiscuswall/serving/call_relay.hpp"

#include "hibiscuswall/observe/log.hpp"

#include <algorithm>

namespace hibiscuswall {

auto call_relay::end_all(time_point now) -> void
{
    for (auto* call : active_) {
        auto const after = std::chrono::duration_cast<milliseconds>(now - call->arrived_at);
        log_event(log_level::warning, "call_ended_by_stop",
                  {{"call", call->fields.call_id},
                   {"sends", std::to_string(call->send_count)},
                   {"after_ms", std::to_string(after.count())}});
        metrics_registry_.count("calls_ended_by_stop");
        call->ended_by_stop = true;
        call->deadline = std::min(call->deadline, now);
        stop_takeover(*call, "this entry stops");
        if (call->connection != nullptr) call->connection->close();
        if (call->wait_timer != nullptr) call->wait_timer->cancel();
    }
}

} // namespace hibiscuswall
