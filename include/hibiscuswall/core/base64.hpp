#pragma once
// Standard base64 with padding (RFC 4648, section 4).
//
//   auto text = encode_base64(bytes);
//   auto bytes = decode_base64(text);      // none when the text is not base64

#include <optional>
#include <string>
#include <string_view>

namespace hibiscuswall {

[[nodiscard]] auto encode_base64(std::string_view bytes) -> std::string;
[[nodiscard]] auto decode_base64(std::string_view text) -> std::optional<std::string>;

} // namespace hibiscuswall
