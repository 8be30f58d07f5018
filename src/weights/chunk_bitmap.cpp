#include "hibiscuswall/weights/chunk_bitmap.hpp"

#include <algorithm>

namespace hibiscuswall {
namespace {

constexpr auto digits = std::string_view{"0123456789abcdef"};

} // namespace

auto chunks_to_hex(std::vector<bool> const& chunks) -> std::string
{
    auto text = std::string((chunks.size() + 3) / 4, '0');
    for (auto i = std::size_t{0}; i < text.size(); ++i) {
        auto nibble = 0U;
        for (auto bit = std::size_t{0}; bit < 4; ++bit) {
            auto const at = i * 4 + bit;
            nibble = nibble << 1U | (at < chunks.size() && chunks[at] ? 1U : 0U);
        }
        text[i] = digits[nibble];
    }
    return text;
}

auto chunks_from_hex(std::string_view text, std::size_t count) -> std::vector<bool>
{
    auto chunks = std::vector<bool>(count);
    for (auto i = std::size_t{0}; i < std::min(count, text.size() * 4); ++i) {
        auto const nibble = digits.find(text[i / 4]);
        chunks[i] = nibble != std::string_view::npos && ((nibble >> (3 - i % 4)) & 1U) != 0;
    }
    return chunks;
}

} // namespace hibiscuswall
