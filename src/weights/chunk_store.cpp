#include "hibiscuswall/weights/chunk_store.hpp"

#include <set>

namespace hibiscuswall {
namespace {

auto distinct_chunks(manifest const& version) -> std::map<std::string_view, std::uint64_t>
{
    auto list = std::map<std::string_view, std::uint64_t>{};
    for (auto const& chunk : version.chunks)
        list.emplace(chunk.sha256, chunk.size);
    return list;
}

} // namespace

auto chunk_store::reserve(manifest_ptr const& version) -> result<void>
{
    auto const replaced = this->version(version->id());
    if (replaced != nullptr && replaced->digest == version->digest) return success();
    auto const chunks = distinct_chunks(*version);
    auto added = std::uint64_t{0};
    for (auto const& [digest, size] : chunks)
        if (chunks_.find(digest) == chunks_.end()) added += size;
    if (reserved_ + added > limit_)
        return fail(result_code::weights_too_large, version->id() + " needs " + std::to_string(added) +
                                                        " bytes more, " + std::to_string(limit_ - reserved_) +
                                                        " are free");
    for (auto const& [digest, size] : chunks) {
        auto& entry = chunks_[std::string{digest}];
        entry.size = size;
        ++entry.references;
    }
    reserved_ += added;
    versions_[version->id()] = version;
    if (replaced != nullptr) release_chunks(*replaced); // after the new ones: chunks of both stay held
    return success();
}

auto chunk_store::release(std::string const& id) -> void
{
    auto const found = versions_.find(id);
    if (found == versions_.end()) return;
    auto const version = found->second;
    versions_.erase(found);
    release_chunks(*version);
}

auto chunk_store::release_chunks(manifest const& version) -> void
{
    for (auto const& [digest, size] : distinct_chunks(version)) {
        auto const entry = chunks_.find(digest);
        if (entry == chunks_.end() || --entry->second.references > 0) continue;
        reserved_ -= entry->second.size;
        chunks_.erase(entry);
    }
}

auto chunk_store::add(std::string const& digest, chunk_bytes bytes) -> void
{
    auto const entry = chunks_.find(digest);
    if (entry != chunks_.end()) entry->second.bytes = std::move(bytes);
}

auto chunk_store::find(std::string_view digest) const -> chunk_bytes
{
    auto const entry = chunks_.find(digest);
    return entry == chunks_.end() ? nullptr : entry->second.bytes;
}

auto chunk_store::version(std::string_view id) const -> manifest_ptr
{
    auto const found = versions_.find(id);
    return found == versions_.end() ? nullptr : found->second;
}

auto chunk_store::versions() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>{};
    for (auto const& [id, version] : versions_)
        names.push_back(id);
    return names;
}

auto chunk_store::held(manifest const& version) const -> std::vector<bool>
{
    auto flags = std::vector<bool>(version.chunks.size());
    for (auto i = std::size_t{0}; i < flags.size(); ++i)
        flags[i] = find(version.chunks[i].sha256) != nullptr;
    return flags;
}

auto chunk_store::all_chunks(manifest const& version) const -> std::vector<chunk_bytes>
{
    auto list = std::vector<chunk_bytes>{};
    list.reserve(version.chunks.size());
    for (auto const& chunk : version.chunks) {
        auto bytes = find(chunk.sha256);
        if (bytes == nullptr) return {};
        list.push_back(std::move(bytes));
    }
    return list;
}

auto chunk_store::held_bytes() const -> std::uint64_t
{
    auto total = std::uint64_t{0};
    for (auto const& [digest, entry] : chunks_)
        if (entry.bytes != nullptr) total += entry.bytes->size();
    return total;
}

} // namespace hibiscuswall
