#include "hibiscuswall/core/sha256.hpp"

#include <openssl/evp.h>

#include <array>

namespace hibiscuswall {

struct sha256_hasher::state {
    EVP_MD_CTX* context = EVP_MD_CTX_new();
};

sha256_hasher::sha256_hasher() : state_{std::make_unique<state>()}
{
    EVP_DigestInit_ex(state_->context, EVP_sha256(), nullptr);
}

sha256_hasher::~sha256_hasher() { EVP_MD_CTX_free(state_->context); }

auto sha256_hasher::update(std::string_view bytes) -> void
{
    EVP_DigestUpdate(state_->context, bytes.data(), bytes.size());
}

auto sha256_hasher::finish() -> std::string
{
    auto raw = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto size = 0U;
    EVP_DigestFinal_ex(state_->context, raw.data(), &size);
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    text.reserve(size * 2);
    for (auto i = 0U; i < size; ++i) {
        text += digits[raw[i] >> 4U];
        text += digits[raw[i] & 15U];
    }
    return text;
}

auto sha256(std::string_view bytes) -> std::string
{
    auto hasher = sha256_hasher{};
    hasher.update(bytes);
    return hasher.finish();
}

} // namespace hibiscuswall
