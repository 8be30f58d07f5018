#include "hibiscuswall/core/base64.hpp"

#include <openssl/evp.h>

namespace hibiscuswall {

auto encode_base64(std::string_view bytes) -> std::string
{
    auto text = std::string(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // OpenSSL writes a closing zero byte
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

auto decode_base64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 4 != 0) return std::nullopt;
    auto bytes = std::string(3 * (text.size() / 4), '\0');
    auto const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()), static_cast<int>(text.size()));
    if (size < 0) return std::nullopt;
    // OpenSSL counts the bytes that padding stands for.
    auto padding = std::size_t{0};
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace hibiscuswall
