#pragma once
// Weights with generated content: the same seed gives the same bytes in every process.
//
//   auto spec = parse_model_spec("snow/v2:8388608:2");          // model/version:bytes:seed
//   auto made = generate_model(spec, 1 << 20);
//   made.manifest                                            // text whose SHA-256 is the manifest digest
//
// With shared_chunks, the first chunks come from shared_seed, so that two versions have chunks of equal
// digest: "snow/v3:8388608:3:2:4" takes 4 chunks from seed 2.

#include "hibiscuswall/core/sha256.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace hibiscuswall {

struct model_spec {
    std::string model;
    std::string version;
    std::size_t size = 0;          // bytes
    std::uint64_t seed = 0;        // of the content
    std::uint64_t shared_seed = 0; // of the first shared_chunks chunks
    std::size_t shared_chunks = 0;
};

struct generated_model {
    std::string manifest;                      // JSON text
    std::map<std::string, std::string> chunks; // by SHA-256
};

inline auto parse_model_spec(std::string const& text) -> std::optional<model_spec>
{
    auto parts = std::vector<std::string>{};
    auto stream = std::istringstream{text};
    for (auto part = std::string{}; std::getline(stream, part, ':');)
        parts.push_back(part);
    auto const slash = parts.empty() ? std::string::npos : parts[0].find('/');
    if ((parts.size() != 3 && parts.size() != 5) || slash == std::string::npos) return std::nullopt;
    try {
        auto spec = model_spec{parts[0].substr(0, slash), parts[0].substr(slash + 1), std::stoull(parts[1]),
                               std::stoull(parts[2])};
        if (parts.size() == 5) {
            spec.shared_seed = std::stoull(parts[3]);
            spec.shared_chunks = std::stoull(parts[4]);
        }
        return spec;
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

inline auto generate_chunk(std::uint64_t seed, std::size_t index, std::size_t size) -> std::string
{
    constexpr auto index_stride =
        std::uint64_t{0x9E3779B97F4A7C15}; // keeps seeds of neighbouring chunks apart
    auto engine = std::mt19937_64{seed + (index + 1) * index_stride};
    auto bytes = std::string(size, '\0');
    for (auto at = std::size_t{0}; at < size; at += sizeof(std::uint64_t)) {
        auto const word = engine();
        for (auto i = std::size_t{0}; i < sizeof(word) && at + i < size; ++i)
            bytes[at + i] = static_cast<char>(word >> (8 * i));
    }
    return bytes;
}

inline auto generate_model(model_spec const& spec, std::size_t chunk_bytes) -> generated_model
{
    auto made = generated_model{};
    auto whole = sha256_hasher{};
    auto chunks = nlohmann::json::array();
    for (auto at = std::size_t{0}, index = std::size_t{0}; at < spec.size; at += chunk_bytes, ++index) {
        auto const seed = index < spec.shared_chunks ? spec.shared_seed : spec.seed;
        auto bytes = generate_chunk(seed, index, std::min(chunk_bytes, spec.size - at));
        whole.update(bytes);
        auto const digest = sha256(bytes);
        chunks.push_back({{"sha256", digest}, {"size", bytes.size()}});
        made.chunks[digest] = std::move(bytes);
    }
    made.manifest = nlohmann::json{
        {"model", spec.model},
        {"version", spec.version},
        {"size", spec.size},
        {"sha256", whole.finish()},
        {"chunks",
         chunks}}.dump();
    return made;
}

} // namespace hibiscuswall
