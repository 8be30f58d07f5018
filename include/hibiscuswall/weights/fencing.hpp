#pragma once
// Fencing numbers of a host: a counter in the key-value service, raised by compare-and-swap, behind the era
// of the service. A service that was restored from a copy counts on from an older number, in a new era.
//
//   auto number = co_await next_fencing_number(store, "host-1");
//
// If the response to a write is lost, the number is incremented again: skipped numbers are harmless, a number
// used twice is not. Errors: store_unavailable, write_outcome_unknown, response_malformed, and
// revision_conflict after several attempts.

#include "platform/key_value_client.hpp"

#include <cstdint>
#include <string>

namespace hibiscuswall {

auto next_fencing_number(key_value_client& store, std::string host) -> asio::awaitable<result<std::uint64_t>>;

} // namespace hibiscuswall
