#pragma once
// The immutable description of a weights version: SHA-256 of each chunk and of the whole.
//
//   auto parsed = parse_manifest(text);           // manifest_invalid names the field
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

constexpr auto max_chunk_bytes = std::uint64_t{64} << 20U; // the transport's largest body
constexpr auto max_chunks = std::size_t{1} << 20U;

// "model/version", the name under which peers ask for it.
[[nodiscard]] inline auto weights_id(std::string_view model, std::string_view version) -> std::string
{
    return std::string{model} + "/" + std::string{version};
}

struct manifest {
    std::string model;
    std::string version;
    std::uint64_t size = 0;          // bytes of the whole
    std::string sha256;              // of the whole
    std::vector<chunk_entry> chunks; // in order; their sizes add up to size
    std::string digest;              // SHA-256 of text
    std::string text;                // as the source served it

    [[nodiscard]] auto id() const -> std::string { return weights_id(model, version); }
};

using manifest_ptr = std::shared_ptr<manifest const>;

// Unknown fields, wrong types, sizes that do not add up and malformed digests are refused.
[[nodiscard]] auto parse_manifest(std::string_view text) -> result<manifest>;

} // namespace hibiscuswall
