#pragma once
// Rendezvous (highest random weight) hashing: every process ranks the same names for a key in the same order,
// and a name that joins or leaves moves only its own share of the keys.
//
//   auto ranked = rendezvous_rank(chunk_digest, host_names);   // ranked.front() owns the key

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

// 64-bit weight of a name for a key; equal on every host and build.
[[nodiscard]] auto rendezvous_weight(std::string_view key, std::string_view name) -> std::uint64_t;

// The names by descending weight, ties by name.
[[nodiscard]] auto rendezvous_rank(std::string_view key, std::span<std::string const> names)
    -> std::vector<std::string>;

} // namespace hibiscuswall
