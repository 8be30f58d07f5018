#include "hibiscuswall/weights/manifest.hpp"

#include "hibiscuswall/core/sha256.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>

namespace hibiscuswall {
namespace {

auto is_digest(std::string_view text) -> bool
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto has_exactly(nlohmann::json const& value, std::initializer_list<char const*> keys) -> bool
{
    return value.is_object() && value.size() == keys.size() &&
           std::all_of(keys.begin(), keys.end(), [&](auto const* key) { return value.contains(key); });
}

auto invalid_manifest(std::string const& what) -> error { return fail(result_code::manifest_invalid, what); }

} // namespace

auto parse_manifest(std::string_view text) -> result<manifest>
{
    auto const body = nlohmann::json::parse(text, nullptr, false);
    if (!has_exactly(body, {"model", "version", "size", "sha256", "chunks"}))
        return invalid_manifest(
            "manifest: expected a JSON object with exactly model, version, size, sha256 and chunks");
    for (auto const* key : {"model", "version", "sha256"})
        if (!body[key].is_string() || body[key].get_ref<std::string const&>().empty())
            return invalid_manifest(std::string{key} + ": expected a non-empty string");
    if (!body["size"].is_number_unsigned())
        return invalid_manifest("size: expected a non-negative number of bytes");
    if (!body["chunks"].is_array() || body["chunks"].empty() || body["chunks"].size() > max_chunks)
        return invalid_manifest("chunks: expected an array with at least 1 element and at most " +
                                std::to_string(max_chunks));

    auto parsed = manifest{};
    parsed.model = body["model"];
    parsed.version = body["version"];
    parsed.size = body["size"];
    parsed.sha256 = body["sha256"];
    if (!is_digest(parsed.sha256))
        return invalid_manifest("sha256: expected 64 lower-case hexadecimal digits");
    auto total = std::uint64_t{0};
    for (auto const& item : body["chunks"]) {
        auto const path = "chunks[" + std::to_string(parsed.chunks.size()) + "]";
        if (!has_exactly(item, {"sha256", "size"}) || !item["sha256"].is_string() ||
            !item["size"].is_number_unsigned())
            return invalid_manifest(path + ": expected an object with exactly sha256 and size");
        auto entry = chunk_entry{item["sha256"], item["size"]};
        if (!is_digest(entry.sha256))
            return invalid_manifest(path + ".sha256: expected 64 lower-case hexadecimal digits");
        if (entry.size == 0 || entry.size > max_chunk_bytes)
            return invalid_manifest(path + ".size: expected 1 byte to 64 MiB");
        total += entry.size;
        parsed.chunks.push_back(std::move(entry));
    }
    if (total != parsed.size) return invalid_manifest("size: differs from the sum of the chunk sizes");
    parsed.text = text;
    parsed.digest = sha256(text);
    return parsed;
}

} // namespace hibiscuswall
