#include "hibiscuswall/core/rendezvous.hpp"

#include <boost/endian/conversion.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hibiscuswall {

auto rendezvous_weight(std::string_view key, std::string_view name) -> std::uint64_t
{
    // The separator keeps ("ab","c") and ("a","bc") apart.
    auto text = std::string{key};
    text += '\x1f';
    text += name;
    auto raw = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto size = 0U;
    EVP_Digest(text.data(), text.size(), raw.data(), &size, EVP_sha256(), nullptr);
    return boost::endian::load_big_u64(raw.data());
}

auto rendezvous_rank(std::string_view key, std::span<std::string const> names) -> std::vector<std::string>
{
    auto weighted = std::vector<std::pair<std::uint64_t, std::string>>{};
    weighted.reserve(names.size());
    for (auto const& name : names)
        weighted.emplace_back(rendezvous_weight(key, name), name);
    std::sort(weighted.begin(), weighted.end(), [](auto const& left, auto const& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    auto ranked = std::vector<std::string>{};
    ranked.reserve(weighted.size());
    for (auto& [weight, name] : weighted)
        ranked.push_back(std::move(name));
    return ranked;
}

} // namespace hibiscuswall
