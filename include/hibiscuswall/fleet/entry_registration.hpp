#pragma once
// Keeps this entry listed in the platform's store while it runs: a record under a lease, renewed
// periodically.
//
//   auto registration = entry_registration{store, random, self, settings};
//   asio::co_spawn(io, registration.run(), asio::detached);

#include "hibiscuswall/core/random_source.hpp"
#include "hibiscuswall/serving/sender_assignment.hpp"
#include "platform/key_value_client.hpp"

#include <cstdint>
#include <optional>

namespace hibiscuswall {

struct registration_settings {
    milliseconds lease_ttl{10'000};
    milliseconds renew_interval{3'000}; // two renewals may be lost before the lease ends
    milliseconds retry_delay{700};      // after a failed call; 50 to 100 % of it is used
};

class entry_registration {
public:
    entry_registration(key_value_client& store, random_source& random, listed_entry self,
                       registration_settings settings = {})
        : store_{store}, random_{random}, self_{std::move(self)}, settings_{settings}
    {
    }

    // Runs until the io_context stops.
    auto run() -> asio::awaitable<void>;

private:
    auto register_self() -> asio::awaitable<bool>;
    auto renew() -> asio::awaitable<bool>;

    key_value_client& store_;
    random_source& random_;
    listed_entry self_;
    registration_settings settings_;
    std::optional<store_lease> lease_; // none while this entry is not listed
};

} // namespace hibiscuswall
