#pragma once
// Settings "membership" of a daemon.

#include "hibiscuswall/core/settings_reader.hpp"

namespace hibiscuswall {

struct membership_settings {
    milliseconds exchange_interval{1'000};  // "exchange_interval_ms": one exchange with one random peer
    milliseconds news_interval{250};        // "news_interval_ms": between exchanges while there is news
    milliseconds host_list_interval{2'000}; // "host_list_interval_ms": between reads of the host list by the
                                            // processes of one failure domain together
    milliseconds peer_timeout{500};         // "peer_timeout_ms": one exchange
    milliseconds suspicion{5'000};          // "suspicion_ms": from suspect to dead
    milliseconds forget{60'000};            // "forget_ms": from dead or leaving to forgotten
    int missed_probes = 3;                  // "missed_probes": direct probes without an answer until suspect
    int members_per_exchange = 8; // "members_per_exchange": changes; bounds the bytes of one exchange
    int exchange_bytes_per_second = 1'000; // "exchange_bytes_per_second": as a client, for early exchanges
    int leaving_peers = 16;                // "leaving_peers": peers told directly by announce_leaving()
};

[[nodiscard]] auto read_membership_settings(settings_reader reader) -> membership_settings;

} // namespace hibiscuswall
