#include "hibiscuswall/weights/chunk_server.hpp"

#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace hibiscuswall {
namespace {

constexpr auto paced_piece_bytes = std::size_t{16 * 1024};  // small, so that client calls are sent in between
constexpr auto local_piece_bytes = std::size_t{256 * 1024}; // for the local engine

struct byte_range {
    std::size_t first = 0;
    std::size_t size = 0;
};

// Parses "bytes=A-B" or "bytes=A-"; nullopt if malformed or not within the chunk.
auto parse_range(std::string_view text, std::size_t chunk_size) -> std::optional<byte_range>
{
    if (!text.starts_with("bytes=")) return std::nullopt;
    text.remove_prefix(6);
    auto const* const end = text.data() + text.size();
    auto first = std::size_t{0};
    auto const start = std::from_chars(text.data(), end, first);
    if (start.ec != std::errc{} || start.ptr == end || *start.ptr != '-') return std::nullopt;
    auto last = chunk_size - 1;
    auto const* const remaining = start.ptr + 1;
    if (remaining != end) {
        auto const stop = std::from_chars(remaining, end, last);
        if (stop.ec != std::errc{} || stop.ptr != end) return std::nullopt;
    }
    last = std::min(last, chunk_size - 1);
    if (first > last) return std::nullopt;
    return byte_range{first, last - first + 1};
}

} // namespace

chunk_server::chunk_server(process_context& context, chunk_store& store, link_budget& upload,
                           weights_settings const& settings)
    : context_{context}, store_{store}, upload_{upload}, upload_slots_{settings.upload_slots}
{
    context_.control.add("GET", "/chunks/", [this](http_request const& request, http_responder& out) {
        return serve_chunk(request, out);
    });
    context_.control.add("GET", "/weights/", [this](http_request const& request, http_responder& out) {
        return serve_version(request, out);
    });
    context_.rpc.add("weights.have", [this](nlohmann::json const& params) -> result<nlohmann::json> {
        auto const version = store_.version(params.value("version", ""));
        auto const held = version == nullptr ? std::vector<bool>{} : store_.held(*version);
        return nlohmann::json{{"chunks", chunks_to_hex(held)}};
    });
    context_.rpc.add("weights.manifest", [this](nlohmann::json const& params) -> result<nlohmann::json> {
        auto const version = store_.version(params.value("version", ""));
        if (version == nullptr)
            return fail(result_code::chunk_unavailable, "this host does not hold the version's manifest");
        return nlohmann::json{{"manifest", version->text}, {"digest", version->digest}};
    });
}

auto chunk_server::serve_chunk(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto const digest = std::string{request.path().substr(std::string_view{"/chunks/"}.size())};
    auto headers = http_headers{};
    if (auto const version = store_.version(request.query("version")))
        headers.set("Hw-Have", chunks_to_hex(store_.held(*version)));
    auto const bytes = store_.find(digest);
    if (bytes == nullptr || active_uploads_ >= upload_slots_) {
        auto response = bytes == nullptr ? error_response(fail(result_code::chunk_unavailable, digest))
                                         : error_response(fail(result_code::endpoint_overloaded,
                                                               "every upload slot is taken; retry later"));
        for (auto const& header : headers.all())
            response.headers.set(header.name, header.value);
        co_await out.send(std::move(response));
        co_return;
    }
    auto range = byte_range{0, bytes->size()};
    auto const range_header = request.headers.find("Range");
    if (!range_header.empty()) {
        auto const parsed = parse_range(range_header, bytes->size());
        if (!parsed) {
            auto response =
                error_response(fail(result_code::request_malformed,
                                    "Range header: expected bytes=A-B or bytes=A- within the chunk"));
            response.status = 416;
            co_await out.send(std::move(response));
            co_return;
        }
        range = *parsed;
        headers.set("Content-Range", "bytes " + std::to_string(range.first) + "-" +
                                         std::to_string(range.first + range.size - 1) + "/" +
                                         std::to_string(bytes->size()));
    }
    ++active_uploads_;
    try {
        co_await send_paced(bytes, range.first, range.size, range_header.empty() ? 200 : 206, headers, out);
    } catch (...) {
        --active_uploads_;
        throw;
    }
    --active_uploads_;
}

auto chunk_server::send_paced(chunk_bytes bytes, std::size_t first, std::size_t size, int status,
                              http_headers headers, http_responder& out) -> asio::awaitable<void>
{
    headers.set("Content-Type", "application/octet-stream");
    auto connected = co_await out.start(status, std::move(headers));
    auto remaining = std::string_view{*bytes}.substr(first, size);
    while (connected && !remaining.empty()) {
        auto const piece = remaining.substr(0, paced_piece_bytes);
        co_await upload_.acquire_transfer(piece.size());
        connected = !out.disconnected();
        if (connected) connected = co_await out.write(piece);
        remaining.remove_prefix(piece.size());
    }
    if (connected) co_await out.finish();
    context_.metrics_registry.count("weights_uploaded_bytes", {},
                                    static_cast<double>(size - remaining.size()));
}

auto chunk_server::find_version(std::string_view name) const -> manifest_ptr
{
    if (auto exact = store_.version(name)) return exact;
    for (auto const& id : store_.versions())
        if (auto version = store_.version(id); version->version == name) return version;
    return nullptr;
}

// Not paced, because the local engine is not reached over the host's link.
auto chunk_server::serve_version(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto const name = percent_decode(request.path().substr(std::string_view{"/weights/"}.size()));
    auto const version = find_version(name);
    auto const chunks = version == nullptr ? std::vector<chunk_bytes>{} : store_.all_chunks(*version);
    if (chunks.empty()) {
        auto response = error_response(fail(result_code::weights_not_whole, name));
        co_await out.send(std::move(response));
        co_return;
    }
    auto headers = http_headers{};
    headers.set("Content-Type", "application/octet-stream");
    headers.set("Hw-Manifest-Digest", version->digest);
    auto connected = co_await out.start(200, std::move(headers));
    for (auto const& chunk : chunks) {
        for (auto remaining = std::string_view{*chunk}; connected && !remaining.empty();) {
            auto const piece = remaining.substr(0, local_piece_bytes);
            connected = co_await out.write(piece);
            remaining.remove_prefix(piece.size());
        }
    }
    if (connected) co_await out.finish();
}

} // namespace hibiscuswall
