#pragma once
// Settings for membership and gossip ("membership" in the settings file of a daemon).

#include "hibiscuswall/core/settings_reader.hpp"

namespace hibiscuswall {

struct membership_settings {
    milliseconds exchange_interval{1'000}; // "exchange_interval_ms": between regular exchanges, each with one
                                           // random peer
    milliseconds early_exchange_interval{250}; // "news_interval_ms": between exchanges with pending updates
    milliseconds host_list_interval{2'000}; // "host_list_interval_ms": between reads of the host list by the
                                            // processes of one failure domain together
    milliseconds peer_timeout{500};         // "peer_timeout_ms": of one exchange
    milliseconds suspect_timeout{5'000};    // "suspicion_ms": from suspect to dead
    milliseconds removal_delay{60'000};     // "forget_ms": from dead to removed
    int missed_probes = 3; // "missed_probes": consecutive direct probes without a response until suspect
    int members_per_exchange = 8; // "members_per_exchange": updates in one exchange; bounds its size
    // "exchange_bytes_per_second": bytes that this process sends and receives as a client; early exchanges
    // wait when they are used up.
    int exchange_bytes_per_second = 1'000;
    int leaving_peers = 16; // "leaving_peers": peers that announce_leaving() notifies directly
};

[[nodiscard]] auto read_membership_settings(settings_reader reader) -> membership_settings;

} // namespace hibiscuswall
