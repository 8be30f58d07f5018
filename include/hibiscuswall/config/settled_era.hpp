#pragma once
// The store's record of the era in which all that its latest restore lost has been written again. A copy
// holds a record of an earlier era at most, so that the record names the present era only once a process of
// this era has written it.
//
//   auto settled = co_await read_settled_era(store);            // 0: none is recorded
//   auto recorded = co_await record_settled_era(store, era);    // the era that is recorded afterwards
//   // errors: those of key_value_client; response_malformed if the record is no number

#include "platform/key_value_client.hpp"

namespace hibiscuswall {

auto read_settled_era(key_value_client& store) -> asio::awaitable<result<std::uint64_t>>;

// Writes nothing if this era or a later one is recorded.
auto record_settled_era(key_value_client& store, std::uint64_t era) -> asio::awaitable<result<std::uint64_t>>;

} // namespace hibiscuswall
