#pragma once
// Hexadecimal encoding of the chunks that a host holds: chunk 0 is the highest bit of the first digit.
//
//   chunks_to_hex({true, false, false, false, true})   // "88"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

[[nodiscard]] auto chunks_to_hex(std::vector<bool> const& chunks) -> std::string;

// Missing and malformed digits count as "not held".
[[nodiscard]] auto chunks_from_hex(std::string_view text, std::size_t count) -> std::vector<bool>;

} // namespace hibiscuswall
