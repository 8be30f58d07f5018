#pragma once
// Immutable description of a weights version: SHA-256 of each chunk and of all chunks concatenated.
//
//   auto parsed = parse_manifest(text);           // the message of manifest_invalid names the field
//   parsed.value().digest                          // SHA-256 of the text; the engine reports it
//
// Text: {"model","version","size","sha256","chunks":[{"sha256","size"}]}.

#include "hibiscuswall/core/result.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

struct chunk_entry {
    std::string sha256;     // 64 lower-case hexadecimal digits
    std::uint64_t size = 0; // bytes, 1 to max_chunk_bytes
};

constexpr auto max_chunk_bytes = std::uint64_t{64} << 20U; // largest body that the transport accepts
constexpr auto max_chunks = std::size_t{1} << 20U;

// "model/version", the name of the version between peers.
[[nodiscard]] inline auto weights_id(std::string_view model, std::string_view version) -> std::string
{
    return std::string{model} + "/" + std::string{version};
}

struct manifest {
    std::string model;
    std::string version;
    std::uint64_t size = 0; // bytes of all chunks
    std::string sha256;     // of all chunks concatenated; empty if the source publishes chunk digests only
    std::vector<chunk_entry> chunks; // in order; their sizes add up to size
    std::string digest;              // SHA-256 of text
    std::string text;                // as received from the source

    [[nodiscard]] auto id() const -> std::string { return weights_id(model, version); }
};

using manifest_ptr = std::shared_ptr<manifest const>;

// Rejects unknown fields, wrong types, sizes that do not add up and malformed digests.
[[nodiscard]] auto parse_manifest(std::string_view text) -> result<manifest>;

} // namespace hibiscuswall
