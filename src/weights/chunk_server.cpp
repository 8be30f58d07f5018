#include "hibiscuswall/weights/chunk_server.hpp"

#include "hibiscuswall/http/error_body.hpp"
#include "hibiscuswall/weights/chunk_bitmap.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace hibiscuswall {
namespace {

constexpr auto piece_bytes =
    std::size_t{16 * 1024}; // paced piece: short enough for live requests to go between
constexpr auto whole_piece_bytes = std::size_t{256 * 1024}; // towards the local engine

struct byte_range {
    std::size_t first = 0;
    std::size_t size = 0;
};

// "bytes=A-B" or "bytes=A-"; nothing when it does not lie within the chunk.
auto parse_range(std::string_view text, std::size_t whole) -> std::optional<byte_range>
{
    if (!text.starts_with("bytes=")) return std::nullopt;
    text.remove_prefix(6);
    auto const* const end = text.data() + text.size();
    auto first = std::size_t{0};
    auto const start = std::from_chars(text.data(), end, first);
    if (start.ec != std::errc{} || start.ptr == end || *start.ptr != '-') return std::nullopt;
    auto last = whole - 1;
    auto const* const rest = start.ptr + 1;
    if (rest != end) {
        auto const stop = std::from_chars(rest, end, last);
        if (stop.ec != std::errc{} || stop.ptr != end) return std::nullopt;
    }
    last = std::min(last, whole - 1);
    if (first > last) return std::nullopt;
    return byte_range{first, last - first + 1};
}

} // namespace

chunk_server::chunk_server(process_context& context, chunk_store& store, link_budget& upload,
                           weights_settings const& settings)
    : context_{context}, store_{store}, upload_{upload}, slots_{settings.upload_slots}
{
    context_.control.add("GET", "/chunks/", [this](http_request const& request, http_responder& out) {
        return serve_chunk(request, out);
    });
    context_.control.add("GET", "/weights/", [this](http_request const& request, http_responder& out) {
        return serve_whole(request, out);
    });
    context_.rpc.add("weights.have", [this](nlohmann::json const& params) -> result<nlohmann::json> {
        auto const version = store_.version(params.value("version", ""));
        auto const held = version == nullptr ? std::vector<bool>{} : store_.held(*version);
        return nlohmann::json{{"chunks", chunks_to_hex(held)}};
    });
    context_.rpc.add("weights.manifest", [this](nlohmann::json const& params) -> result<nlohmann::json> {
        auto const version = store_.version(params.value("version", ""));
        if (version == nullptr) return fail(result_code::chunk_unavailable, "no such version here");
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
    if (bytes == nullptr || sending_ >= slots_) {
        auto answer =
            bytes == nullptr
                ? error_response(fail(result_code::chunk_unavailable, digest))
                : error_response(fail(result_code::endpoint_overloaded, "every upload slot is taken"));
        for (auto const& header : headers.all())
            answer.headers.set(header.name, header.value);
        co_await out.send(std::move(answer));
        co_return;
    }
    auto range = byte_range{0, bytes->size()};
    auto const asked = request.headers.find("Range");
    if (!asked.empty()) {
        auto const parsed = parse_range(asked, bytes->size());
        if (!parsed) {
            auto answer = error_response(fail(result_code::request_malformed, "range outside the chunk"));
            answer.status = 416;
            co_await out.send(std::move(answer));
            co_return;
        }
        range = *parsed;
        headers.set("Content-Range", "bytes " + std::to_string(range.first) + "-" +
                                         std::to_string(range.first + range.size - 1) + "/" +
                                         std::to_string(bytes->size()));
    }
    ++sending_;
    try {
        co_await send_paced(bytes, range.first, range.size, asked.empty() ? 200 : 206, headers, out);
    } catch (...) {
        --sending_;
        throw;
    }
    --sending_;
}

auto chunk_server::send_paced(chunk_bytes bytes, std::size_t first, std::size_t size, int status,
                              http_headers headers, http_responder& out) -> asio::awaitable<void>
{
    headers.set("Content-Type", "application/octet-stream");
    auto connected = co_await out.start(status, std::move(headers));
    auto rest = std::string_view{*bytes}.substr(first, size);
    while (connected && !rest.empty()) {
        auto const piece = rest.substr(0, piece_bytes);
        co_await upload_.bulk(piece.size());
        connected = !out.disconnected();
        if (connected) connected = co_await out.write(piece);
        rest.remove_prefix(piece.size());
    }
    if (connected) co_await out.finish();
    context_.metrics_registry.count("weights_uploaded_bytes", {}, static_cast<double>(size - rest.size()));
}

auto chunk_server::find_version(std::string_view name) const -> manifest_ptr
{
    if (auto exact = store_.version(name)) return exact;
    for (auto const& id : store_.versions())
        if (auto version = store_.version(id); version->version == name) return version;
    return nullptr;
}

// Not paced: the engine is on this host, the bytes do not cross its link.
auto chunk_server::serve_whole(http_request const& request, http_responder& out) -> asio::awaitable<void>
{
    auto const name = percent_decode(request.path().substr(std::string_view{"/weights/"}.size()));
    auto const version = find_version(name);
    auto const parts = version == nullptr ? std::vector<chunk_bytes>{} : store_.whole(*version);
    if (parts.empty()) {
        auto answer = error_response(fail(result_code::weights_not_whole, name));
        co_await out.send(std::move(answer));
        co_return;
    }
    auto headers = http_headers{};
    headers.set("Content-Type", "application/octet-stream");
    headers.set("Hw-Manifest-Digest", version->digest);
    auto connected = co_await out.start(200, std::move(headers));
    for (auto const& part : parts) {
        for (auto rest = std::string_view{*part}; connected && !rest.empty();) {
            auto const piece = rest.substr(0, whole_piece_bytes);
            connected = co_await out.write(piece);
            rest.remove_prefix(piece.size());
        }
    }
    if (connected) co_await out.finish();
}

} // namespace hibiscuswall
