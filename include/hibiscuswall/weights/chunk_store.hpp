#pragma once
// Verified chunks in memory, bounded in bytes, shared between versions by digest.
//
//   if (auto kept = store.reserve(manifest); !kept) ...    // weights_too_large
//   store.add(digest, bytes);                               // only after verification
//   store.release("model/v1");                              // drops chunks that no other version names

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

    // Accounts for every chunk of the version, held or not. Reserving a version twice is harmless.
    auto reserve(manifest_ptr const& version) -> result<void>;
    auto release(std::string const& id) -> void;

    // Dropped when no reserved version names the digest.
    auto add(std::string const& digest, chunk_bytes bytes) -> void;

    // Null when not held.
    [[nodiscard]] auto find(std::string_view digest) const -> chunk_bytes;

    // Null when the version is not reserved.
    [[nodiscard]] auto version(std::string_view id) const -> manifest_ptr;
    [[nodiscard]] auto versions() const -> std::vector<std::string>;

    // One flag a chunk of the manifest.
    [[nodiscard]] auto held(manifest const& version) const -> std::vector<bool>;

    // The chunks in order; empty unless all are held.
    [[nodiscard]] auto whole(manifest const& version) const -> std::vector<chunk_bytes>;

    [[nodiscard]] auto reserved_bytes() const -> std::uint64_t { return reserved_; }
    [[nodiscard]] auto held_bytes() const -> std::uint64_t;

private:
    struct slot {
        chunk_bytes bytes;      // null until verified
        std::uint64_t size = 0; // as the manifest states
        int references = 0;     // reserved versions that name it
    };
    std::uint64_t limit_;
    std::uint64_t reserved_ = 0;
    std::map<std::string, slot, std::less<>> slots_;
    std::map<std::string, manifest_ptr, std::less<>> versions_;
};

} // namespace hibiscuswall
