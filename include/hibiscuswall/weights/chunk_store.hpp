#pragma once
// In-memory store of verified chunks with a limit in bytes. Versions share chunks of equal digest.
//
//   if (auto reserved = store.reserve(manifest); !reserved) ...    // weights_too_large
//   store.add(digest, bytes);                               // only after verification
//   store.release("model/v1");                              // drops chunks that no other version contains

#include "hibiscuswall/weights/manifest.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscuswall {

using chunk_bytes = std::shared_ptr<std::string const>;

class chunk_store {
public:
    explicit chunk_store(std::uint64_t limit_bytes) : limit_{limit_bytes} {}

    // Reserves memory for every chunk of the version, held or not. Repeating it has no effect; with another
    // manifest of the same version it replaces the former one.
    auto reserve(manifest_ptr const& version) -> result<void>;
    auto release(std::string const& id) -> void;

    // Stores the chunk, or drops it if no reserved version contains it.
    auto add(std::string const& digest, chunk_bytes bytes) -> void;

    // Null if the chunk is not held.
    [[nodiscard]] auto find(std::string_view digest) const -> chunk_bytes;

    // Null if the version is not reserved.
    [[nodiscard]] auto version(std::string_view id) const -> manifest_ptr;
    [[nodiscard]] auto versions() const -> std::vector<std::string>;

    // One flag per chunk of the manifest.
    [[nodiscard]] auto held(manifest const& version) const -> std::vector<bool>;

    // The chunks in manifest order; empty unless all are held.
    [[nodiscard]] auto all_chunks(manifest const& version) const -> std::vector<chunk_bytes>;

    [[nodiscard]] auto reserved_bytes() const -> std::uint64_t { return reserved_; }
    [[nodiscard]] auto held_bytes() const -> std::uint64_t;

private:
    auto release_chunks(manifest const& version) -> void;

    struct stored_chunk {
        chunk_bytes bytes;      // null until verified
        std::uint64_t size = 0; // from the manifest
        int references = 0;     // number of reserved versions that contain it
    };
    std::uint64_t limit_;
    std::uint64_t reserved_ = 0;
    std::map<std::string, stored_chunk, std::less<>> chunks_;
    std::map<std::string, manifest_ptr, std::less<>> versions_;
};

} // namespace hibiscuswall
